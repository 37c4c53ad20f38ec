package slopes

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/sardinespindle/sardinespindle/internal/claims"
	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

const (
	claimsMeasured = 200
	// keysStored is the number of keys that keyMemory stores in one guard.
	keysStored = 50_000
	// outcomeBytes is the size of a recorded outcome.
	outcomeBytes = 256
	percentile99 = 99
	// admitTime bounds the wait until every VM votes.
	admitTime = time.Minute
)

// ClaimsResult is the cost of claiming, recording and replaying keys.
type ClaimsResult struct {
	// VMs in the fleet, all of them guards.
	VMs int
	// ClaimMillis is the median time of a won claim without network latency,
	// ClaimMillisP99 the 99th percentile.
	ClaimMillis, ClaimMillisP99 float64
	// Messages counts the claims and records of one order, without their replies.
	Messages float64
	// Bytes is the size in CBOR of one order's messages, including replies.
	Bytes float64
	// KeyBytes is the memory that one recorded key takes at one guard.
	KeyBytes float64
}

// Claims measures claims in a fleet of n VMs in one process.
func Claims(n int, seed uint64) (ClaimsResult, error) {
	if n < 1 {
		return ClaimsResult{}, fmt.Errorf("claims of %d VMs: at least 1 is needed", n)
	}
	f := newClaimFleet(n)
	if err := f.admit(context.Background()); err != nil {
		return ClaimsResult{}, err
	}
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	took := make([]time.Duration, 0, claimsMeasured)
	for range claimsMeasured {
		d, err := f.order(rng.IntN(n))
		if err != nil {
			return ClaimsResult{}, err
		}
		took = append(took, d)
	}
	slices.Sort(took)
	keyBytes, err := keyMemory()
	if err != nil {
		return ClaimsResult{}, err
	}
	return ClaimsResult{
		VMs:            n,
		ClaimMillis:    float64(took[len(took)/2].Microseconds()) / 1000,
		ClaimMillisP99: float64(took[len(took)*percentile99/100].Microseconds()) / 1000,
		Messages:       float64(f.messages.Load()) / claimsMeasured,
		Bytes:          float64(f.bytes.Load()) / claimsMeasured,
		KeyBytes:       keyBytes,
	}, nil
}

// claimFleet connects the claims of several VMs by function calls, and counts
// their messages and bytes.
type claimFleet struct {
	nodes    map[string]*claims.Claims
	roster   []claims.Member
	messages atomic.Int64
	bytes    atomic.Int64
	pending  atomic.Int64 // messages being handled
}

func newClaimFleet(n int) *claimFleet {
	f := &claimFleet{nodes: make(map[string]*claims.Claims, n)}
	for i := range n {
		f.roster = append(f.roster, claims.Member{Name: fmt.Sprintf("vm%d", i)})
	}
	for _, m := range f.roster {
		f.nodes[m.Name] = claims.New(claims.Options{
			VM: m.Name, Incarnation: "1", Started: time.Now().Add(-time.Hour),
			Call:       f.call,
			Roster:     func() []claims.Member { return f.roster },
			Generation: func() int { return 1 },
		})
	}
	return f
}

// admit runs the VMs until all of them vote and for the allowed clock skews after that:
// guards give no vote on keys born earlier. Messages up to then are not counted.
func (f *claimFleet) admit(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, admitTime)
	defer cancel()
	var ready sync.WaitGroup
	for _, c := range f.nodes {
		ready.Go(func() {
			for !c.Votes() && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
		})
		go c.Run(ctx)
	}
	ready.Wait()
	if ctx.Err() != nil {
		return fmt.Errorf("admit VMs: %w", ctx.Err())
	}
	p := once.DefaultParams()
	time.Sleep(p.FutureSkew + p.ClockSkew)
	f.messages.Store(0)
	f.bytes.Store(0)
	return nil
}

func (f *claimFleet) call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error) {
	f.pending.Add(1)
	defer f.pending.Add(-1)
	f.messages.Add(1)
	r := f.nodes[vm].Handle(ctx, "", m)
	for _, message := range []*peer.Message{m, r} {
		b, err := cbor.Marshal(message)
		if err != nil {
			return nil, fmt.Errorf("encode message: %w", err)
		}
		f.bytes.Add(int64(len(b)))
	}
	return r, nil
}

// order claims a new key through one VM, records an outcome, waits until every
// message has been handled, and returns the time of the claim.
func (f *claimFleet) order(vm int) (time.Duration, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return 0, fmt.Errorf("draw key: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	start := time.Now()
	d := f.nodes[f.roster[vm].Name].Claim(ctx, claims.Request{
		Key: "till/" + id.String(), Fingerprint: "0123456789abcdef", Window: time.Minute,
	})
	took := time.Since(start)
	if d.Verdict != claims.Won {
		return 0, fmt.Errorf("claim: %s: %s", d.Verdict, d.Detail)
	}
	err = d.Hold.Record(ctx, string(make([]byte, outcomeBytes)))
	if err != nil && !errors.Is(err, claims.ErrQuorumNotStored) {
		return 0, err
	}
	for f.pending.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	return took, nil
}

// keyMemory returns the heap bytes that one recorded key takes in a guard.
func keyMemory() (float64, error) {
	p := once.DefaultParams()
	p.MaxKeys, p.MaxBytes = keysStored, keysStored*outcomeBytes
	now := time.Now().Round(0)
	g := once.NewGuard(p, now.Add(-time.Hour))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range keysStored {
		c := once.Claim{
			Key: "till/" + keyAt(now, i), Fingerprint: string(make([]byte, 64)),
			Claimant: fmt.Sprintf("vm1/incarnation-of-36-characters-length-/%d", i), Born: now, Window: time.Minute,
		}
		if v := g.Claim(now, c, once.GuardState{Votes: true}); v.Verdict != once.Granted {
			return 0, fmt.Errorf("store key %d: %s", i, v.Verdict)
		}
		g.Record(now, c.Key, c.Claimant, c.Fingerprint, string(make([]byte, outcomeBytes)), now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(g)
	return float64(after.HeapAlloc-before.HeapAlloc) / keysStored, nil
}

// keyAt returns a UUIDv7 whose timestamp is t and whose random bits hold i.
func keyAt(t time.Time, i int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], 1<<63|uint64(i))
	return id.String()
}
