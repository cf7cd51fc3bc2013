package manifest

import (
	"fmt"
	"maps"
	"slices"

	"foxtaildock.example/dock/operator"
)

// Difference says how an entry differs from the version in force.
type Difference string

// The differences.
const (
	Added   Difference = "added"
	Removed Difference = "removed"
	Changed Difference = "changed"
)

// Change is a difference between the version in force and the checked one. Routes and
// services are identified by their names.
type Change struct {
	Difference Difference
	Place      Place
	// Field, Old and New are those of a changed field.
	Field    Field
	Old, New string
}

// value is the text of a field's value.
type value struct {
	field Field
	text  string
}

// entry is a named part of a manifest with the values of its fields.
type entry struct {
	place  Place
	values []value
}

// Compare returns the changes from the version in force to m, and an error finding if the
// version of m isn't higher. Of several entries with one name the first one is compared.
func Compare(inForce, m *Manifest) ([]Change, []Finding) {
	var findings []Finding
	if m.Version <= inForce.Version {
		findings = append(findings, Finding{Error, Place{Section: Whole}, Version, fmt.Sprint(m.Version),
			fmt.Sprintf("more than %d, the version in force", inForce.Version)})
	}
	return changes(entries(inForce), entries(m)), findings
}

// entries returns the routes, the services and the limits, each place once.
func entries(m *Manifest) []entry {
	var list []entry
	for i := range m.Routes {
		r := &m.Routes[i]
		list = append(list, entry{Place{Section: RouteSection, Name: r.Name}, routeValues(r)})
	}
	for _, s := range m.Services {
		e := entry{place: Place{Section: ServiceSection, Name: s.Name}}
		for _, name := range slices.Sorted(maps.Keys(s.Settings)) {
			e.values = append(e.values, value{Field(name), s.Settings[name]})
		}
		list = append(list, e)
	}
	list = append(list, entry{Place{Section: LimitsSection}, limitValues(&m.Limits)})
	seen := map[Place]bool{}
	return slices.DeleteFunc(list, func(e entry) bool {
		duplicate := seen[e.place]
		seen[e.place] = true
		return duplicate
	})
}

func routeValues(r *Route) []value {
	return []value{
		{Host, fmt.Sprintf("%q", r.Host)}, {PathPrefix, fmt.Sprintf("%q", r.PathPrefix)},
		{ServiceName, fmt.Sprintf("%q", r.Service)}, {Kind, r.Kind},
		{Priority, fmt.Sprint(int(r.Priority))}, {Attempts, fmt.Sprint(r.Attempts)},
		{Timeout, r.Timeout.String()}, {Stretch, fmt.Sprint(r.Stretch)},
		{TargetLatency, r.TargetLatency.String()},
	}
}

func limitValues(l *operator.Limits) []value {
	return []value{
		{MaxHeaderBytes, fmt.Sprint(l.MaxHeaderBytes)}, {MaxBodyBytes, fmt.Sprint(l.MaxBodyBytes)},
		{HeaderTimeout, l.HeaderTimeout.String()}, {IdleTimeout, l.IdleTimeout.String()},
	}
}

// changes returns the removed entries, then the others in the order of after.
func changes(before, after []entry) []Change {
	var list []Change
	old, remaining := map[Place]entry{}, map[Place]bool{}
	for _, e := range before {
		old[e.place] = e
	}
	for _, e := range after {
		remaining[e.place] = true
	}
	for _, e := range before {
		if !remaining[e.place] {
			list = append(list, Change{Difference: Removed, Place: e.place})
		}
	}
	for _, e := range after {
		if was, known := old[e.place]; known {
			list = append(list, changedFields(was, e)...)
		} else {
			list = append(list, Change{Difference: Added, Place: e.place})
		}
	}
	return list
}

// changedFields returns the fields with another value, and those that only one of the two
// entries has: their other value is empty.
func changedFields(before, after entry) []Change {
	var list []Change
	compare := func(f Field) {
		if o, n := before.value(f), after.value(f); o != n {
			list = append(list, Change{Changed, after.place, f, o, n})
		}
	}
	for _, v := range after.values {
		compare(v.field)
	}
	for _, v := range before.values {
		if !slices.ContainsFunc(after.values, func(a value) bool { return a.field == v.field }) {
			compare(v.field)
		}
	}
	return list
}

func (e *entry) value(f Field) string {
	for _, v := range e.values {
		if v.field == f {
			return v.text
		}
	}
	return ""
}
