// Package clock is the monotonic clock of a process, for everything that depends on
// leases. Unlike the monotonic clock of time.Now it also counts the time for which the
// VM was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted, including suspensions. The value is
// comparable only within the VM; other processes can't interpret it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Can't happen: Linux has had this clock since 2.6.39.
		panic("clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
