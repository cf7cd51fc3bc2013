package permit

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// State identifies one snapshot of the platform: a document version and a
// placement epoch that were the newest at the same moment. Commits are totally
// ordered and each raises one of the two numbers, so of any two committed states
// one is at least as new in both numbers.
type State struct {
	Version ident.DocVersion
	Epoch   ident.Epoch
}

// NewerThan reports whether s is newer than o in at least one of the numbers.
func (s State) NewerThan(o State) bool {
	return s.Version > o.Version || s.Epoch > o.Epoch
}

// Covers reports whether s is at least as new as o in both numbers.
func (s State) Covers(o State) bool { return !o.NewerThan(s) }

// Join returns the larger value of each number. The result is a lower bound of the
// newest state, not necessarily a state that was ever committed.
func (s State) Join(o State) State {
	return State{Version: max(s.Version, o.Version), Epoch: max(s.Epoch, o.Epoch)}
}

// Confirmation states that State was still the newest at ReadAt. ReadAt is on the
// monotonic clock of the process that keeps the confirmation.
type Confirmation struct {
	State  State
	ReadAt time.Duration
}

// Age returns how old the confirmation is at now.
func (c Confirmation) Age(now time.Duration) time.Duration { return now - c.ReadAt }

// Fresh reports whether a permit may still be granted from the confirmation.
func (c Confirmation) Fresh(now time.Duration) bool { return c.Age(now) < Lease }

// ConfirmationFromAnswer translates a confirmation in the answer to a request to
// the clock of the process that sent the request. The answer was written after the
// request was sent, so counting the age from sentAt can make the confirmation older
// than it is, but never younger. A confirmation in a request must not be
// translated, since the delay of the request is unknown.
func ConfirmationFromAnswer(sentAt time.Duration, s State, age time.Duration) Confirmation {
	return Confirmation{State: s, ReadAt: sentAt - max(age, 0)}
}

// Grant is the permit in a heartbeat reply.
type Grant struct {
	State State
	// InService is true if the receiver's failure domain and backend server
	// are in service at State.Version.
	InService bool
	// Ramp is as in Permit.
	Ramp time.Duration
	// Remaining is the remaining time of the lease. If it is zero nothing is
	// granted, and State only informs the receiver of a newer state.
	Remaining time.Duration
}
