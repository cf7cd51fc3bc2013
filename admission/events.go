package admission

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// Limits bounds what one team may use over all entries of a cell. Zero means no
// limit unless the field says otherwise.
type Limits struct {
	Team ident.Team
	// StartsPerSecond bounds the long-term rate of admitted tasks per second.
	StartsPerSecond int
	// Burst is the number of tasks that may be admitted at once after a time
	// without any; zero means as many as StartsPerSecond.
	Burst int
	// Running bounds the tasks that are admitted and not finished.
	Running int
	// Queued bounds the jobs that wait at one entry; zero means the default.
	Queued int
	// Weight sets the team's share, relative to other teams, when slots are
	// scarce; zero counts as 1.
	Weight int
}

// Event is an input of the core.
type Event interface{ isAdmissionEvent() }

// Submit asks for a job to be admitted. It is answered by Admit or Refuse, now
// or later.
type Submit struct {
	ID    ident.RequestID
	Team  ident.Team
	Tasks int
	// Deadline is the time left until the whole job must have ended.
	Deadline time.Duration
}

// Done reports that an admitted job has ended.
type Done struct{ ID ident.RequestID }

// CallerGone reports that the caller of a job has disconnected. A waiting job is
// removed from its queue without an answer; an admitted one counts until Done.
type CallerGone struct{ ID ident.RequestID }

// SetLimits replaces the limits of all teams. A team that is not listed has no
// limits.
type SetLimits struct{ Limits []Limits }

// SetCapacity sets the capacity and load of the cell as of the latest heartbeats.
type SetCapacity struct {
	// Entries is the number of entries, this one included.
	Entries int
	// Slots is the number of slots that accept tasks, Free the number of idle
	// ones among them. If Slots is zero, no job waits for slots.
	Slots int
	Free  int
	// Waiting is the number of tasks that wait at homes and gates.
	Waiting int
	// Pace is the typical time that a slot is busy per task; zero if unknown.
	Pace time.Duration
}

// throughput returns the number of tasks per second that the slots finish if all
// are busy, or zero if that is unknown.
func (c SetCapacity) throughput() float64 {
	if c.Pace <= 0 {
		return 0
	}
	return float64(c.Slots) / c.Pace.Seconds()
}

// Demand is the recent demand of one team at one entry.
type Demand struct {
	Team ident.Team
	// StartsPerSecond is the rate of tasks submitted, refused ones included.
	StartsPerSecond float64
}

// PeerDemand sets the demand at another entry. It replaces the entry's earlier
// report.
type PeerDemand struct {
	Entry  ident.Incarnation
	Demand []Demand
}

// PeerGone removes another entry and its demand.
type PeerGone struct{ Entry ident.Incarnation }

// Tick is sent periodically, so that rate limits, deadlines and shares are
// re-evaluated.
type Tick struct{}

func (Submit) isAdmissionEvent()      {}
func (Done) isAdmissionEvent()        {}
func (CallerGone) isAdmissionEvent()  {}
func (SetLimits) isAdmissionEvent()   {}
func (SetCapacity) isAdmissionEvent() {}
func (PeerDemand) isAdmissionEvent()  {}
func (PeerGone) isAdmissionEvent()    {}
func (Tick) isAdmissionEvent()        {}

// Action is an output of the core.
type Action interface{ isAdmissionAction() }

// Admit admits a job.
type Admit struct {
	ID ident.RequestID
	// Handicap is added to the arrival time by which the job is ordered at its
	// home. It is more than zero if the team uses more than its fair share.
	Handicap time.Duration
}

// Refuse refuses a job. Nothing of it has been sent to any agent.
type Refuse struct {
	ID     ident.RequestID
	Reason job.Reason
	Detail string
	// RetryAfter is the time after which the caller may retry; zero if a retry is
	// pointless.
	RetryAfter time.Duration
}

func (Admit) isAdmissionAction()  {}
func (Refuse) isAdmissionAction() {}
