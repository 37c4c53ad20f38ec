package upstream

import "time"

const (
	// hedgeQuantile leaves the usual hedge budget of a few percent for the attempts
	// that are truly late.
	hedgeQuantile = 0.98
	// hedgeMedians bounds the hedge delay where stragglers are so many that they
	// reach into the quantile.
	maxHedgeMedians    = 3
	minQuantileSamples = 20
	// Of fewSamples or more, but too few for a quantile, fewMedians medians are used.
	minHedgeSamples  = 3
	fewSampleMedians = 4
	hedgeCacheTTL    = 250 * time.Millisecond
	medianQuantile   = 0.5
	tailQuantile     = 0.99
)

// hedgeDelay is a computed delay; known is false where samples were too few.
type hedgeDelay struct {
	computedAt time.Duration
	delay      time.Duration
	known      bool
}

// HedgeDelay returns the time after which a sub-request to the shard is late: a
// high quantile of the recent latency of the shard's fastest replica, or of the
// whole workload where the shard has few samples. A replica that is always slow
// thus does not make the others' attempts wait. It is false where unknown.
func (c *Client) HedgeDelay(workload, shard string) (time.Duration, bool) {
	t := c.current.Load()
	now := c.opts.Now()
	if d := t.groups[groupKey{workload, shard}].cachedDelay(now, fastestDelay); d.known {
		return d.delay, true
	}
	d := t.workloads[workload].cachedDelay(now, pooledDelay)
	return d.delay, d.known
}

// cachedDelay returns the group's delay, computed anew where it is old.
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

// hedgeAfter returns the time after which an attempt with such latencies is late.
func hedgeAfter(counts *[histogramBuckets]uint32, n uint32) time.Duration {
	return min(quantile(counts, n, hedgeQuantile), maxHedgeMedians*quantile(counts, n, medianQuantile))
}

// fastestDelay returns the least delay of the servers with enough samples.
func fastestDelay(servers []*server, now time.Duration) (time.Duration, bool) {
	var least time.Duration
	for _, s := range servers {
		var counts [histogramBuckets]uint32
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

// pooledDelay returns the delay by all servers' samples together.
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

// pooled returns the servers' recent latencies together, and how many they are.
func pooledLatencies(servers []*server, now time.Duration) (counts [histogramBuckets]uint32, n uint32) {
	for _, s := range servers {
		n += s.addLatencies(now, &counts)
	}
	return counts, n
}

// addLatencies adds the server's recent latencies to counts.
func (s *server) addLatencies(now time.Duration, counts *[histogramBuckets]uint32) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latencies.addTo(now, counts)
}

// Latency returns the median and the 99th percentile of a workload's recent
// latency; 0 where unknown.
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
