package testkit

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Supply measures which part of the processor time that this process wants it gets, beside the
// other work of the machine. A bound on how fast concurrent code is holds for a process that gets
// all of it; see Stretch.
type Supply struct{ ran, waited time.Duration } // at the start, summed over threads

// StartSupply starts a measurement.
func StartSupply() Supply { return threadTimes() }

// Stretch returns the time that work of the given duration takes with the processor time that the
// process got since the start: the duration itself if no thread waited for a processor. It also is
// if the kernel does not say how long they waited.
func (s Supply) Stretch(d time.Duration) time.Duration {
	return s.stretch(threadTimes(), d)
}

func (s Supply) stretch(now Supply, d time.Duration) time.Duration {
	ran, waited := now.ran-s.ran, now.waited-s.waited
	if ran <= 0 || waited <= 0 {
		return d
	}
	return time.Duration(float64(d) * float64(ran+waited) / float64(ran))
}

// threadTimes returns how long the threads of this process ran, and how long they waited for a
// processor while they could run. A thread that ends meanwhile is left out.
func threadTimes() (sum Supply) {
	files, err := filepath.Glob("/proc/self/task/*/schedstat")
	if err != nil {
		return Supply{}
	}
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		var ranNs, waitedNs int64
		if _, err := fmt.Sscan(string(b), &ranNs, &waitedNs); err == nil {
			sum.ran += time.Duration(ranNs)
			sum.waited += time.Duration(waitedNs)
		}
	}
	return sum
}
