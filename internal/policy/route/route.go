// Package route finds the route of a request by host and path prefix, and the service that
// the request goes to. It does no I/O. A Table and its routes must not be modified once
// built, so any number of goroutines may read them.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route describes how the requests for one host and path prefix are forwarded.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets are the services that share the requests by weight; empty for a sharded route.
	Targets []Target
	// Shards are the services that each hold one shard; empty unless the route is sharded.
	Shards []string
	// MaxRecords is the largest number of records in an answer of a sharded route.
	MaxRecords int
	// MinimumShare is the least share of the shards that an answer needs, 0 to 1.
	MinimumShare float64
	Idempotent   bool
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Objective is the latency target of a request; 0 for none.
	Objective time.Duration
	// MaxAttempts is the largest number of upstreams that may run one request; on a
	// sharded route it applies to each shard.
	MaxAttempts int
	// Priority is the route's priority class; 0 is the most urgent.
	Priority int
}

// Sharded reports whether each request goes to every shard of the route.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// Target is a service and its weight among a route's targets.
type Target struct {
	Service string
	Weight  float64
}

// Table finds the route of a request.
type Table struct {
	byHost map[string][]*Route // the longest prefix first
}

// NewTable returns a Table of the routes, which it does not copy.
func NewTable(routes []*Route) *Table {
	t := &Table{byHost: make(map[string][]*Route)}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find returns the host's route with the longest prefix of path; nil if there is none.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ChooseService returns a target's service at random by weight, or "" if there are no targets. x
// is a uniform random number in [0, 1).
func (r *Route) ChooseService(x float64) string {
	var sum float64
	for _, t := range r.Targets {
		sum += t.Weight
	}
	left := x * sum
	for _, t := range r.Targets {
		left -= t.Weight
		if left < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
