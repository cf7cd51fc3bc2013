// Package operator holds what the operators of a site want, as every process
// believes it: the manifest of routes and services, and the failure domains
// that are taken out of service. A belief only ever moves to a newer version.
package operator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// Route is a queue of jobs.
type Route struct {
	Name       string        `json:"name"`
	Host       string        `json:"host"`
	PathPrefix string        `json:"path_prefix"`
	Service    ident.Service `json:"service"`
	Priority   work.Priority `json:"priority"`
	// Attempts is how often a task may fail before its job fails.
	Attempts int `json:"attempts"`
	// Timeout is the longest time that a request may take.
	Timeout time.Duration `json:"timeout"`
	// Stretch and TargetLatency give the objective of a job: Stretch times its
	// longest chain of work, and TargetLatency more.
	Stretch       float64       `json:"stretch"`
	TargetLatency time.Duration `json:"target_latency"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout"`
	IdleTimeout    time.Duration `json:"idle_timeout"`
}

// Manifest is one version of the routes and limits.
type Manifest struct {
	Version int64   `json:"version"`
	Routes  []Route `json:"routes"`
	Limits  Limits  `json:"limits"`
}

// Match returns the route for a host and path: the longest prefix that the path
// begins with.
func (m *Manifest) Match(host, path string) (Route, bool) {
	best := -1
	for i := range m.Routes {
		r := &m.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best < 0 || len(r.PathPrefix) > len(m.Routes[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return m.Routes[best], true
}

// Rows is everything that operators want, as of one version of the store.
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

// View is what a process believes, and how old that is.
type View struct {
	rows      Rows
	confirmed time.Duration
	known     bool
}

// Rows returns the belief.
func (v *View) Rows() *Rows { return &v.rows }

// Known reports whether anything was learnt yet.
func (v *View) Known() bool { return v.known }

// Age returns how long ago the store is known to have confirmed the belief.
func (v *View) Age(now time.Duration) time.Duration { return now - v.confirmed }

// Learn takes rows that the store confirmed at the given time. It returns true
// if they are newer than the belief. Invariant: the version of the rows and that
// of the manifest never go down.
func (v *View) Learn(rows Rows, confirmed time.Duration) bool {
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

// EncodeManifest returns the form in which processes pass a manifest on.
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

// DecodeManifest reads what EncodeManifest wrote. Empty text is no manifest.
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
