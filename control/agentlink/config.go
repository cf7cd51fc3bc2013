// Package agentlink is the agent's side of the control plane on the older path, in
// which an agent keeps the record of a job. It finds the entries of the agent's
// cell, sends each of them heartbeats, and passes the permits, placements and
// updates of peers in the answers to the agent. It does the I/O for permit.Holder;
// package control is the entries' side. Package link connects entries with
// agents for jobs that are answered at their end.
package agentlink

import (
	"fmt"
	"net/http"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/telemetry"
)

// Agent is the interface of the agent process to its Link. Its methods are called
// from the Link's goroutine and must not wait for the Link.
type Agent interface {
	// Now returns the monotonic time in which the expiry of permits is given.
	Now() time.Duration
	// Announcement returns what the next heartbeat reports of the agent. Its
	// Known and Joined are ignored.
	Announcement() membership.Announcement
	// SetPermit receives every change of the permit.
	SetPermit(permit.Permit)
	// SetPlacement receives every newer placement.
	SetPlacement(*placement.Placement)
	// SetPeers updates the state of the given other agents.
	SetPeers([]membership.Agent)
	// Removed reports that an epoch has removed this incarnation from the
	// placement. The process has to continue under a new one.
	Removed()
}

// Config holds the settings of a Link.
type Config struct {
	// Self is the incarnation of the agent.
	Self ident.Incarnation
	// Cell is the name of the cell whose entries are looked up.
	Cell string
	// Seeds are addresses of entries to try first. Without seeds, the first
	// entry is found in the table.
	Seeds []string
	// Table lists the entries. If it is nil, only the seeds and the answers of
	// entries are used.
	Table store.Table
	// Interval is the time between two heartbeats to one entry. A permit lasts
	// at most one lease after its heartbeat, so the interval must be well
	// below the lease. A shorter interval costs more messages.
	Interval time.Duration
	// CallTimeout bounds one heartbeat. With a longer timeout, a connection
	// that does not answer uses up more of the lease.
	CallTimeout time.Duration
	// RetryMax is the longest pause between heartbeats to an entry that does
	// not answer.
	RetryMax time.Duration
	// ForgetAfter is how long an entry may be silent and unlisted before it is
	// removed.
	ForgetAfter time.Duration
	// SearchInterval is the time between look-ups in the table while no entry
	// answers. It limits the load on the table after an outage, when every
	// agent of the cell looks up the entries at once.
	SearchInterval time.Duration
	// NewClient returns an HTTP client with connections of its own. It is
	// called for each entry, and again after a heartbeat that got no answer.
	NewClient func() *http.Client
	// Log receives the log lines of the Link.
	Log *telemetry.Logger
}

// DefaultConfig returns the intervals and timeouts of the daemon.
func DefaultConfig() Config {
	return Config{
		Interval:       500 * time.Millisecond,
		CallTimeout:    800 * time.Millisecond,
		RetryMax:       2 * time.Second,
		ForgetAfter:    time.Minute,
		SearchInterval: 5 * time.Second,
	}
}

// Validate returns an error for the first setting that is missing or out of
// range.
func (c *Config) Validate() error {
	switch {
	case c.Self == "" || c.Cell == "":
		return fmt.Errorf("incarnation and cell must be set")
	case c.Interval <= 0 || c.Interval >= permit.Lease/2:
		return fmt.Errorf("interval %v must be positive and below %v", c.Interval, permit.Lease/2)
	case c.CallTimeout <= 0 || c.CallTimeout >= permit.Lease:
		return fmt.Errorf("call timeout %v must be positive and below %v", c.CallTimeout, permit.Lease)
	case c.NewClient == nil || c.Log == nil:
		return fmt.Errorf("a client and a log must be set")
	case len(c.Seeds) == 0 && c.Table == nil:
		return fmt.Errorf("seeds or a table must be set, to find entries")
	}
	return nil
}
