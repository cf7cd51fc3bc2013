// Package membership decides which agents belong to a cell. Agents announce
// themselves to every entry by heartbeats; an agent is silent while none arrives. A
// Tracker derives the states up, leaving, suspected and gone from heartbeats and
// silence, and a Planner derives the next placement epoch from these states. Each
// entry tracks states locally and fast; epochs are agreed upon through the
// platform, which is slow. Package placement holds the resulting placement; package
// control does the I/O. Package directory is the registry of processes for jobs that
// are answered at their end, which need no placement.
package membership

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
)

// State is the state of one agent incarnation as one entry sees it. The numbers
// are those of the protocol.
type State int

// The states.
const (
	// Up means that heartbeats arrive and the agent accepts work.
	Up State = iota + 1
	// Leaving means that the agent announced a planned leave.
	Leaving
	// Suspected means that heartbeats have been missing for a short time: the
	// agent gets no new work, but stays a member.
	Suspected
	// Gone means that heartbeats have been missing for a long time: the next
	// epoch no longer lists the agent. A heartbeat still brings the
	// incarnation back until an epoch has removed it.
	Gone
)

// String returns the name of the state for logs and reports.
func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Leaving:
		return "leaving"
	case Suspected:
		return "suspected"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Config holds the timeouts and bounds of a Tracker and a Planner.
type Config struct {
	// SuspectAfter is the time without heartbeats after which an agent gets no
	// new work. With a shorter time fewer jobs go to a dead agent; with a
	// longer one a live agent is not suspected because of a short pause.
	SuspectAfter time.Duration
	// GoneAfter is the time without heartbeats after which an agent is removed
	// from the placement and loses its records. It must be longer than
	// SuspectAfter.
	GoneAfter time.Duration
	// ForgetAfter is how long a gone agent that the placement no longer lists
	// is still reported to its peers, so that all of them learn of it.
	ForgetAfter time.Duration
	// EpochGap is the shortest time between two epochs that this entry
	// proposes, and how long it collects changes for one epoch. Longer means
	// fewer epochs and later joins.
	EpochGap time.Duration
	// RankDelay is the additional wait before a proposal for every live entry
	// that ranks before this one, so that normally only the first one proposes.
	RankDelay time.Duration
	// MaxMembers bounds the members of one cell. Agents beyond the bound run
	// tasks but are not the home of any job.
	MaxMembers int
	// MaxAgents bounds the tracked incarnations in all states. Heartbeats of
	// further ones are refused.
	MaxAgents int
	// Retention is how long a former member stays in the placement row after
	// it left. It must cover the retention of job records and the skew of wall
	// clocks.
	Retention time.Duration
	// LoadSample is the number of peers whose load each heartbeat reply
	// reports, in addition to those that changed state. The bandwidth grows in
	// proportion to it.
	LoadSample int
}

// DefaultConfig returns the timeouts and bounds of the daemons. They are meant for
// heartbeats every 500 ms.
func DefaultConfig() Config {
	return Config{
		SuspectAfter: 2 * time.Second,
		GoneAfter:    5 * time.Second,
		ForgetAfter:  time.Minute,
		EpochGap:     time.Second,
		RankDelay:    500 * time.Millisecond,
		MaxMembers:   1000,
		MaxAgents:    4000,
		Retention:    job.Retention + 2*job.ClockSkew,
		LoadSample:   8,
	}
}

// Validate returns an error for the first setting that is out of range.
func (c *Config) Validate() error {
	switch {
	case c.SuspectAfter <= 0:
		return fmt.Errorf("suspect_after must be positive, is %v", c.SuspectAfter)
	case c.GoneAfter <= c.SuspectAfter:
		return fmt.Errorf("gone_after %v must be longer than suspect_after %v", c.GoneAfter, c.SuspectAfter)
	case c.Retention < job.Retention:
		return fmt.Errorf("retention %v must not be shorter than that of job records, %v", c.Retention, job.Retention)
	case c.MaxMembers <= 0 || c.MaxAgents < c.MaxMembers:
		return fmt.Errorf("max_members %d must be positive and at most max_agents %d", c.MaxMembers, c.MaxAgents)
	}
	return nil
}

// Announcement is what an agent reports of itself in a heartbeat.
type Announcement struct {
	Incarnation ident.Incarnation
	Address     string
	Domain      ident.FailureDomain
	Services    []ident.Service
	// Slots is the number of tasks that the backend server runs concurrently.
	Slots int
	// Free is the number of idle slots.
	Free int
	// Queued is the number of tasks queued at the agent's gate.
	Queued int
	// Waiting is the number of tasks queued at the agent's home.
	Waiting int
	// Pace is the average time that a slot was busy per recently finished
	// task.
	Pace time.Duration
	// Running is the number of tasks at the backend server.
	Running int
	// Jobs is the number of unfinished jobs in the agent's home.
	Jobs int
	// Joined is the epoch in which the agent joined the placement, and zero if
	// it has not seen itself listed.
	Joined ident.Epoch
	// Leaving is true once the agent has started a planned leave.
	Leaving bool
	// AppliedState is the document version of the agent's permit and the epoch of its
	// placement: the state that the agent acts under.
	AppliedState permit.State
}

// Agent is one tracked incarnation.
type Agent struct {
	Announcement
	State State
	// OutOfService is true while the agent's failure domain or backend server is
	// out of service according to the operators' document.
	OutOfService bool
	// HeardAt is when this entry received the newest heartbeat.
	HeardAt time.Duration
	// ElsewhereAt is when another entry last reported that it receives
	// heartbeats of the agent.
	ElsewhereAt time.Duration
	// ChangedAt is when anything but the load last changed.
	ChangedAt time.Duration
	// announced is false until this entry has received a heartbeat of the
	// agent. Until then the agent is known from the placement or from another
	// entry.
	announced bool
	// superseded is true once a later incarnation has announced the same
	// address.
	superseded bool
}
