package forward

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/peer"
	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// announce announces which replicas the shards of a search may be sent to, and calls onConfirmed
// once the VM that took the search from its caller has recorded that.
type announce func(u takeover.Update, onConfirmed func())

// searchedShards returns the shards that the request searches.
func (q *request) searchedShards() []string {
	if q.shards != nil {
		return q.shards
	}
	return q.route.Shards
}

// servedShards returns the searched shards that have upstreams outside the evacuated zones. While no zone is
// evacuated, it returns all searched shards.
func (q *request) servedShards() []string {
	shards := q.searchedShards()
	if len(q.catalog.Evacuated) == 0 {
		return shards
	}
	return slices.DeleteFunc(slices.Clone(shards), func(shard string) bool { return len(q.catalog.ServiceZones[shard]) == 0 })
}

// refuseEvacuated refuses a search, of which nothing has been sent, if evacuations leave fewer shards than the
// minimum share. Divided into parts, it would end as unknown, since the parts that have upstreams run.
func (q *request) refuseEvacuated() (outcome.Outcome, bool) {
	if len(q.catalog.Evacuated) == 0 || !q.route.Sharded() {
		return outcome.Outcome{}, false
	}
	served, total := len(q.servedShards()), q.totalShards()
	if served >= q.minShards() {
		return outcome.Outcome{}, false
	}
	o := outcome.NotRun(outcome.NoUpstream, fmt.Sprintf("%d of %d shards have upstreams outside the evacuated zones", served, total), startRetryAfter)
	o.Coverage = &caller.Coverage{ShardsTotal: total}
	return o, true
}

// mustConfirmFirst reports whether a VM that runs the search announces each replica that it uses,
// the first one of a shard included.
func (q *request) mustConfirmFirst() bool {
	return q.confirmFirst || q.sent.Sent() || q.route.MaxAttempts < 2
}

// readSent reads from a delegated search what other VMs may have sent, and sets how this VM
// announces what it sends. It returns false if the record does not fit the search.
func (q *request) readSent(ctx context.Context, d *gen.Delegate) bool {
	shards := q.searchedShards()
	hash := takeover.HashShards(shards)
	q.confirmFirst = d.ConfirmFirst
	q.announce = func(u takeover.Update, onConfirmed func()) { peer.Announce(ctx, hash, gen.Replicas(u), onConfirmed) }
	if len(d.Replicas) == 0 {
		return true
	}
	var ok bool
	q.sent, ok = takeover.NewRecord(len(shards)).Apply(takeover.Update(d.Replicas))
	return ok && d.ShardsHash == hash
}

// sentTracker records what a VM announces about a search that was delegated to it.
type sentTracker struct {
	q        *request
	hash     int
	sent     takeover.Record // by the VM and those before it
	sequence int             // of the last announcement recorded
}

// trackSent returns a tracker for a delegation that is about to be sent.
func (s *Server) trackSent(q *request) *sentTracker {
	if !q.route.Sharded() {
		return &sentTracker{q: q}
	}
	shards := q.searchedShards()
	t := &sentTracker{q: q, hash: takeover.HashShards(shards), sent: q.sent}
	if !q.mustConfirmFirst() {
		t.sent = q.sent.WithUnknown(len(shards))
	} else if t.sent == nil {
		t.sent = takeover.NewRecord(len(shards))
	}
	return t
}

// record records an announcement and has it confirmed. One that is older than the last, or of
// other shards, is ignored: the VM then goes on without what it announced.
func (t *sentTracker) record(a *gen.Announced, confirm func()) {
	if a == nil || a.ShardsHash != t.hash || a.Sequence < t.sequence {
		return
	}
	sent, ok := t.sent.Apply(takeover.Update(a.Replicas))
	switch {
	case !ok:
	case t.q.announce == nil:
		t.sent, t.sequence = sent, a.Sequence
		confirm()
	case a.Sequence > t.sequence:
		t.sent, t.sequence = sent, a.Sequence
		t.q.announce(takeover.Update(a.Replicas), confirm)
	}
}

// partAnnouncements joins the announcements of a search's parts.
type partAnnouncements struct {
	announce announce

	mu     sync.Mutex    // guards latest, and that announcements leave in their order
	latest map[int][]int // by shard of the search
}

// newPartAnnouncements returns nil if nothing has to be announced.
func newPartAnnouncements(q *request) *partAnnouncements {
	if q.announce == nil {
		return nil
	}
	return &partAnnouncements{announce: q.announce, latest: map[int][]int{}}
}

// of returns the announce of a part; shards holds the indices of its shards in the search.
func (p *partAnnouncements) of(shards []int) announce {
	if p == nil {
		return nil
	}
	return func(u takeover.Update, onConfirmed func()) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, entry := range u {
			i := shards[entry[0]]
			p.latest[i] = append([]int{i}, entry[1:]...)
		}
		p.announce(slices.Collect(maps.Values(p.latest)), onConfirmed)
	}
}

// indices returns the positions of a part's shards among those of the search.
func (q *request) indices(part []string) []int {
	at := make(map[string]int, q.totalShards())
	for i, name := range q.searchedShards() {
		at[name] = i
	}
	out := make([]int, len(part))
	for i, name := range part {
		out[i] = at[name]
	}
	return out
}
