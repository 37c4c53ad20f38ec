// Package route finds the route of a request and the service that it goes to. The
// package is pure; a Table is immutable, so any number of goroutines may read it.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route says where the requests of one host and path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets are the services that share the requests; empty for a sharded route.
	Targets []Target
	// Shards are the services that each answer a part; empty for another route.
	Shards []string
	// Top is the number of records that an answer of a sharded route holds.
	Top int
	// MinimumShare is the least share of shards in an answer, 0 to 1.
	MinimumShare float64
	Idempotent   bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is in time; 0 for none.
	Objective time.Duration
	// Attempts is the most upstreams, of each shard, that one request is sent to.
	Attempts int
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
}

// Sharded reports whether every shard answers a part of a request.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// Target is a service and its part of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Table finds routes.
type Table struct {
	byHost map[string][]*Route // the longest prefix first
}

// NewTable returns a table of the routes.
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

// Find returns the route of the host with the longest prefix of path; nil for none.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Choose returns the service of a request; x is uniform in [0, 1).
func (r *Route) Choose(x float64) string {
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
