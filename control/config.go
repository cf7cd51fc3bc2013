// Package control is the control duty of an entry: it reads the operators'
// document and the placement from the platform, follows the agents of its cell,
// grants permits, proposes placement epochs and keeps in touch with the other
// entries. It also stores changes of the document. It is a shell around the
// cores of permit, membership and document, and never on the path of a task.
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

// Demand is what a team asks of one entry, so that entries can share its limits.
type Demand struct {
	Team ident.Team
	// StartsPerSecond is the rate of tasks that callers ask for.
	StartsPerSecond int
	// Running is the number of tasks that the entry has admitted.
	Running int
}

// Listener is what the duty tells the entry. Its methods are called from the
// duty's own goroutine and must not wait for the duty.
type Listener interface {
	// SetView hands over every newer document version.
	SetView(*document.View)
	// SetPlacement hands over every newer placement.
	SetPlacement(*placement.Placement)
	// SetAgents updates the state of some agents.
	SetAgents([]membership.Agent)
	// SetDemand hands over the demand at another entry, and nil once that
	// entry is silent.
	SetDemand(ident.Incarnation, []Demand)
	// Demand returns the demand at this entry.
	Demand() []Demand
}

// Config holds the settings of the duty.
type Config struct {
	// Self is the incarnation of the entry.
	Self ident.Incarnation
	// Cell names the cell: its placement row and its entry rows.
	Cell string
	// Address is the host:port of the internal listener that others are told.
	Address string
	// Domain is the failure domain of the entry.
	Domain ident.FailureDomain
	// Table and Objects are the platform's services.
	Table   store.Table
	Objects store.Objects
	// Client makes calls to agents and other entries. Its connections must
	// have health checks of their own.
	Client *http.Client
	// Membership holds the times of suspicion and epochs.
	Membership membership.Config
	// ReadInterval is the time between two reads of document head and
	// placement. It adds to the time until a change is in force, and each
	// entry costs the platform two rows per read.
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
	// UpkeepInterval is the time between two rounds of deleting old rows.
	UpkeepInterval time.Duration
	// IntentExpiry is how long an announced change may wait for its commit
	// before any entry may cancel it. Shorter helps after an entry died in
	// the middle of a change; too short cancels changes on a slow platform.
	IntentExpiry time.Duration
	// AuditAge is how long rows of the audit trail stay in the table. Older
	// ones are moved to the object store.
	AuditAge time.Duration
	// NewID returns a random name that sorts by time.
	NewID func() string
	// Log gets the events of the duty.
	Log *telemetry.Logger
}

// DefaultConfig returns the times that the daemon uses.
func DefaultConfig() Config {
	return Config{
		Membership:       membership.DefaultConfig(),
		ReadInterval:     500 * time.Millisecond,
		ReadTimeout:      1500 * time.Millisecond,
		ExchangeInterval: 500 * time.Millisecond,
		CallTimeout:      800 * time.Millisecond,
		EntriesInterval:  10 * time.Second,
		UpkeepInterval:   time.Minute,
		IntentExpiry:     10 * time.Second,
		AuditAge:         90 * 24 * time.Hour,
		NewID:            NewID,
	}
}

// Validate reports the first setting that can't work.
func (c *Config) Validate() error {
	if c.Self == "" || c.Cell == "" || c.Address == "" {
		return fmt.Errorf("incarnation, cell and address must be set")
	}
	if c.Table == nil || c.Client == nil || c.Log == nil || c.NewID == nil {
		return fmt.Errorf("table, client, log and the source of ids must be set")
	}
	if c.ReadInterval <= 0 || c.ReadInterval >= permit.Lease/2 {
		return fmt.Errorf("read interval %v must be positive and below %v", c.ReadInterval, permit.Lease/2)
	}
	if c.ReadTimeout <= 0 || c.ReadTimeout > permit.Lease {
		return fmt.Errorf("read timeout %v must be positive and at most %v", c.ReadTimeout, permit.Lease)
	}
	if c.ExchangeInterval <= 0 || c.CallTimeout <= 0 || c.EntriesInterval <= 0 || c.UpkeepInterval <= 0 {
		return fmt.Errorf("all intervals and timeouts must be positive")
	}
	return c.Membership.Validate()
}

// NewID returns a random name that begins with the wall clock in milliseconds,
// so that old ones can be found by their order.
func NewID() string {
	return fmt.Sprintf("%013d-%s", time.Now().UnixMilli(), strings.ToLower(rand.Text()))
}
