// Package clock reads a clock that keeps running while the process or the VM
// is suspended, so that a lease is seen as expired at once after a freeze.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since boot, including time suspended.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME unavailable: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
