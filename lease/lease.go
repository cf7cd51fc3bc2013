// Package lease computes the durations of the leases under which tasks run: how
// long an agent runs tasks without hearing from their entry, how long a backend
// server runs them without hearing from its agent, and the bound on both together.
//
// A caller that lost the answer to its job may submit the job again, at any entry,
// after a known delay. The two submissions are not coordinated, so every run of
// the first one has to end before that delay is over:
//
//	entry gone -> agent stops its runs after Entry and StopTime
//	agent gone as well -> its last renewal expires after Server, on a slow clock
//
// and Entry + Server (with clock drift) + StopTime stays below the delay.
package lease

import (
	"fmt"
	"time"
)

// ClockDrift is the largest fraction by which the monotonic clock of a backend
// server may run slow.
const ClockDrift = 0.02

// Lease durations as shares of the delay after which a job may be submitted again.
// Their sum, with the clock drift and the time to stop a run, stays below 1.
const (
	entryShare  = 0.32
	serverShare = 0.24
)

// heartbeatsPerLease is the number of heartbeats sent within an entry lease, so that two
// may be late.
const heartbeatsPerLease = 4

// renewalsPerLease is the number of renewals within the duration of a server lease.
const renewalsPerLease = 3

// Terms are the durations of the leases and of what they are derived from.
type Terms struct {
	// Entry is how long an agent runs tasks of an entry without hearing from it.
	Entry time.Duration
	// HeartbeatInterval is the interval between the heartbeats of an entry.
	HeartbeatInterval time.Duration
	// Server is the duration of the lease that an agent requests from its backend
	// server, on the backend server's clock.
	Server time.Duration
	// ServerMax is the longest lease that a backend server grants to any agent.
	ServerMax time.Duration
	// RenewInterval is the longest interval between two renewals of the server lease.
	RenewInterval time.Duration
	// StopTime is the longest time that a backend server takes to stop a run.
	StopTime time.Duration
	// ResendDelay is the delay after which a job whose answer was lost may be submitted
	// again.
	ResendDelay time.Duration
}

// New returns the terms for a site. resend is the delay after which a job may be
// submitted again, serverMax the longest lease that a backend server grants,
// stopTime how long it takes to stop a run. It returns an error if a duration is out
// of range, or if runs could last longer than resend.
func New(resend, serverMax, stopTime time.Duration) (Terms, error) {
	if resend <= 0 || serverMax <= 0 || stopTime < 0 {
		return Terms{}, fmt.Errorf("lease terms: resend delay %v and longest lease %v must be positive, stop time %v must not be negative", resend, serverMax, stopTime)
	}
	t := Terms{
		Entry:       time.Duration(float64(resend) * entryShare),
		Server:      min(serverMax, time.Duration(float64(resend)*serverShare)),
		ServerMax:   serverMax,
		StopTime:    stopTime,
		ResendDelay: resend,
	}
	t.HeartbeatInterval = t.Entry / heartbeatsPerLease
	t.RenewInterval = t.Server / renewalsPerLease
	if t.MaxRunAfterEntryLoss() >= resend {
		return Terms{}, fmt.Errorf("lease terms: runs may last %v after their entry is gone, but jobs may be resubmitted after %v", t.MaxRunAfterEntryLoss(), resend)
	}
	return t, nil
}

// MaxRunAfterRenewal returns the longest time, on any clock, from the last renewal
// until the backend server has stopped all runs under the lease.
func (t Terms) MaxRunAfterRenewal() time.Duration {
	return time.Duration(float64(t.Server)*(1+ClockDrift)) + t.StopTime
}

// MaxRunAfterAnyRenewal returns the same bound for a lease of unknown duration, which
// is at most ServerMax.
func (t Terms) MaxRunAfterAnyRenewal() time.Duration {
	return time.Duration(float64(t.ServerMax)*(1+ClockDrift)) + t.StopTime
}

// Margin returns the time between the end of the last run of a lost entry and the earliest
// resubmission of its jobs.
func (t Terms) Margin() time.Duration { return t.ResendDelay - t.MaxRunAfterEntryLoss() }

// MaxRunAfterEntryLoss returns the longest time from the last message that an agent
// received from an entry until no run of that entry is left there, whatever happens to
// the agent meanwhile.
func (t Terms) MaxRunAfterEntryLoss() time.Duration { return t.Entry + t.MaxRunAfterRenewal() }
