// Package plan decides which shards a search asks when some are not expected to reply in
// time, and whether the search is worth starting at all. The expected latencies are
// arguments. The package is pure, so its functions may be called concurrently.
package plan

import (
	"math"
	"slices"
	"time"
)

// Search describes a search before it starts.
type Search struct {
	// Expected is the expected time to the reply of each shard, or Never.
	Expected []time.Duration
	// MinShards is the least number of shards that an answer must cover.
	MinShards int
	// UntilLate is the time until an answer is late, and UntilGiveUp the time until the
	// caller gives up.
	UntilLate, UntilGiveUp time.Duration
	// CallerResent is set for a request that was shed before. It is shed again only if it
	// cannot be answered before the caller gives up.
	CallerResent bool
}

// Never is the expected time of a shard without a replica that can be asked.
const Never = time.Duration(1<<63 - 1)

// Verdict is the decision on a search.
type Verdict struct {
	Ask []bool // which shards to ask
	// Shed is set if no answer is expected in time or, for a request that the caller
	// resent, before the caller gives up.
	Shed bool
	// TimeToMinShare is the expected time to the minimum share if it is known and longer than
	// UntilLate, otherwise 0.
	TimeToMinShare time.Duration
}

// Decide chooses the shards to ask. A shard that is expected late would cost its
// upstreams work that the answer does not wait for, so it is left out as far as the
// minimum share allows. When a few shards have lost part of their capacity, different
// searches leave out different ones of them, so that all recover. When too many shards are late,
// the search would only lengthen the queues, so it is shed before anything is sent.
func Decide(s Search) Verdict {
	n := len(s.Expected)
	byExpected := make([]int, n)
	for i := range byExpected {
		byExpected[i] = i
	}
	slices.SortStableFunc(byExpected, func(a, b int) int {
		switch {
		case s.Expected[a] < s.Expected[b]:
			return -1
		case s.Expected[a] > s.Expected[b]:
			return 1
		}
		return 0
	})
	v := Verdict{Ask: make([]bool, n)}
	for rank, i := range byExpected {
		e := s.Expected[i]
		if e == Never {
			continue
		}
		v.Ask[i] = rank < s.MinShards || e <= s.UntilLate
	}
	if s.MinShards > n {
		v.Shed = true
		return v
	}
	if s.MinShards > 0 {
		last := s.Expected[byExpected[s.MinShards-1]]
		if last > s.UntilLate && last != Never {
			v.TimeToMinShare = last
		}
		v.Shed = last == Never || last > s.UntilGiveUp || !s.CallerResent && v.TimeToMinShare > 0
	}
	return v
}

// RepeatWorthwhile reports whether a repeat is worth sending to a replica with the expected
// latency expected, where untilLate is the time until the answer is late and reach is the
// number of shards covered or in flight. A repeat that would come too late is sent only if the
// answer depends on it.
func RepeatWorthwhile(expected, untilLate time.Duration, reach, minShards int) bool {
	return expected != Never && (expected <= untilLate || reach < minShards)
}

// OtherZoneCost returns the extra cost of an upstream in another availability zone, where
// typical is the typical latency of the kind of request. Traffic between zones is billed, so a
// single reply that a pause delayed must not move the next requests there.
func OtherZoneCost(typical time.Duration) time.Duration { return typical }

// jitter is the largest relative increase of a cost by Choose, so that VMs with equal
// estimates do not all choose the same replica.
const jitter = 0.3

// Choose returns the index of the least cost after random jitter; random returns uniform
// numbers in [0, 1).
func Choose(costs []time.Duration, random func() float64) int {
	best, minCost := 0, math.Inf(1)
	for i, c := range costs {
		if perturbed := float64(c) * (1 + jitter*random()); perturbed < minCost {
			best, minCost = i, perturbed
		}
	}
	return best
}
