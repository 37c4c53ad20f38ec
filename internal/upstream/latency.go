package upstream

import "time"

const (
	hedgeQuantile = 0.95
	hedgeSamples  = 20
	hedgeCache    = 250 * time.Millisecond
	latencyMedian = 0.5
	latencyTail   = 0.99
)

// hedgeDelay is a computed delay; known is false where samples were too few.
type hedgeDelay struct {
	at    time.Duration
	delay time.Duration
	known bool
}

// HedgeDelay returns the time after which a sub-request to the shard is late: a
// high quantile of the recent latency of the shard's fastest replica, or of the
// whole workload where the shard has few samples. A replica that is always slow
// thus does not make the others' attempts wait. It is false where unknown.
func (c *Client) HedgeDelay(workload, shard string) (time.Duration, bool) {
	t := c.current.Load()
	now := c.o.Now()
	if d := t.groups[groupKey{workload, shard}].cachedDelay(now, fastestQuantile); d.known {
		return d.delay, true
	}
	d := t.workloads[workload].cachedDelay(now, pooledQuantile)
	return d.delay, d.known
}

// cachedDelay returns the group's delay, computed anew where it is old.
func (g *group) cachedDelay(now time.Duration, compute func([]*server, time.Duration, float64) (time.Duration, bool)) hedgeDelay {
	if g == nil {
		return hedgeDelay{}
	}
	if d := g.hedge.Load(); d != nil && now-d.at < hedgeCache {
		return *d
	}
	delay, known := compute(g.servers, now, hedgeQuantile)
	d := &hedgeDelay{at: now, delay: delay, known: known}
	g.hedge.Store(d)
	return *d
}

// fastestQuantile returns the least quantile of the servers with enough samples.
func fastestQuantile(servers []*server, now time.Duration, q float64) (time.Duration, bool) {
	var least time.Duration
	for _, s := range servers {
		var counts [histogramBuckets]uint32
		n := s.addLatencies(now, &counts)
		if n < hedgeSamples {
			continue
		}
		d := quantile(&counts, n, q)
		if least == 0 || d < least {
			least = d
		}
	}
	return least, least > 0
}

// pooledQuantile returns the quantile of all servers' samples together.
func pooledQuantile(servers []*server, now time.Duration, q float64) (time.Duration, bool) {
	var counts [histogramBuckets]uint32
	var n uint32
	for _, s := range servers {
		n += s.addLatencies(now, &counts)
	}
	if n < hedgeSamples {
		return 0, false
	}
	return quantile(&counts, n, q), true
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
	now := c.o.Now()
	p50, _ = pooledQuantile(g.servers, now, latencyMedian)
	p99, _ = pooledQuantile(g.servers, now, latencyTail)
	return p50, p99
}
