// Package plan decides which shards a search asks when not all of them are likely to
// answer in time, and when it is not worth starting. The package is pure.
package plan

import (
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
}

// Never is the expected time of a shard that cannot be asked.
const Never = time.Duration(1<<63 - 1)

// Verdict says what to do with a search.
type Verdict struct {
	// Ask says which shards to ask.
	Ask []bool
	// Refuse is set where an answer cannot be expected before the caller gives up.
	Refuse bool
	// Late says that the least share cannot be expected in time.
	Late bool
}

// Decide chooses the shards to ask. A shard that is expected late would cost its
// upstreams work that the answer does not wait for, so it is left out, as far as the
// least share allows: the load pattern is a few shards that have lost a part of their
// room, where leaving out a different few with each search lets all of them recover.
// Where too many are late, the fastest of them are asked.
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
		v.Late = last > s.Left
		v.Refuse = last == Never || last > s.Most
	}
	return v
}
