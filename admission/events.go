package admission

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// Limits are what one team may use over all entries of a cell. Zero means no
// limit of that sort.
type Limits struct {
	Team ident.Team
	// StartsPerSecond bounds the tasks admitted per second, over a longer time.
	StartsPerSecond int
	// Burst is the number of tasks that may be admitted at once after a pause;
	// zero means those of one second.
	Burst int
	// Running bounds the tasks that are admitted and not finished.
	Running int
	// Queued bounds the jobs that wait at one entry.
	Queued int
	// Weight is the team's share when slots are short; zero counts as 1.
	Weight int
}

// Event is one input of the core.
type Event interface{ isAdmissionEvent() }

// Submit asks for a job to be admitted. It is answered by Admit or Refuse, now
// or later.
type Submit struct {
	ID    ident.RequestID
	Team  ident.Team
	Tasks int
	// Deadline is the time left for the whole job.
	Deadline time.Duration
}

// Done says that an admitted job has ended.
type Done struct{ ID ident.RequestID }

// Gone says that the caller of a job hung up. A waiting job is dropped without an
// answer; an admitted one goes on until Done.
type Gone struct{ ID ident.RequestID }

// SetLimits replaces the limits of all teams. A team without limits has none.
type SetLimits struct{ Limits []Limits }

// SetCapacity describes the cell by its latest heartbeats.
type SetCapacity struct {
	// Entries is the number of entries, this one included.
	Entries int
	// Slots is the number of slots that accept tasks, Free that of the idle
	// ones among them. Without slots nothing is held back for want of them.
	Slots int
	Free  int
	// Waiting is the number of tasks that wait at homes and gates.
	Waiting int
	// Pace is how long a slot is busy for each task, usually; zero if unknown.
	Pace time.Duration
}

// drain is the number of tasks per second that the slots finish if all are busy.
func (c SetCapacity) drain() float64 {
	if c.Pace <= 0 {
		return 0
	}
	return float64(c.Slots) / c.Pace.Seconds()
}

// Demand is what one entry lately wanted to start for one team.
type Demand struct {
	Team ident.Team
	// StartsPerSecond is the rate of tasks submitted, refused ones included.
	StartsPerSecond float64
}

// PeerDemand is the demand at another entry. It replaces what that entry said
// before.
type PeerDemand struct {
	Entry  ident.Incarnation
	Demand []Demand
}

// PeerGone forgets another entry.
type PeerGone struct{ Entry ident.Incarnation }

// Tick lets time pass: rates, deadlines, shares.
type Tick struct{}

func (Submit) isAdmissionEvent()      {}
func (Done) isAdmissionEvent()        {}
func (Gone) isAdmissionEvent()        {}
func (SetLimits) isAdmissionEvent()   {}
func (SetCapacity) isAdmissionEvent() {}
func (PeerDemand) isAdmissionEvent()  {}
func (PeerGone) isAdmissionEvent()    {}
func (Tick) isAdmissionEvent()        {}

// Action is one output of the core.
type Action interface{ isAdmissionAction() }

// Admit lets a job pass.
type Admit struct {
	ID ident.RequestID
	// Handicap sets the job back among those that wait at its home. It is more
	// than zero if the team uses more than its fair part.
	Handicap time.Duration
}

// Refuse turns a job away. Nothing of it was sent anywhere.
type Refuse struct {
	ID     ident.RequestID
	Reason job.Reason
	Detail string
	// RetryAfter is when the caller may come back; zero if that is pointless.
	RetryAfter time.Duration
}

func (Admit) isAdmissionAction()  {}
func (Refuse) isAdmissionAction() {}
