// Package clock is the steady clock of a process, for everything that rests on
// leases. Unlike the clock behind time.Now it also counts the time for which the
// VM was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was started, suspensions included. The value
// means nothing to other processes.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39, so this breaks an invariant.
		panic("clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
