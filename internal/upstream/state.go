package upstream

import (
	"sort"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/backoff"
)

// State is the state of one upstream in the VM's status.
type State struct {
	Address      string  `json:"address"`
	Identity     string  `json:"identity,omitempty"`
	Workload     string  `json:"workload"`
	Zone         string  `json:"zone"`
	Eligibility  string  `json:"eligibility"`
	LeaseLeftMs  int64   `json:"lease_left_ms"`
	Outstanding  int     `json:"outstanding"`
	Limit        int     `json:"limit"`
	LatencyMs    float64 `json:"latency_ms"`
	Suspect      bool    `json:"suspect"`
	PeerReported bool    `json:"doubted"`
	Shedding     bool    `json:"shedding"`
	Leaving      bool    `json:"leaving"`
	RestLeftMs   int64   `json:"rest_left_ms"`
	RateLimit    float64 `json:"rate_limit"` // requests a second from all VMs; 0 for none
	RateShare    float64 `json:"rate_share"` // of this VM
	Connections  int     `json:"connections"`
	Share        int     `json:"share"`
}

// States returns the state of every upstream, ordered by address.
func (c *Client) States() []State {
	now := c.opts.Now()
	t := c.current.Load()
	out := make([]State, 0, len(t.servers))
	for _, s := range t.servers {
		out = append(out, s.state(now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

// state returns the upstream's state for the status.
func (s *server) state(now time.Duration) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, restLeft := s.backoff.Verdict(now)
	return State{
		Address:      s.address,
		Identity:     s.identity,
		Workload:     string(s.entry.Workload),
		Zone:         string(s.entry.Zone),
		Eligibility:  s.lease.Verdict(now).String(),
		LeaseLeftMs:  s.lease.LeaseLeft(now).Milliseconds(),
		Outstanding:  s.health.Outstanding,
		Limit:        s.limit.Value(),
		LatencyMs:    s.health.Latency(now) / float64(time.Millisecond),
		Suspect:      s.health.Suspect(),
		PeerReported: s.lease.PeerReported(),
		Shedding:     s.health.Shedding(now),
		Leaving:      verdict == backoff.Leaving,
		RestLeftMs:   restLeft.Milliseconds(),
		RateLimit:    s.rate.PerSecond(),
		RateShare:    s.rate.Share(),
		Connections:  s.pool.size(),
		Share:        int(s.pool.share.Load()),
	}
}
