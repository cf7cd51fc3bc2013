package audit

import (
	"cmp"
	"slices"
	"time"
)

// maxGroups is the maximum number of groups of refusals that wait for one flush.
// Refusals that belong to none of them are counted in one more group per outcome.
const maxGroups = 32

// otherGroup is the By field of the groups that count the refusals beyond
// maxGroups.
const otherGroup = "others"

// Refusals limits the number of audit rows that refusals cause. Equal refusals
// within one interval become one row with a count, so that a flood of requests
// with wrong tokens causes a few rows a minute and not one row per request. It
// does no I/O and has no clock.
type Refusals struct {
	interval time.Duration
	flushAt  time.Duration
	groups   map[group]*Row
}

// group holds the fields in which the refusals of one group are equal.
type group struct {
	by, section, detail string
	outcome             Outcome
}

// NewRefusals returns a Refusals whose rows are due once per interval. An
// interval starts with the first refusal after a flush.
func NewRefusals(interval time.Duration) *Refusals {
	return &Refusals{interval: interval, groups: make(map[group]*Row)}
}

// Add counts a refusal. The ID and time of a group's row are those of the
// group's first refusal.
func (r *Refusals) Add(now time.Duration, row Row) {
	if len(r.groups) == 0 {
		r.flushAt = now + r.interval
	}
	g := group{row.By, row.Section, row.Detail, row.Outcome}
	if _, ok := r.groups[g]; !ok && len(r.groups) >= maxGroups {
		g = group{by: otherGroup, outcome: row.Outcome}
		row.By = otherGroup
		row.Section = ""
		row.Detail = ""
	}
	have, ok := r.groups[g]
	if !ok {
		row.Count = 0
		have = &row
		r.groups[g] = have
	}
	have.Count++
}

// Flush removes and returns the rows, ordered by key, if the interval is over;
// otherwise it returns nil.
func (r *Refusals) Flush(now time.Duration) []Row {
	if len(r.groups) == 0 || now < r.flushAt {
		return nil
	}
	rows := make([]Row, 0, len(r.groups))
	for _, row := range r.groups {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key(), b.Key()) })
	clear(r.groups)
	return rows
}
