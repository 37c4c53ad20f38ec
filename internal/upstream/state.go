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
	Cold         *Cold   `json:"cold,omitempty"`
	Connections  int     `json:"connections"`
	Share        int     `json:"share"`
}

// Cold is the state of an upstream that counts as cold in the VM's status.
type Cold struct {
	LeftMs    int64   `json:"left_ms"`
	Source    string  `json:"source"`     // the evidence, see warmup.Source
	PerSecond float64 `json:"per_second"` // what the upstream tolerates from all VMs
	Share     int     `json:"share"`      // requests in any second of this VM
}

// coldStatus returns the state of a cold upstream; nil if it is not cold. The lock is held.
func (s *server) coldStatus(now time.Duration) *Cold {
	share, cold := s.rate.ColdShare()
	if !cold {
		return nil
	}
	until, source := s.cold.evidence.Until(now)
	return &Cold{LeftMs: max(until-now, 0).Milliseconds(), Source: string(source), PerSecond: s.cold.published.PerSecond, Share: share}
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
		Cold:         s.coldStatus(now),
		Connections:  s.pool.size(),
		Share:        int(s.pool.share.Load()),
	}
}
