// Package membership decides who belongs to a cell. Agents announce themselves
// to every entry by heartbeats; a Tracker turns heartbeats and silence into the
// states up, leaving, suspected and gone, and a Planner turns these into the
// next placement epoch. Health is local and fast; epochs are agreed through the
// platform and slow.
package membership

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
)

// State is what an entry makes of one agent incarnation. The numbers are those
// of the protocol.
type State int

// The states.
const (
	// Up means that heartbeats arrive and the agent takes work.
	Up State = iota + 1
	// Leaving means that the agent announced a planned leave.
	Leaving
	// Suspected means a short silence: no new work, but still a member.
	Suspected
	// Gone means a long silence: the next epoch no longer lists the agent. It
	// is not the end of the incarnation; a heartbeat brings it back until an
	// epoch has removed it.
	Gone
)

// String names the state for logs and reports.
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

// Config holds the times and bounds of a Tracker and a Planner.
type Config struct {
	// SuspectAfter is the silence after which an agent gets no new work.
	// Shorter spares jobs from a dead agent, longer spares a live agent from
	// a short pause.
	SuspectAfter time.Duration
	// GoneAfter is the silence after which an agent is taken out of the
	// placement and loses its records. It must be longer than SuspectAfter.
	GoneAfter time.Duration
	// ForgetAfter is how long a gone agent that no epoch lists is still told
	// to peers, so that all of them hear of it.
	ForgetAfter time.Duration
	// EpochGap is the shortest time between two epochs that this entry
	// proposes, and how long it gathers changes into one. Longer means fewer
	// epochs and later joins.
	EpochGap time.Duration
	// RankDelay is waited once more for every live entry that ranks before
	// this one, so that normally only the first one proposes.
	RankDelay time.Duration
	// MaxMembers bounds the members of one cell. Agents beyond it run tasks
	// but are the home of no job.
	MaxMembers int
	// MaxAgents bounds the incarnations that are tracked, in any state.
	// Heartbeats of further ones are refused.
	MaxAgents int
	// Retention is how long a former member stays in the row after it left.
	// It must cover the life of job records and the skew of wall clocks.
	Retention time.Duration
	// LoadSample is the number of peers whose load each heartbeat reply
	// refreshes, beside those that changed state. More costs bandwidth in
	// proportion.
	LoadSample int
}

// DefaultConfig returns the times that the daemons use, made for heartbeats
// every 500 ms.
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

// Validate reports the first setting that can't work.
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

// Announcement is what an agent says of itself in a heartbeat.
type Announcement struct {
	Incarnation ident.Incarnation
	Address     string
	Domain      ident.FailureDomain
	Services    []ident.Service
	// Slots is the number of tasks the backend server runs at a time.
	Slots int
	// Free is the number of idle slots.
	Free int
	// Queued is the number of tasks that wait at the agent's gate.
	Queued int
	// Waiting is the number of tasks that wait at the agent's home.
	Waiting int
	// Pace is the time that slots were busy for each task finished lately.
	Pace time.Duration
	// Running is the number of tasks at the backend server.
	Running int
	// Jobs is the number of unfinished jobs in the agent's home.
	Jobs int
	// Joined is the epoch in which the agent found itself listed first, and
	// zero if it never did.
	Joined ident.Epoch
	// Leaving says that the agent wants to leave as planned.
	Leaving bool
	// Known is the newest document version and epoch the agent heard of.
	Known permit.State
}

// Agent is one tracked incarnation.
type Agent struct {
	Announcement
	State State
	// OutOfService is true while the operators' document has taken the agent's
	// failure domain or backend server out of service.
	OutOfService bool
	// HeardAt is when the newest heartbeat arrived here.
	HeardAt time.Duration
	// ElsewhereAt is when another entry last said that it hears the agent.
	ElsewhereAt time.Duration
	// ChangedAt is when anything but load last changed.
	ChangedAt time.Duration
	// announced is false for a member of the placement that has not been
	// heard since this process started.
	announced bool
	// superseded is true once a later incarnation announced the same address.
	superseded bool
}
