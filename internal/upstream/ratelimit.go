package upstream

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/ratelimit"
)

// sendsWindow is the span over which a log line about a limit counts the requests sent.
const sendsWindow = 4 * time.Second

// recentSends holds when requests were sent to an upstream, within sendsWindow.
type recentSends []time.Duration

func (r *recentSends) add(now time.Duration) {
	for len(*r) > 0 && now-(*r)[0] >= sendsWindow {
		*r = (*r)[1:]
	}
	*r = append(*r, now)
}

// countSent counts a request that is about to be sent at now.
func (c *Client) countSent(s *server, now time.Duration) {
	c.path.asked()
	s.mu.Lock()
	s.rateSent.add(now)
	limited := s.rate.PerSecond() > 0
	s.mu.Unlock()
	if limited {
		c.metrics.sentToLimited.WithLabelValues(s.address).Inc()
	}
}

// parseLimit returns the limit that a reply names, in requests a second; 0 if it names none.
func (c *Client) parseLimit(h http.Header) float64 {
	perSecond, err := strconv.ParseFloat(h.Get(c.opts.Headers.Limit), 64)
	if err != nil || !(perSecond > 0) || math.IsInf(perSecond, 1) {
		return 0
	}
	return perSecond
}

// recordLimit records the limit that the reply to a request sent at sentAt names, or that it names
// none. A reply that the upstream did not make is ignored.
func (c *Client) recordLimit(s *server, h http.Header, sentAt time.Duration) {
	if c.opts.Headers.Limit == "" || h.Get(c.opts.Headers.Signature) == "" && h.Get(c.opts.Headers.NotRun) == "" {
		return
	}
	perSecond, now := c.parseLimit(h), c.opts.Now()
	s.mu.Lock()
	changed := s.rate.Replied(sentAt, now, perSecond)
	announce := !s.announcingRate && s.rate.AnnounceDue(now)
	s.announcingRate = s.announcingRate || announce
	s.mu.Unlock()
	if changed {
		c.limitChanged(s, "itself")
	}
	if announce {
		c.opts.OnLimit(s.incarnation())
	}
}

// limitChanged applies and logs a new limit of an upstream. source is "itself" or "peer".
func (c *Client) limitChanged(s *server, source string) {
	c.setRateShare(s)
	s.mu.Lock()
	perSecond, share, sent := s.rate.PerSecond(), s.rate.Share(), len(s.rateSent)
	s.mu.Unlock()
	if perSecond > 0 {
		c.metrics.limits.WithLabelValues(s.address).Set(perSecond)
	} else {
		c.metrics.limits.DeleteLabelValues(s.address)
	}
	if c.opts.Log != nil {
		c.opts.Log.Info("upstream names a limit", "address", s.address, "identity", s.identity, "source", source,
			"per_second", perSecond, "share", share, "sent_4s", sent)
	}
}

// setRateShare sets this VM's share of an upstream's limit.
func (c *Client) setRateShare(s *server) {
	s.mu.Lock()
	entry, perSecond := s.entry, s.rate.PerSecond()
	s.mu.Unlock()
	share := 0.0
	if perSecond > 0 {
		share = ratelimit.Share(perSecond, s.address, c.opts.VM, c.opts.Senders(entry))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.SetShare(c.opts.Now(), share, rand.Float64())
}

// LimitHolders returns the VMs that may send requests to upstreams of a workload that name a limit or
// are cold, this one not included.
func (c *Client) LimitHolders(w *manifest.Workload) []string {
	g := c.current.Load().groups[groupKey{workload: string(w.Name)}]
	if g == nil {
		return nil
	}
	var out []string
	for _, s := range g.servers {
		out = append(out, c.coldHolders(s)...)
		s.mu.Lock()
		perSecond, entry := s.rate.PerSecond(), s.entry
		s.mu.Unlock()
		if perSecond > 0 {
			out = append(out, ratelimit.Holders(perSecond, s.address, c.opts.Senders(entry))...)
		}
	}
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(vm string) bool { return vm == c.opts.VM })
}

// returnRate returns a request of the rate that was not sent.
func (s *server) returnRate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.Return()
}

func (s *server) incarnation() Incarnation {
	return Incarnation{Address: s.address, Identity: s.identity, StartedMs: s.started}
}

// find returns the state of an incarnation; nil if it is not published.
func (c *Client) find(i Incarnation) *server {
	s := c.current.Load().servers[i.Address]
	if s == nil || s.incarnation() != i {
		return nil
	}
	return s
}

// TakeLimitToAnnounce returns the limit of an upstream to be announced, 0 for none; false if another VM
// has announced it or the upstream is gone.
func (c *Client) TakeLimitToAnnounce(i Incarnation) (perSecond float64, due bool) {
	s := c.find(i)
	if s == nil {
		return 0, false
	}
	now := c.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcingRate = false
	if !s.rate.AnnounceDue(now) {
		return 0, false
	}
	s.rate.RecordAnnounced(now)
	return s.rate.PerSecond(), true
}

// RecordPeerLimit records that another VM announced, age ago, which limit an upstream names; 0 for
// none. It does nothing for another incarnation than the one published.
func (c *Client) RecordPeerLimit(i Incarnation, perSecond float64, age time.Duration) {
	s := c.find(i)
	if s == nil {
		return
	}
	s.mu.Lock()
	changed := s.rate.Announced(c.opts.Now()-age, perSecond)
	s.mu.Unlock()
	if changed {
		c.limitChanged(s, "peer")
	}
}
