package upstream

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

const (
	// limitWindow is the span over which a log line about a named limit counts requests sent.
	limitWindow = 4 * time.Second
	// limitLogChange is the relative change of a named limit from which on it is logged again.
	limitLogChange = 0.1
)

// namedLimit is the rate that an upstream says it takes from all VMs together, as its last reply
// named it.
type namedLimit struct {
	perSecond float64 // 0 for none
	logged    float64
	sent      []time.Duration // when requests were sent there, within limitWindow
}

// recordSent records that a request is sent at now, and returns whether a limit is named.
func (l *namedLimit) recordSent(now time.Duration) (named bool) {
	for len(l.sent) > 0 && now-l.sent[0] >= limitWindow {
		l.sent = l.sent[1:]
	}
	l.sent = append(l.sent, now)
	return l.perSecond > 0
}

// set records the limit that a reply named. It reports whether the change is worth a log line.
func (l *namedLimit) set(perSecond float64) (changed bool) {
	l.perSecond = perSecond
	if (perSecond == 0) == (l.logged == 0) && math.Abs(perSecond-l.logged) <= limitLogChange*l.logged {
		return false
	}
	l.logged = perSecond
	return true
}

// parseLimit returns the limit that a reply names, in requests a second; 0 if it names none.
func (c *Client) parseLimit(h http.Header) float64 {
	if c.opts.Headers.Limit == "" {
		return 0
	}
	perSecond, err := strconv.ParseFloat(h.Get(c.opts.Headers.Limit), 64)
	if err != nil || !(perSecond > 0) || math.IsInf(perSecond, 1) {
		return 0
	}
	return perSecond
}

// recordNamedLimit records the limit that a reply names, or that it names none.
func (c *Client) recordNamedLimit(s *server, h http.Header) {
	perSecond := c.parseLimit(h)
	s.mu.Lock()
	changed := s.named.set(perSecond)
	sent := len(s.named.sent)
	s.mu.Unlock()
	if !changed {
		return
	}
	if perSecond > 0 {
		c.metrics.namedLimits.WithLabelValues(s.address).Set(perSecond)
	} else {
		c.metrics.namedLimits.DeleteLabelValues(s.address)
	}
	if c.opts.Log != nil {
		c.opts.Log.Info("upstream names a limit", "address", s.address, "identity", s.identity,
			"per_second", perSecond, "sent_4s", sent)
	}
}

// countSent counts a request that is about to be sent.
func (c *Client) countSent(s *server) {
	s.mu.Lock()
	named := s.named.recordSent(c.opts.Now())
	s.mu.Unlock()
	if named {
		c.metrics.sentToLimited.WithLabelValues(s.address).Inc()
	}
}
