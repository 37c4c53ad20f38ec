package upstream

import "time"

const (
	// hedgeQuantile is so high that a hedge budget of a few percent is used for the slowest
	// attempts only.
	hedgeQuantile = 0.98
	// maxHedgeMedians bounds the hedge delay, in medians, if stragglers are frequent
	// enough to raise the quantile itself.
	maxHedgeMedians    = 3
	minQuantileSamples = 20
	// With at least minHedgeSamples but fewer than minQuantileSamples, the delay is
	// fewSampleMedians times the median.
	minHedgeSamples  = 3
	fewSampleMedians = 4
	hedgeCacheTTL    = 250 * time.Millisecond
	medianQuantile   = 0.5
	tailQuantile     = 0.99
)

// hedgeDelay is a cached delay; known is false if there were too few samples.
type hedgeDelay struct {
	computedAt time.Duration
	delay      time.Duration
	known      bool
}

// LatencyQuantile returns the time after which a sub-request to the shard is late: a high
// quantile of the recent latency of the shard's fastest replica, at most maxHedgeMedians
// medians. The fastest is used so that a slow replica does not delay hedges against the
// others. If the shard has few samples, those of the whole workload are used, and only
// their median if these are few as well. If there are too few even for a median,
// LatencyQuantile returns false.
func (c *Client) LatencyQuantile(workload, shard string) (time.Duration, bool) {
	t := c.current.Load()
	now := c.opts.Now()
	if d := t.groups[groupKey{workload, shard}].cachedDelay(now, fastestDelay); d.known {
		return d.delay, true
	}
	d := t.workloads[workload].cachedDelay(now, pooledDelay)
	return d.delay, d.known
}

// cachedDelay returns the group's delay, recomputed once it is older than hedgeCacheTTL.
func (g *group) cachedDelay(now time.Duration, compute func([]*server, time.Duration) (time.Duration, bool)) hedgeDelay {
	if g == nil {
		return hedgeDelay{}
	}
	if d := g.hedge.Load(); d != nil && now-d.computedAt < hedgeCacheTTL {
		return *d
	}
	delay, known := compute(g.servers, now)
	d := &hedgeDelay{computedAt: now, delay: delay, known: known}
	g.hedge.Store(d)
	return *d
}

// hedgeAfter returns the time after which an attempt is late, given n recent latencies.
func hedgeAfter(counts *latencyCounts, n uint32) time.Duration {
	return min(quantile(counts, n, hedgeQuantile), maxHedgeMedians*quantile(counts, n, medianQuantile))
}

// fastestDelay returns the shortest delay of the servers with enough samples; false if
// none has them.
func fastestDelay(servers []*server, now time.Duration) (time.Duration, bool) {
	var least time.Duration
	for _, s := range servers {
		var counts latencyCounts
		n := s.addLatencies(now, &counts)
		if n < minQuantileSamples {
			continue
		}
		d := hedgeAfter(&counts, n)
		if least == 0 || d < least {
			least = d
		}
	}
	return least, least > 0
}

// pooledDelay returns the delay computed from the samples of all servers together;
// false if they are too few.
func pooledDelay(servers []*server, now time.Duration) (time.Duration, bool) {
	counts, n := pooledLatencies(servers, now)
	switch {
	case n < minHedgeSamples:
		return 0, false
	case n < minQuantileSamples:
		return fewSampleMedians * quantile(&counts, n, medianQuantile), true
	default:
		return hedgeAfter(&counts, n), true
	}
}

// pooledLatencies returns the histogram and number of the servers' recent latencies.
func pooledLatencies(servers []*server, now time.Duration) (counts latencyCounts, n uint32) {
	for _, s := range servers {
		n += s.addLatencies(now, &counts)
	}
	return counts, n
}

// addLatencies adds the server's recent latencies to counts and returns their number.
func (s *server) addLatencies(now time.Duration, counts *latencyCounts) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latencies.addTo(now, counts)
}

// Latency returns the median and the 99th percentile of a workload's recent latency; 0
// if there are no samples.
func (c *Client) Latency(workload string) (p50, p99 time.Duration) {
	g := c.current.Load().workloads[workload]
	if g == nil {
		return 0, 0
	}
	counts, n := pooledLatencies(g.servers, c.opts.Now())
	if n == 0 {
		return 0, 0
	}
	return quantile(&counts, n, medianQuantile), quantile(&counts, n, tailQuantile)
}
