// Package control is the control plane of an entry on the older path, in which an
// agent keeps the record of a job. Its Controller reads the operators' document and
// the placement from the platform, tracks the agents of its cell by their
// heartbeats, grants permits, proposes placement epochs, exchanges state with the
// other entries and stores changes of the document. It does the I/O for the decision
// logic in permit, membership and document. Tasks and their answers never pass
// through it. Package entry is the rest of the entry process; agentlink is the
// agent's side of the heartbeats.
//
// A pair of document version and placement epoch is a state. A change of the
// state is announced to the members of the placement before its commit, as an
// intent, and settled once its outcome is final: committed or cancelled.
package control

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strings"
	"time"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/telemetry"
)

// Demand is the load that one client account puts on one entry. Entries exchange
// it to divide the account's limits among them.
type Demand struct {
	Team ident.Team
	// StartsPerSecond is the rate at which callers submit tasks, in tasks per
	// second.
	StartsPerSecond int
	// Running is the number of tasks that the entry has admitted.
	Running int
}

// Listener receives what a Controller learns, and reports the demand at the entry.
// Its methods are called from the Controller's goroutine and must not wait for the
// Controller.
type Listener interface {
	// SetView receives every newer document version.
	SetView(*document.View)
	// SetPlacement receives every newer placement.
	SetPlacement(*placement.Placement)
	// SetAgents updates the state of the given agents.
	SetAgents([]membership.Agent)
	// SetDemand receives the demand at another entry, or nil once that entry
	// no longer answers.
	SetDemand(ident.Incarnation, []Demand)
	// Demand returns the demand at this entry.
	Demand() []Demand
}

// Config holds the settings of a Controller.
type Config struct {
	// Self is the incarnation of the entry.
	Self ident.Incarnation
	// Cell names the cell: its placement row and its entry rows.
	Cell string
	// Address is the host:port of the internal listener at which agents and
	// other entries reach this entry.
	Address string
	// Domain is the failure domain of the entry.
	Domain ident.FailureDomain
	// Table and Objects are the platform's services. Objects may be nil.
	Table   store.Table
	Objects store.Objects
	// Client makes calls to agents and other entries. It must check the health
	// of its connections itself.
	Client *http.Client
	// Membership holds the timeouts of agents and the timing of epochs.
	Membership membership.Config
	// ReadInterval is the time between two reads of document head and
	// placement. It adds to the time until a change is in force. Each read of
	// each entry costs the platform two rows.
	ReadInterval time.Duration
	// ReadTimeout bounds one read. A read that takes as long as a lease
	// confirms nothing.
	ReadTimeout time.Duration
	// ExchangeInterval is the time between two exchanges with each entry.
	ExchangeInterval time.Duration
	// CallTimeout bounds one call to an agent or entry.
	CallTimeout time.Duration
	// EntriesInterval is the time between two look-ups of the other entries
	// in the table.
	EntriesInterval time.Duration
	// CleanupInterval is the time between two rounds of deleting old rows. It
	// also bounds the duration of a round.
	CleanupInterval time.Duration
	// IntentExpiry is how long an announced change may wait for its commit
	// before any entry may cancel it. A shorter time recovers faster from an
	// entry that dies in the middle of a change; one that is too short
	// cancels changes on a slow platform.
	IntentExpiry time.Duration
	// AuditRetention is how long rows of the audit trail stay in the table.
	// Older ones are moved to the object store, or deleted if there is none.
	AuditRetention time.Duration
	// NewID returns a unique id that sorts by time.
	NewID func() string
	// Log receives the log lines of the Controller.
	Log *telemetry.Logger
}

// DefaultConfig returns the intervals and timeouts of the daemon, and NewID.
func DefaultConfig() Config {
	return Config{
		Membership:       membership.DefaultConfig(),
		ReadInterval:     500 * time.Millisecond,
		ReadTimeout:      1500 * time.Millisecond,
		ExchangeInterval: 500 * time.Millisecond,
		CallTimeout:      800 * time.Millisecond,
		EntriesInterval:  10 * time.Second,
		CleanupInterval:  time.Minute,
		IntentExpiry:     10 * time.Second,
		AuditRetention:   90 * 24 * time.Hour,
		NewID:            NewID,
	}
}

// Validate returns an error for the first setting that is missing or out of
// range.
func (c *Config) Validate() error {
	if c.Self == "" || c.Cell == "" || c.Address == "" {
		return fmt.Errorf("incarnation, cell and address must be set")
	}
	if c.Table == nil || c.Client == nil || c.Log == nil || c.NewID == nil {
		return fmt.Errorf("table, client, log and id generator must be set")
	}
	if c.ReadInterval <= 0 || c.ReadInterval >= permit.Lease/2 {
		return fmt.Errorf("read interval %v must be positive and below %v", c.ReadInterval, permit.Lease/2)
	}
	if c.ReadTimeout <= 0 || c.ReadTimeout > permit.Lease {
		return fmt.Errorf("read timeout %v must be positive and at most %v", c.ReadTimeout, permit.Lease)
	}
	if c.ExchangeInterval <= 0 || c.CallTimeout <= 0 || c.EntriesInterval <= 0 || c.CleanupInterval <= 0 {
		return fmt.Errorf("all intervals and timeouts must be positive")
	}
	return c.Membership.Validate()
}

// NewID returns a random id that begins with the wall clock in milliseconds, so
// that ids sort by time and old ones can be found by a key range.
func NewID() string {
	return fmt.Sprintf("%013d-%s", time.Now().UnixMilli(), strings.ToLower(rand.Text()))
}
