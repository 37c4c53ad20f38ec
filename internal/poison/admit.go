package poison

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	policy "github.com/sardinespindle/sardinespindle/internal/policy/poison"
)

// Request is a request that a Guard decides on.
type Request struct {
	Fingerprint, ID string
	// Search says that the request is sent to shards.
	Search bool
	// Slow is the longest that an idle upstream usually takes to reply.
	Slow time.Duration
}

// lossID returns the id of the request's nth loss.
func (q Request) lossID(n int) string { return fmt.Sprint(q.ID, "-", n) }

// hasLoss reports whether a loss with this id, in the form of a fact's key, is one of the request's.
func (q Request) hasLoss(id string) bool { return strings.HasPrefix(id, factID(q.ID)+"-") }

// factID returns the form in which the id of a request is part of a fact's key.
func factID(requestID string) string { return strings.ReplaceAll(requestID, "/", "_") }

// shardsFingerprint returns the fingerprint under which losses of some shards of a search are recorded, while others
// reply.
func (q Request) shardsFingerprint() string { return q.Fingerprint + "@" }

// Admission is the decision on a request.
type Admission struct {
	// Refused says that the request must not run now, and RetryAfter when it may.
	Refused    bool
	RetryAfter time.Duration
	// Trial says that the request is suspected: it may be sent to one upstream, and to others once that has replied.
	Trial bool
	// Suspects are the shards whose upstreams a search may end. With TrySuspects, it may be sent to one of them, and to
	// the others once that has replied; else to none.
	Suspects    []string
	TrySuspects bool
	// Run watches the request's attempts; nil if it is refused.
	Run *Run
}

// Check returns what this VM knows of a fingerprint, and how long a refusal holds. It starts no run.
func (g *Guard) Check(fingerprint string) (policy.Verdict, time.Duration) {
	if g.disabled {
		return policy.Allow, 0
	}
	return g.snapshot(fingerprint).Decide(g.now())
}

// Admit decides whether a request may run. If so, its Run must be ended. Only for a suspected request are other
// VMs asked, for at most askTimeout.
func (g *Guard) Admit(q Request) Admission {
	retryAfter, trial, refused := g.decide(q.Fingerprint)
	switch {
	case refused:
		return Admission{Refused: true, RetryAfter: retryAfter}
	case g.disabled:
		return Admission{}
	}
	a := Admission{Trial: trial}
	if q.Search && !trial {
		a.Suspects, a.TrySuspects = g.decideShards(q.shardsFingerprint())
	}
	a.Run = &Run{g: g, q: q, trial: trial, known: g.lossIDs(q.Fingerprint), tried: a.Suspects}
	if !a.TrySuspects {
		a.Run.tried = nil
	}
	return a
}

// decideShards returns the shards that are suspected under a fingerprint, and whether one of them may be asked.
func (g *Guard) decideShards(fingerprint string) (suspects []string, may bool) {
	now := g.now()
	record := g.snapshot(fingerprint)
	if suspects = record.SuspectedShards(now); len(suspects) == 0 {
		return nil, false
	}
	if verdict, _ := record.Decide(now); verdict == policy.Ask {
		_, refused := g.requestPermission(fingerprint)
		may = !refused
	}
	g.log.Info("shards of a search suspected", "fingerprint", fingerprint, "shards", len(suspects), "one_asked", may)
	return suspects, may
}

// lossIDs returns the ids of the losses recorded for a fingerprint.
func (g *Guard) lossIDs(fingerprint string) []string {
	return slices.Collect(maps.Keys(g.snapshot(fingerprint).Losses))
}

// RecordReply records that an upstream has replied to a request that ran on other VMs, or in parts. Losses that were
// recorded for it have another cause.
func (g *Guard) RecordReply(q Request) {
	if !g.disabled {
		g.clear(q.Fingerprint, q.hasLoss)
	}
}
