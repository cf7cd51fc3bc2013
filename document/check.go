package document

import (
	"encoding/hex"
	"fmt"

	"foxtaildock.example/dock/ident"
)

// Limits on field values. maxTextField is in bytes.
const (
	maxTokensPerTeam = 32
	maxTextField     = 500
	maxRampSeconds   = 3600
	maxLimit         = 100_000_000
)

// checkOwnerAndText checks the owner and the lengths of free text fields.
func (k *checker) checkOwnerAndText(owner ident.Team, fields ...string) {
	k.failIf(owner == "", "owner", "every section names the team that owns it")
	k.failIf(owner != "" && NameOf(KindTeam, string(owner)).Validate() != nil, "owner", "%q can't be a team", owner)
	for _, f := range fields {
		k.failIf(len(f) > maxTextField, "", "a text field is longer than %d bytes", maxTextField)
	}
}

func (c *TeamContent) check(k *checker) []Problem {
	k.checkOwnerAndText(c.Owner, c.Contact)
	k.failIf(len(c.Tokens) > maxTokensPerTeam, "tokens", "more than %d tokens", maxTokensPerTeam)
	seen := make(map[string]bool, len(c.Tokens))
	for i := range c.Tokens {
		t := &c.Tokens[i]
		field := fmt.Sprintf("tokens[%d]", i)
		k.failIf(!isTokenID(t.ID), field+".id", "id %q must be of letters, digits, _, ~ and -", t.ID)
		k.failIf(seen[t.ID], field+".id", "id %q is used twice", t.ID)
		k.failIf(t.Role != RoleCaller && t.Role != RoleOperator, field+".role", "role must be %q or %q", RoleCaller, RoleOperator)
		k.failIf(!isHex(t.Salt, saltBytes), field+".salt", "salt must be %d bytes in hexadecimal", saltBytes)
		k.failIf(!isHex(t.SHA256, hashBytes), field+".sha256", "sha256 must be %d bytes in hexadecimal", hashBytes)
		seen[t.ID] = true
	}
	return k.problems
}

func isHex(s string, bytes int) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == bytes
}

func (c *LimitsContent) check(k *checker) []Problem {
	k.checkOwnerAndText(c.Owner)
	k.checkCount("starts_per_second", c.StartsPerSecond)
	k.checkCount("burst", c.Burst)
	k.checkCount("running", c.Running)
	k.checkCount("queued", c.Queued)
	k.checkCount("weight", c.Weight)
	k.failIf(c.Burst > 0 && c.StartsPerSecond == 0, "burst", "burst has no meaning without starts_per_second")
	return k.problems
}

// checkCount checks that a number is between 0 and maxLimit.
func (k *checker) checkCount(field string, v int) {
	k.failIf(v < 0 || v > maxLimit, field, "must be between 0 and %d, is %d", maxLimit, v)
}

func (c *ServiceContent) check(k *checker) []Problem {
	k.checkOwnerAndText(c.Owner, c.Description)
	k.checkCount("usual_run_ms", c.UsualRunMS)
	k.checkCount("max_size", c.MaxSize)
	return k.problems
}

func (c *DomainContent) check(k *checker) []Problem {
	k.checkOwnerAndText(c.Owner, c.Reason)
	k.failIf(c.State != DomainInService && c.State != DomainWithdrawn, "state",
		"state must be %q or %q", DomainInService, DomainWithdrawn)
	k.failIf(c.RampSeconds < 0 || c.RampSeconds > maxRampSeconds, "ramp_seconds", "must be between 0 and %d", maxRampSeconds)
	return k.problems
}

func (c *DrainContent) check(k *checker) []Problem {
	k.checkOwnerAndText(c.Owner, c.Reason)
	return k.problems
}

// Check parses every section and checks the references between sections. It
// returns a *CheckError with all problems.
func (d *Document) Check() error {
	_, err := NewView(d)
	return err
}

// crossCheck checks the references between sections, the size of the document,
// and that the operators team can still change it.
func crossCheck(d *Document, v *View) []Problem {
	var ps []Problem
	add := func(n Name, field, format string, args ...any) {
		s, _ := d.Section(n)
		ps = append(ps, Problem{Section: n, Line: lineOf(s.Text, field), Field: field, Message: fmt.Sprintf(format, args...)})
	}
	sections := d.Sections()
	for _, s := range sections {
		owner := v.Owner(s.Name)
		if _, ok := v.teams[owner]; !ok {
			add(s.Name, "owner", "there is no section team/%s", owner)
		}
	}
	for _, s := range sections {
		switch s.Name.Kind() {
		case KindLimits:
			if _, ok := v.teams[ident.Team(s.Name.Subject())]; !ok {
				add(s.Name, "", "there is no section team/%s", s.Name.Subject())
			}
		case KindService:
			for _, t := range v.services[ident.Service(s.Name.Subject())].Teams {
				if _, ok := v.teams[t]; !ok {
					add(s.Name, "teams", "there is no section team/%s", t)
				}
			}
		}
	}
	if len(sections) > 0 && !v.hasOperator(OperatorsTeam) {
		add(NameOf(KindTeam, string(OperatorsTeam)), "tokens", "the document needs team/%s with a token of role %q", OperatorsTeam, RoleOperator)
	}
	if len(sections) > MaxSections {
		add("", "", "the document has %d sections, more than %d", len(sections), MaxSections)
	}
	if n := d.size(); n > MaxDocumentBytes {
		add("", "", "the document has %d bytes, more than %d", n, MaxDocumentBytes)
	}
	return ps
}
