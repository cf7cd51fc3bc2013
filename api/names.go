package api

import (
	"regexp"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// namePattern matches the names of teams and services, and job keys. They are
// parts of paths, log lines and tables, and must need no escaping there.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:~-]*$`)

// CheckName checks the name of a team or service, or a job key. It returns nil if
// the name is valid, otherwise a problem with the given field name.
func CheckName(field, name string) *Problem {
	switch {
	case name == "":
		return invalid(field, "is missing")
	case len(name) > job.MaxKeyLength:
		return invalid(field, "is %d bytes long; at most %d", len(name), job.MaxKeyLength)
	case !namePattern.MatchString(name):
		return invalid(field, "has a character that is not allowed; use letters, digits and . _ : ~ -, first a letter or digit")
	}
	return nil
}

// CheckKey checks a team and job key that were taken from a path and returns them
// as an ident.JobKey, or a problem that says what is wrong.
func CheckKey(team, key string) (ident.JobKey, *Problem) {
	if p := CheckName("team", team); p != nil {
		return ident.JobKey{}, p
	}
	if p := CheckName("key", key); p != nil {
		return ident.JobKey{}, p
	}
	return ident.JobKey{Team: ident.Team(team), Key: key}, nil
}

func (b *jobBody) checkNames() *Problem {
	if p := CheckName("team", b.Team); p != nil {
		return p
	}
	if p := CheckName("key", b.Key); p != nil {
		return p
	}
	return CheckName("service", b.Service)
}
