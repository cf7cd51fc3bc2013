package permit

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// State names one snapshot of the platform: the document version and the
// placement epoch that were committed at the same moment. Commits are totally
// ordered and each raises one of the two numbers, so any two genuine states are
// ordered in both numbers at once.
type State struct {
	Version ident.DocVersion
	Epoch   ident.Epoch
}

// NewerThan reports whether s has anything that o does not have yet.
func (s State) NewerThan(o State) bool {
	return s.Version > o.Version || s.Epoch > o.Epoch
}

// Covers reports whether s is at least as new as o in both numbers.
func (s State) Covers(o State) bool { return !o.NewerThan(s) }

// Join returns the newest of both numbers. It is a floor that must never be
// undercut, not necessarily a state that was ever committed.
func (s State) Join(o State) State {
	return State{Version: max(s.Version, o.Version), Epoch: max(s.Epoch, o.Epoch)}
}

// Confirmation is the proof that State was still the newest at ReadAt. ReadAt is
// on the monotonic clock of whoever keeps the confirmation.
type Confirmation struct {
	State  State
	ReadAt time.Duration
}

// Age returns how old the confirmation is at now.
func (c Confirmation) Age(now time.Duration) time.Duration { return now - c.ReadAt }

// Fresh reports whether a permit may still rest on the confirmation.
func (c Confirmation) Fresh(now time.Duration) bool { return c.Age(now) < Lease }

// FromAnswer translates a confirmation out of the answer to a request. The
// answer was written after the request was sent, so counting the age from
// sentAt makes the confirmation older than it is and never younger. A
// confirmation that arrives inside a request must not be translated, since
// nobody knows how long the request was under way.
func FromAnswer(sentAt time.Duration, s State, age time.Duration) Confirmation {
	return Confirmation{State: s, ReadAt: sentAt - max(age, 0)}
}

// Fields is what a heartbeat reply carries of a permit.
type Fields struct {
	State State
	// InService says that the receiver's failure domain and backend server
	// are in service at State.Version.
	InService bool
	// Ramp is as in Permit.
	Ramp time.Duration
	// Remaining is what is left of the lease. Zero makes the fields mere news
	// of a newer state.
	Remaining time.Duration
}
