// Package clock reads the monotonic clock that keeps running while the process or
// the VM is suspended, so that a lease that expired during a suspension is seen as
// expired at once. It is safe for concurrent use.
package clock

/*
#include <time.h>

static long long boot_nanos(void) {
	struct timespec ts;
	if (clock_gettime(CLOCK_BOOTTIME, &ts) != 0) {
		return -1;
	}
	return (long long)ts.tv_sec * 1000000000LL + ts.tv_nsec;
}
*/
import "C"

import "time"

// Boot returns the time since boot, including suspended time. Every request reads this clock
// many times, so Boot calls the C library, which reads it without a system call.
func Boot() time.Duration {
	n := C.boot_nanos()
	if n < 0 {
		panic("clock: CLOCK_BOOTTIME unavailable")
	}
	return time.Duration(n)
}
