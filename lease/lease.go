// Package lease holds the terms under which tasks run: how long an agent runs
// tasks without hearing from their entry, how long a backend server runs them
// without hearing from its agent, and the bound that follows for both.
//
// A job whose caller lost its answer comes again at any entry after a known
// delay. Nothing coordinates the two, so every run of the first sending has to
// have ended before that delay is over:
//
//	entry gone -> agent stops its runs after Entry and StopTime
//	agent gone as well -> its last renewal lapses after Server, on a slow clock
//
// and Entry + Server (slowed) + StopTime stays below the delay.
package lease

import (
	"fmt"
	"time"
)

// ClockDrift is by how much the steady clock of a backend server may be slow.
const ClockDrift = 0.02

// Shares of the delay after which a job may come again. Their sum, with the
// drift and the time of a stop, stays below 1.
const (
	entryShare  = 0.32
	serverShare = 0.24
)

// Beats of an entry lease: this many heartbeats are sent within it, so that two
// may be late.
const beatsPerLease = 4

// Renewals of a server lease within its time.
const renewalsPerLease = 3

// Terms are the times of the leases.
type Terms struct {
	// Entry is how long an agent runs tasks of an entry that it doesn't hear.
	Entry time.Duration
	// Beat is the pause between the heartbeats of an entry.
	Beat time.Duration
	// Server is the lease on the backend server's clock.
	Server time.Duration
	// ServerMax is the longest lease that a backend server grants to anybody.
	ServerMax time.Duration
	// Renew is the longest pause between two renewals.
	Renew time.Duration
	// StopTime is how long a backend server takes to end a run.
	StopTime time.Duration
	// Resend is the delay after which a job whose answer was lost may come again.
	Resend time.Duration
}

// New returns the terms for a site. serverMax is the longest lease that a
// backend server grants, stopTime how long it takes to stop a run.
func New(resend, serverMax, stopTime time.Duration) (Terms, error) {
	if resend <= 0 || serverMax <= 0 || stopTime < 0 {
		return Terms{}, fmt.Errorf("lease terms: resend delay %v and longest lease %v must be above 0, stop time %v not below", resend, serverMax, stopTime)
	}
	t := Terms{
		Entry:     time.Duration(float64(resend) * entryShare),
		Server:    min(serverMax, time.Duration(float64(resend)*serverShare)),
		ServerMax: serverMax,
		StopTime:  stopTime,
		Resend:    resend,
	}
	t.Beat = t.Entry / beatsPerLease
	t.Renew = t.Server / renewalsPerLease
	if t.Gone() >= resend {
		return Terms{}, fmt.Errorf("lease terms: runs may go on for %v after their entry is gone, but jobs come again after %v", t.Gone(), resend)
	}
	return t, nil
}

// Lapse is the longest time, on any clock, from a renewal until the backend
// server has ended everything that wasn't renewed again.
func (t Terms) Lapse() time.Duration {
	return time.Duration(float64(t.Server)*(1+ClockDrift)) + t.StopTime
}

// LapseAny is Lapse for a lease of unknown length.
func (t Terms) LapseAny() time.Duration {
	return time.Duration(float64(t.ServerMax)*(1+ClockDrift)) + t.StopTime
}

// Gone is the longest time from the last word that an agent has heard from an
// entry until nothing runs there on that entry's account, whatever happens to
// the agent meanwhile.
func (t Terms) Gone() time.Duration { return t.Entry + t.Lapse() }
