// Package agentlink keeps an agent in touch with the entries of its cell. It
// finds them, sends each of them heartbeats, and turns the answers into permits,
// placements and news of peers. It is the shell around permit.Holder.
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

// Agent is what the link tells the agent and asks of it. Its methods are called
// from the link's own goroutine and must not wait for the link.
type Agent interface {
	// Now is the monotonic time on which permits are counted.
	Now() time.Duration
	// Announcement is what the next heartbeat says. Its Known is ignored.
	Announcement() membership.Announcement
	// SetPermit hands over every change of the permit.
	SetPermit(permit.Permit)
	// SetPlacement hands over every newer placement.
	SetPlacement(*placement.Placement)
	// SetPeers updates the state of some other agents.
	SetPeers([]membership.Agent)
	// Removed says that an epoch has taken this incarnation out. The process
	// has to go on under a new one.
	Removed()
}

// Config holds the settings of a link.
type Config struct {
	// Self is the incarnation of the agent.
	Self ident.Incarnation
	// Cell names the cell whose entries are looked for.
	Cell string
	// Seeds are addresses of entries to try first. With none the table is the
	// only way to find an entry.
	Seeds []string
	// Table is where entries are listed. Nil means that only the seeds and
	// the answers of entries are used.
	Table store.Table
	// Interval is the time between two heartbeats to one entry. A permit
	// outlives it by less than one lease, so it must be well below that;
	// shorter costs more messages.
	Interval time.Duration
	// CallTimeout bounds one heartbeat. Longer lets a silent connection eat
	// more of the lease.
	CallTimeout time.Duration
	// RetryMax is the longest pause between heartbeats to an entry that does
	// not answer.
	RetryMax time.Duration
	// ForgetAfter is how long an entry that nobody lists may be silent before
	// it is given up.
	ForgetAfter time.Duration
	// SearchInterval is the pause between look-ups in the table while no
	// entry answers. Every agent of the cell does this at once after an
	// outage, so it is also the spread of the reads.
	SearchInterval time.Duration
	// NewClient returns an HTTP client with connections of its own. One is
	// made for each entry, and a new one after silence.
	NewClient func() *http.Client
	// Log gets the events of the link.
	Log *telemetry.Logger
}

// DefaultConfig returns the times that the daemon uses.
func DefaultConfig() Config {
	return Config{
		Interval:       500 * time.Millisecond,
		CallTimeout:    800 * time.Millisecond,
		RetryMax:       2 * time.Second,
		ForgetAfter:    time.Minute,
		SearchInterval: 5 * time.Second,
	}
}

// Validate reports the first setting that can't work.
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
		return fmt.Errorf("there is neither a seed nor a table to find entries in")
	}
	return nil
}
