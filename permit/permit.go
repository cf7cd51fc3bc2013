// Package permit implements start permits: short leases that entries grant and
// under which agents accept jobs and start tasks. A permit states that, less than
// one lease ago, the platform still named a document version and a placement epoch
// as the newest ones. An agent accepts jobs and starts tasks only under a live
// permit, so a change is in force everywhere once every permit that names the old
// state has lapsed.
//
// Granter is the entry's side, and Holder is the agent's side. Both are cores
// without I/O, clock or goroutine. Which agents exist is not decided here but in
// packages placement and membership.
package permit

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// Lease is how long a permit stays live after the read that confirmed it.
const Lease = 2 * time.Second

// Permit is one lease as the agent keeps it.
type Permit struct {
	// Version and Epoch are the state that the permit names.
	Version ident.DocVersion
	Epoch   ident.Epoch
	// InService is true if the holder's failure domain and backend server are
	// in service at Version.
	InService bool
	// Ramp is the time over which the usable slots of the holder's backend
	// server grow to their full number when it comes back into service.
	Ramp time.Duration
	// Until is the end of the lease on the holder's monotonic clock, counted
	// from the holder's own origin.
	Until time.Duration
}

// Live reports whether the lease has not ended at the monotonic time now.
func (p Permit) Live(now time.Duration) bool { return now < p.Until }
