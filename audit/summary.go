package audit

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Line is one line of a summary: the number of changes of one subject that had
// one outcome.
type Line struct {
	// Subject is a team, such as "team/norrbrand", a failure domain, such as
	// "domain/lulea", or "from " and the host that sent a refused token.
	Subject string  `json:"subject"`
	Outcome Outcome `json:"outcome"`
	Count   int     `json:"count"`
	// Why is the detail of the newest row or, if it has none, the reason.
	Why string `json:"why,omitempty"`
	// UnixMS is the time of the newest row, in Unix milliseconds.
	UnixMS int64 `json:"unix_ms"`
}

type lineKey struct {
	subject string
	outcome Outcome
}

// Summarize counts the rows by subject and outcome. The lines are ordered by
// subject and outcome. The rows must be in the order of time.
func Summarize(rows []Row) []Line {
	lines := make(map[lineKey]*Line)
	for i := range rows {
		r := &rows[i]
		for _, s := range subjects(r) {
			k := lineKey{s, r.Outcome}
			l, ok := lines[k]
			if !ok {
				l = &Line{Subject: s, Outcome: r.Outcome}
				lines[k] = l
			}
			l.Count += max(r.Count, 1)
			l.UnixMS = r.UnixMS
			l.Why = cmp.Or(r.Detail, r.Reason)
		}
	}
	var out []Line
	for _, l := range slices.Collect(maps.Values(lines)) {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}

// subjects returns the team or host that made the change and, if the change was
// of a failure domain's section, that failure domain.
func subjects(r *Row) []string {
	team, _, isTeam := strings.Cut(r.By, "/")
	var all []string
	if isTeam {
		all = append(all, "team/"+team)
	} else {
		all = append(all, "from "+r.By)
	}
	if strings.HasPrefix(r.Section, "domain/") {
		all = append(all, r.Section)
	}
	return all
}
