package daemon

import (
	"fmt"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/admin"
	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// peerWait is how long a new VM waits for a peer, which may have a newer manifest, before it
// serves one that only the platform supplied.
const peerWait = 2 * time.Second

func (d *Daemon) adminOptions() admin.Options {
	return admin.Options{
		Ready:    d.ready,
		Status:   d.status,
		Explain:  d.explain,
		Gatherer: d.registry,
		Log:      d.log,
	}
}

// ready reports whether the VM takes new requests: it is not stopping, has a manifest, and
// knows a peer or has waited for one.
func (d *Daemon) ready() bool {
	if d.stopping.Load() || d.keeper.Current() == nil {
		return false
	}
	return d.hasPeer() || clock.Boot()-d.started > peerWait
}

// hasPeer reports whether the roster has another VM whose hello was received.
func (d *Daemon) hasPeer() bool {
	for _, m := range d.node.Roster() {
		if m.Name != d.s.Name && m.Incarnation != "" {
			return true
		}
	}
	return false
}

func (d *Daemon) status() admin.Status {
	n, digest := d.keeper.Head()
	s := admin.Status{
		Name:        d.s.Name,
		Zone:        d.s.Zone,
		Incarnation: d.incarnation,
		UptimeMs:    (clock.Boot() - d.started).Milliseconds(),
		Ready:       d.ready(),
		Stopping:    d.stopping.Load(),
		InFlight:    d.callers.InFlight(),
		Generation:  n,
		HeadDigest:  digest,
		Relay:       d.relay(),
		Facts:       d.node.Facts().Len(),
		Upstreams:   d.upstreams.States(),
	}
	for _, m := range d.node.Roster() {
		s.Roster = append(s.Roster, admin.Member{Name: m.Name, Zone: m.Zone, State: m.State.String(), Incarnation: m.Incarnation})
	}
	return s
}

// explain tells how a request would be treated now. It sends nothing and changes nothing.
// It consults neither the poison guard nor the body of the request.
func (d *Daemon) explain(q admin.ExplainRequest) admin.Explanation {
	m := d.keeper.Current()
	if m == nil {
		return admin.Explanation{Verdict: "refused", Reasons: []string{"no manifest in force"}}
	}
	e := admin.Explanation{Generation: m.Generation, Verdict: "served"}
	refuse := func(format string, args ...any) {
		e.Verdict = "refused"
		e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
	}
	w, ok := m.Workloads[q.Workload]
	if !ok {
		refuse("workload %q is not in the manifest", q.Workload)
		return e
	}
	g := grantOf(m, q.Caller, q.Workload)
	if g == nil {
		refuse("caller %q has no grant for %s", q.Caller, q.Workload)
		return e
	}
	e.DeadlineMs, e.Trade, e.Priority = g.DeadlineMs, string(g.Trade), g.Priority
	if delay, ok := d.upstreams.LatencyQuantile(q.Workload, ""); ok {
		e.HedgeAfterMs = float64(delay) / float64(time.Millisecond)
	}
	e.AdmissionRate = d.admission.Rate(q.Workload)
	e.Shards = d.explainShards(w)
	for _, s := range e.Shards {
		if s.Eligible == 0 {
			e.Reasons = append(e.Reasons, fmt.Sprintf("shard %q has no eligible upstream", s.Shard))
		}
	}
	return e
}

// grantOf returns the grant of a caller for a workload, or nil.
func grantOf(m *manifest.Manifest, caller, workload string) *gen.Grant {
	for _, c := range m.Callers {
		if string(c.Name) == caller {
			return c.ByWorkload[workload]
		}
	}
	return nil
}

// explainShards lists the replicas of each shard, or the upstreams of a single workload under
// an empty name. A replica counts as eligible unless it is draining.
func (d *Daemon) explainShards(w *manifest.Workload) []admin.ExplainedShard {
	states := make(map[string]upstream.State)
	for _, s := range d.upstreams.States() {
		states[s.Address] = s
	}
	explainShard := func(name string, ups []*gen.Upstream) admin.ExplainedShard {
		out := admin.ExplainedShard{Shard: name}
		for _, u := range ups {
			s := states[u.Address]
			if s.Eligibility != "draining" {
				out.Eligible++
			}
			out.Replicas = append(out.Replicas, s)
		}
		return out
	}
	if !w.Sharded() {
		return []admin.ExplainedShard{explainShard("", w.Upstreams)}
	}
	var out []admin.ExplainedShard
	for _, s := range w.NewestMap.Shards {
		out = append(out, explainShard(string(s.Name), w.Replicas[string(s.Name)]))
	}
	return out
}
