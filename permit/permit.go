// Package permit carries the short leases under which agents act. A permit says
// that, a moment ago, the platform still named a document version and a
// placement epoch as the newest ones. An agent starts tasks and accepts jobs
// only under a live permit, so a change is in force everywhere as soon as every
// permit that names the old state has lapsed.
package permit

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// Lease is how long a permit may outlive the read that confirmed it.
const Lease = 2 * time.Second

// Permit is one lease as its holder keeps it.
type Permit struct {
	Version ident.DocVersion
	Epoch   ident.Epoch
	// InService says that the holder's failure domain and backend server are
	// in service at Version.
	InService bool
	// Ramp is the time over which the holder takes up its full work when it
	// comes back into service.
	Ramp time.Duration
	// Until is the end of the lease on the holder's monotonic clock, counted
	// from the holder's own origin.
	Until time.Duration
}

// Live reports whether the lease holds at the monotonic time now.
func (p Permit) Live(now time.Duration) bool { return now < p.Until }
