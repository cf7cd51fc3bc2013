// Package operator holds the operators' rows as a process knows them: the manifest
// of routes and limits, and the failure domains that are withdrawn from service. A
// process replaces its copy only by a newer version.
package operator

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// Route describes one kind of job: the host and path at which callers submit it, the
// service that runs its tasks, its priority, attempts and latency objective.
type Route struct {
	Name       string        `json:"name"`
	Host       string        `json:"host"`
	PathPrefix string        `json:"path_prefix"`
	Service    ident.Service `json:"service"`
	Priority   work.Priority `json:"priority"`
	// Attempts is the number of failures of a task at which its job fails.
	Attempts int `json:"attempts"`
	// Timeout is the longest time that a caller's request may take.
	Timeout time.Duration `json:"timeout"`
	// Stretch and TargetLatency define the latency objective of a job: Stretch times
	// the expected run time of its longest chain of dependent steps, plus
	// TargetLatency.
	Stretch       float64       `json:"stretch"`
	TargetLatency time.Duration `json:"target_latency"`
}

// Limits bound the HTTP requests of callers.
type Limits struct {
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout"`
	IdleTimeout    time.Duration `json:"idle_timeout"`
}

// Manifest is one version of the routes and limits. It is not changed once it has been
// used, since Match keeps an index of its routes.
type Manifest struct {
	Version int64   `json:"version"`
	Routes  []Route `json:"routes"`
	Limits  Limits  `json:"limits"`

	indexOnce sync.Once
	index     map[string]hostRoutes // by host
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	// lengths are the lengths of all prefixes, longest first.
	lengths  []int
	byPrefix map[string]int // indexes in Manifest.Routes
}

// Match returns the route for a host and path: of the host's routes whose prefix the
// path begins with, the one with the longest prefix. It returns false if there is none.
// Its cost depends on how many lengths the prefixes of the host have, not on the number
// of routes. It is safe for concurrent use.
func (m *Manifest) Match(host, path string) (Route, bool) {
	m.indexOnce.Do(m.buildIndex)
	routes := m.index[host]
	for _, n := range routes.lengths {
		if n > len(path) {
			continue
		}
		if i, found := routes.byPrefix[path[:n]]; found {
			return m.Routes[i], true
		}
	}
	return Route{}, false
}

// buildIndex fills the index. Of several routes with the same host and prefix, the first
// one counts.
func (m *Manifest) buildIndex() {
	m.index = map[string]hostRoutes{}
	for i := range m.Routes {
		r := &m.Routes[i]
		routes, known := m.index[r.Host]
		if !known {
			routes.byPrefix = map[string]int{}
		}
		if _, duplicate := routes.byPrefix[r.PathPrefix]; duplicate {
			continue
		}
		routes.byPrefix[r.PathPrefix] = i
		if !slices.Contains(routes.lengths, len(r.PathPrefix)) {
			routes.lengths = append(routes.lengths, len(r.PathPrefix))
		}
		m.index[r.Host] = routes
	}
	for _, routes := range m.index {
		slices.SortFunc(routes.lengths, func(a, b int) int { return b - a })
	}
}

// Rows is the state of all operators' rows as of one version of the store.
type Rows struct {
	// Version is the store's version of this state. 0 means that nothing is known.
	Version uint64
	// Manifest is nil while none is known.
	Manifest *Manifest
	// Withdrawn are the failure domains that are out of service, sorted.
	Withdrawn []ident.FailureDomain
}

// IsWithdrawn reports whether the failure domain is out of service.
func (r *Rows) IsWithdrawn(d ident.FailureDomain) bool { return slices.Contains(r.Withdrawn, d) }

// View is a process's copy of the operators' rows, and when the store last confirmed
// it. The zero value knows nothing.
type View struct {
	rows      Rows
	confirmed time.Duration
	known     bool
}

// Rows returns the newest known rows, which are empty while none are known.
func (v *View) Rows() *Rows { return &v.rows }

// Known reports whether any rows have been received yet.
func (v *View) Known() bool { return v.known }

// Age returns how long ago the store last confirmed the rows, as far as is known.
func (v *View) Age(now time.Duration) time.Duration { return now - v.confirmed }

// Update updates the view with rows that the store confirmed at the given time. It
// returns true if they are newer than those known. Invariant: neither the version of
// the rows nor that of the manifest ever decreases.
func (v *View) Update(rows Rows, confirmed time.Duration) bool {
	if v.known && rows.Version < v.rows.Version {
		return false
	}
	if !v.known || confirmed > v.confirmed {
		v.confirmed = confirmed
	}
	if v.known && rows.Version == v.rows.Version {
		return false
	}
	rows.Manifest = newerManifest(v.rows.Manifest, rows.Manifest)
	v.rows = rows
	v.known = true
	return true
}

func newerManifest(have, got *Manifest) *Manifest {
	if got == nil || have != nil && got.Version < have.Version {
		return have
	}
	return got
}

// EncodeManifest returns the JSON form in which processes send a manifest to each
// other, nil for no manifest.
func EncodeManifest(m *Manifest) ([]byte, error) {
	if m == nil {
		return nil, nil
	}
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encoding manifest %d: %w", m.Version, err)
	}
	return text, nil
}

// DecodeManifest parses the output of EncodeManifest. Empty text gives a nil manifest.
func DecodeManifest(text []byte) (*Manifest, error) {
	if len(text) == 0 {
		return nil, nil
	}
	m := new(Manifest)
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("decoding a manifest of %d bytes: %w", len(text), err)
	}
	return m, nil
}
