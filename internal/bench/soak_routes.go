package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// belowSearch is the route below the search's path.
type belowSearch int

const (
	noRouteBelow belowSearch = iota
	smallerSearchBelow
	singleBelow
	belowKinds
)

const (
	// belowPath is below the search's path, and belowTop the number of records of the search there.
	belowPath = "/find/quick/"
	belowTop  = 1
)

// config returns the configuration to publish. The caller holds mu.
func (s *soak) config() map[string]any {
	shards := s.shardNames()
	if s.halved {
		shards = shards[firstOfHalf(len(shards)):]
	}
	c := standin.Config(s.version, shards, s.extraPaths, s.connections())
	if s.halved { // the services of the others are still published
		for _, name := range s.shardNames()[:firstOfHalf(s.opts.Shards)] {
			c["services"] = append(c["services"].([]any), map[string]any{"name": name, "healthPath": "/health", "maxConnections": s.connections()})
		}
	}
	switch s.below {
	case smallerSearchBelow:
		standin.AddRoute(c, standin.SearchRoute("quick", belowPath, shards, belowTop))
	case singleBelow:
		standin.AddRoute(c, standin.SingleRoute("quick", belowPath, "idempotent"))
	}
	return c
}

// firstOfHalf returns the index of the first of n shards in the later half.
func firstOfHalf(n int) int { return n / 2 }

// routeBelowFault adds, changes or removes the route below the search.
func (s *soak) routeBelowFault(_ context.Context, rng *rand.Rand) error {
	s.mu.Lock()
	s.version++
	s.below = (s.below + 1 + belowSearch(rng.IntN(int(belowKinds)-1))) % belowKinds
	s.mu.Unlock()
	s.publish()
	time.Sleep(randomDuration(rng, 50, 900))
	return nil
}

// repartitionFault has the search go over half of its shards, or over all of them again.
func (s *soak) repartitionFault(_ context.Context, rng *rand.Rand) error {
	s.mu.Lock()
	s.version++
	s.halved = !s.halved
	s.mu.Unlock()
	s.publish()
	time.Sleep(randomDuration(rng, 50, 900))
	return nil
}

// searchProblem describes what is wrong with the answer to a search of one of the sets that total shards
// make, by any of the numbers of records that its routes have; it is "" for a right one.
func searchProblem(q *soakRequest, total int, tops ...int) string {
	shards, missing, duplicate := signingShards(q), missingShards(q), duplicateSignature(q)
	half := total - firstOfHalf(total)
	isHalf := len(shards)+missing == half
	for shard := range shards {
		isHalf = isHalf && shard >= firstOfHalf(total)
	}
	switch {
	case strings.Contains(q.header.Get(platform.CallerHeaders.Signatures), failureMark):
		return "a part is a failure: " + q.header.Get(platform.CallerHeaders.Signatures)
	case duplicate != "":
		return "twice signed by " + duplicate
	case len(shards)+missing != total && !isHalf:
		return fmt.Sprintf("%d shards sign and %d are said to miss, of %d or the later %d", len(shards), missing, total, half)
	}
	want := make([]string, 0, soakRecordsPerReply*len(shards))
	for shard, holdsRecords := range shards {
		if !holdsRecords {
			continue
		}
		for records := replyBody(fmt.Sprintf("shard-%d", shard), q.id); records != ""; records = records[recordSize:] {
			want = append(want, records[:recordSize])
		}
	}
	slices.Sort(want)
	slices.Reverse(want)
	for _, top := range tops {
		if q.body == strings.Join(want[:min(top, len(want))], "") {
			return ""
		}
	}
	return fmt.Sprintf("records %q are not the greatest %v of %d shards, %q", q.body, tops, len(shards), want[:min(slices.Max(tops), len(want))])
}
