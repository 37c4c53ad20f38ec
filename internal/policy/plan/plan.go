// Package plan decides which shards a search asks when not all of them are likely to
// answer in time, and when it is not worth starting. The package is pure.
package plan

import (
	"math"
	"slices"
	"time"
)

// Search is what is known before a search starts.
type Search struct {
	// Expected time to each shard's reply; Never where no replica can be asked.
	Expected []time.Duration
	// Need is the least number of parts of an answer.
	Need int
	// Left is the time until an answer is late; Most is the time until the caller gives up.
	Left, Most time.Duration
	// Returning says that the caller was refused before; it is refused again only where it
	// cannot be answered at all.
	Returning bool
}

// Never is the expected time of a shard that cannot be asked.
const Never = time.Duration(1<<63 - 1)

// Verdict says what to do with a search.
type Verdict struct {
	// Ask says which shards to ask.
	Ask []bool
	// Refuse is set where an answer cannot be expected: in time, or for a returning caller
	// before it gives up.
	Refuse bool
	// Late is when the least share can be expected, where that is not in time.
	Late time.Duration
}

// Decide chooses the shards to ask. A shard that is expected late would cost its
// upstreams work that the answer does not wait for, so it is left out, as far as the
// least share allows: the load pattern is a few shards that have lost a part of their
// room, where leaving out a different few with each search lets all of them recover.
// Where too many are late, the search would only lengthen the queues of others, so it is
// refused before anything is sent.
func Decide(s Search) Verdict {
	n := len(s.Expected)
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case s.Expected[a] < s.Expected[b]:
			return -1
		case s.Expected[a] > s.Expected[b]:
			return 1
		}
		return 0
	})
	v := Verdict{Ask: make([]bool, n)}
	for rank, i := range order {
		e := s.Expected[i]
		if e == Never {
			continue
		}
		v.Ask[i] = rank < s.Need || e <= s.Left
	}
	if s.Need > n {
		v.Refuse = true
		return v
	}
	if s.Need > 0 {
		last := s.Expected[order[s.Need-1]]
		if last > s.Left && last != Never {
			v.Late = last
		}
		v.Refuse = last == Never || last > s.Most || !s.Returning && v.Late > 0
	}
	return v
}

// WorthRepeat reports whether a shard's request is sent to one more replica, whose reply
// is expected after a time, where left is the time until the answer is late and reach is
// the number of parts that are there or under way. A replica that would reply too late
// gets nothing, unless the answer depends on it.
func WorthRepeat(expected, left time.Duration, reach, need int) bool {
	return expected != Never && (expected <= left || reach < need)
}

// jitter is the relative error by which costs are spread, so that VMs that see the same
// do not all go to the same replica.
const jitter = 0.3

// Choose returns the index of the least cost, with some error; random returns uniform
// numbers in [0, 1).
func Choose(costs []time.Duration, random func() float64) int {
	best, least := 0, math.Inf(1)
	for i, c := range costs {
		if spread := float64(c) * (1 + jitter*random()); spread < least {
			best, least = i, spread
		}
	}
	return best
}
