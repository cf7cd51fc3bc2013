package audit

import (
	"cmp"
	"slices"
	"time"
)

// maxGroups bounds the groups of refusals that wait for one flush. Refusals of
// further groups are counted in a group of their own.
const maxGroups = 32

// otherGroup is who stands for all groups beyond maxGroups.
const otherGroup = "others"

// Refusals is the core that bounds the rows that refusals cost. Refusals of the
// same kind within one interval become one row with a count, so that a flood of
// wrong tokens writes a few rows a minute and not one each.
type Refusals struct {
	interval time.Duration
	flushAt  time.Duration
	groups   map[group]*Row
}

// group is what like refusals have in common.
type group struct {
	by, section, detail string
	outcome             Outcome
}

// NewRefusals returns a core that gives out its rows once per interval.
func NewRefusals(interval time.Duration) *Refusals {
	return &Refusals{interval: interval, groups: make(map[group]*Row)}
}

// Add notes a refusal. The row's id and time are those of the first of a group.
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

// Flush returns the rows that are due, ordered by key.
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
