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
	// keysStored is how many keys the memory measure stores in one guard.
	keysStored = 50_000
	// outcomeBytes is the size of a recorded reply.
	outcomeBytes = 256
	percentile99 = 99
	admitTime    = time.Minute
)

// ClaimsResult is the cost of claiming, recording and replaying keys.
type ClaimsResult struct {
	// VMs in the fleet, all of them guards.
	VMs int
	// ClaimMillis is the median time of a won claim without a network, and
	// ClaimMillisP99 its 99th percentile.
	ClaimMillis, ClaimMillisP99 float64
	// Messages are those of one order: claims and records, without their replies.
	Messages float64
	// Bytes are those of one order's messages in CBOR, replies included.
	Bytes float64
	// KeyBytes is the memory of one recorded key at one guard.
	KeyBytes float64
}

// Claims measures a fleet of n VMs in one process.
func Claims(n int, seed uint64) (ClaimsResult, error) {
	if n < 1 {
		return ClaimsResult{}, fmt.Errorf("slope of claims: %d VMs", n)
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

// claimFleet is VMs joined by function calls that count messages and bytes.
type claimFleet struct {
	nodes    map[string]*claims.Claims
	roster   []claims.Member
	messages atomic.Int64
	bytes    atomic.Int64
	pending  atomic.Int64
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

// admit runs every VM until it votes and the skews have passed, then stops it.
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
	p := once.Defaults()
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
	for _, part := range []*peer.Message{m, r} {
		b, err := cbor.Marshal(part)
		if err != nil {
			return nil, fmt.Errorf("encode message: %w", err)
		}
		f.bytes.Add(int64(len(b)))
	}
	return r, nil
}

// order claims a fresh key through one VM, records an outcome and waits until
// every message has been handled.
func (f *claimFleet) order(vm int) (time.Duration, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return 0, fmt.Errorf("draw key: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	begin := time.Now()
	d := f.nodes[f.roster[vm].Name].Claim(ctx, claims.Request{
		Key: "till/" + id.String(), Fingerprint: "0123456789abcdef", Window: time.Minute,
	})
	took := time.Since(begin)
	if d.Verdict != claims.Won {
		return 0, fmt.Errorf("claim: %s: %s", d.Verdict, d.Detail)
	}
	err = d.Hold.Record(ctx, string(make([]byte, outcomeBytes)))
	if err != nil && !errors.Is(err, claims.ErrFewCopies) {
		return 0, err
	}
	for f.pending.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	return took, nil
}

// keyMemory returns the memory of one recorded key in a guard's table.
func keyMemory() (float64, error) {
	p := once.Defaults()
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
		if v := g.Claim(now, c, once.Standing{Votes: true}); v.Verdict != once.Granted {
			return 0, fmt.Errorf("store key %d: %s", i, v.Verdict)
		}
		g.Record(now, c.Key, c.Claimant, c.Fingerprint, string(make([]byte, outcomeBytes)), now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(g)
	return float64(after.HeapAlloc-before.HeapAlloc) / keysStored, nil
}

// keyAt returns the i-th UUIDv7 of a moment.
func keyAt(t time.Time, i int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], 1<<63|uint64(i))
	return id.String()
}
