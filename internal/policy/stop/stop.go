// Package stop decides which new requests a VM still takes while it stops. A request that is cut at the
// end of the stop may have run, so its caller can't send it again; one that is refused before it was sent goes
// to another VM. The package is pure; the owner guards each Durations.
package stop

import (
	"slices"
	"time"
)

const (
	// window is the number of requests whose durations are kept.
	window = 32
	// outliers is how many of a full window may last longer than the forecast: one upstream that hangs must
	// not have all requests refused.
	outliers = 2
	// minSamples is the least number of durations from which a new one is forecast.
	minSamples = 3
	// margin is added to the forecast, as a share of it.
	margin = 0.25
)

// Durations holds how long the last requests of one kind took. The zero value holds none.
type Durations struct {
	last  [window]time.Duration
	count int // of all requests
}

// Observe records how long a request took.
func (d *Durations) Observe(took time.Duration) {
	d.last[d.count%window] = took
	d.count++
}

// Forecast returns how long a new request takes at most, as far as the last ones show; 0 if too few are
// known.
func (d *Durations) Forecast() time.Duration {
	n := min(d.count, window)
	if n < minSamples {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.last[:n]))
	longest := sorted[n-1-outliers*n/window]
	return longest + time.Duration(margin*float64(longest))
}

// Takes reports whether a request that may last for as long as forecast, and not beyond deadline, ends
// before the time that is left until all requests are cut.
func Takes(left, forecast, deadline time.Duration) bool { return min(forecast, deadline) <= left }
