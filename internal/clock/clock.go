// Package clock reads a clock that keeps running while the process or the VM
// is suspended, so that a lease is seen as expired at once after a freeze.
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

// Boot returns the time since boot, including time suspended. It is read on each hot
// path, and the C library reads it without a system call.
func Boot() time.Duration {
	n := C.boot_nanos()
	if n < 0 {
		panic("clock: CLOCK_BOOTTIME unavailable")
	}
	return time.Duration(n)
}
