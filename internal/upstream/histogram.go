package upstream

import (
	"math"
	"time"
)

const (
	histogramLeast   = 50 * time.Microsecond
	histogramSteps   = 8 // buckets for each doubling
	histogramBuckets = 20 * histogramSteps
	histogramPeriod  = 5 * time.Second
)

// histogram counts latencies of the last one to two periods in logarithmic
// buckets. It is guarded by its owner.
type histogram struct {
	turnedAt time.Duration
	old, cur [histogramBuckets]uint32
	oldN     uint32
	curN     uint32
}

// add counts one latency at now.
func (h *histogram) add(now, latency time.Duration) {
	h.turn(now)
	h.cur[bucketOf(latency)]++
	h.curN++
}

// turn starts a new period when the current one is over.
func (h *histogram) turn(now time.Duration) {
	age := now - h.turnedAt
	if age < histogramPeriod {
		return
	}
	h.old, h.oldN = h.cur, h.curN
	if age >= 2*histogramPeriod {
		h.old, h.oldN = [histogramBuckets]uint32{}, 0
	}
	h.cur, h.curN = [histogramBuckets]uint32{}, 0
	h.turnedAt = now
}

// addTo adds the counts to sum and returns how many they are.
func (h *histogram) addTo(now time.Duration, sum *[histogramBuckets]uint32) uint32 {
	h.turn(now)
	for i := range sum {
		sum[i] += h.cur[i] + h.old[i]
	}
	return h.curN + h.oldN
}

// median returns the median of the counts; 0 where there are none.
func (h *histogram) median(now time.Duration) time.Duration {
	var counts [histogramBuckets]uint32
	n := h.addTo(now, &counts)
	return quantile(&counts, n, latencyMedian)
}

// quantile returns the upper edge of the bucket that holds quantile q of n counts.
func quantile(counts *[histogramBuckets]uint32, n uint32, q float64) time.Duration {
	rank := uint32(math.Ceil(q * float64(n)))
	var seen uint32
	if n == 0 {
		return 0
	}
	for i, c := range counts {
		seen += c
		if seen >= rank {
			return time.Duration(float64(histogramLeast) * math.Exp2(float64(i+1)/histogramSteps))
		}
	}
	return 0
}

// bucketOf returns the bucket of a latency.
func bucketOf(latency time.Duration) int {
	if latency <= histogramLeast {
		return 0
	}
	i := int(math.Log2(float64(latency)/float64(histogramLeast)) * histogramSteps)
	return min(i, histogramBuckets-1)
}
