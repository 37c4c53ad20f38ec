package upstream

import (
	"math"
	"time"
)

const (
	histogramMin       = 50 * time.Microsecond
	bucketsPerDoubling = 8
	histogramBuckets   = 20 * bucketsPerDoubling
	histogramPeriod    = 5 * time.Second
)

// latencyCounts are the counts of one period by bucket.
type latencyCounts [histogramBuckets]uint32

// histogram counts the latencies of the current and the previous period in
// logarithmic buckets. The counts of a period without samples take no memory: most VMs send to few
// of the upstreams. It is not safe for concurrent use.
type histogram struct {
	rotatedAt time.Duration
	old, cur  *latencyCounts // nil for no samples
	oldN      uint32
	curN      uint32
}

// add counts a latency observed at now.
func (h *histogram) add(now, latency time.Duration) {
	h.rotate(now)
	if h.cur == nil {
		h.cur = new(latencyCounts)
	}
	h.cur[bucketOf(latency)]++
	h.curN++
}

// rotate starts a new period when the current one is over.
func (h *histogram) rotate(now time.Duration) {
	age := now - h.rotatedAt
	if age < histogramPeriod {
		return
	}
	spare := h.old
	h.old, h.oldN = h.cur, h.curN
	h.cur, h.curN = nil, 0
	if age >= 2*histogramPeriod {
		h.old, h.oldN = nil, 0
	}
	if h.old != nil && spare != nil {
		*spare = latencyCounts{}
		h.cur = spare
	}
	if h.oldN == 0 {
		h.old = nil
	}
	h.rotatedAt = now
}

// addTo adds the counts of both periods to sum and returns their total.
func (h *histogram) addTo(now time.Duration, sum *latencyCounts) uint32 {
	h.rotate(now)
	for _, period := range []*latencyCounts{h.cur, h.old} {
		if period == nil {
			continue
		}
		for i, n := range period {
			sum[i] += n
		}
	}
	return h.curN + h.oldN
}

// median returns the median latency; 0 if there are no samples.
func (h *histogram) median(now time.Duration) time.Duration {
	var counts latencyCounts
	n := h.addTo(now, &counts)
	return quantile(&counts, n, medianQuantile)
}

// quantile returns the upper bound of the bucket that holds quantile q of n samples; 0
// if n is 0.
func quantile(counts *latencyCounts, n uint32, q float64) time.Duration {
	rank := uint32(math.Ceil(q * float64(n)))
	var seen uint32
	if n == 0 {
		return 0
	}
	for i, c := range counts {
		seen += c
		if seen >= rank {
			return time.Duration(float64(histogramMin) * math.Exp2(float64(i+1)/bucketsPerDoubling))
		}
	}
	return 0
}

// bucketOf returns the index of a latency's bucket; the last one has no upper bound.
func bucketOf(latency time.Duration) int {
	if latency <= histogramMin {
		return 0
	}
	i := int(math.Log2(float64(latency)/float64(histogramMin)) * bucketsPerDoubling)
	return min(i, histogramBuckets-1)
}
