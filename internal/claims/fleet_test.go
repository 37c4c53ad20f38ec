package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/mechanism"
	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

var errCut = errors.New("link cut")

// fleet is a group of VMs in one process. Calls between them can be delayed and lost, and
// the fleet can be partitioned.
type fleet struct {
	mu         sync.Mutex
	nodes      map[string]*Claims
	names      []Member
	partition  map[string]int // by VM; VMs in different partitions do not reach each other
	loss       float64        // share of requests lost, and of replies
	delay      time.Duration
	calls      atomic.Int64
	mechanisms mechanism.Set
}

func newFleet(n int) *fleet {
	f := &fleet{nodes: map[string]*Claims{}, partition: map[string]int{}}
	for i := range n {
		f.names = append(f.names, Member{fmt.Sprint("vm", i)})
	}
	for _, m := range f.names {
		f.startVM(m.Name, time.Now().Add(-time.Minute))
	}
	f.admit()
	return f
}

// admit makes all VMs voters as of a minute ago, so that they vote on new keys at once.
func (f *fleet) admit() {
	for _, c := range f.nodes {
		now := c.o.Now
		c.o.Now = func() time.Time { return now().Add(-time.Minute) }
		c.join(context.Background())
		c.o.Now = now
	}
}

// startVM starts a VM, or replaces its process by one with an empty memory.
func (f *fleet) startVM(name string, started time.Time) *Claims {
	c := New(Options{
		VM: name, Incarnation: uuid.NewString(), Started: started, Mechanisms: f.mechanisms,
		Generation: func() int { return 1 },
		Roster: func() []Member {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.names
		},
		Call: func(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error) {
			return f.call(ctx, name, vm, m)
		},
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = c
	return c
}

func (f *fleet) node(i int) *Claims {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[f.names[i].Name]
}

// vote returns the verdict of one VM's guard on a new claim on the key.
func (f *fleet) vote(i int, key string) peer.VoteVerdict {
	born, _ := once.Birth(key)
	m := f.node(i).Handle(context.Background(), "vm9", &peer.Message{Claim: &peer.Claim{
		Key: key, Fingerprint: "f", Claimant: "asking", BornMs: int(born.UnixMilli()),
		WindowMs: int(time.Minute.Milliseconds()), Generation: 1,
	}})
	return m.Vote.Verdict
}

// setPartitions sets the partition of each VM, in the order of f.names.
func (f *fleet) setPartitions(partitions ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.names {
		f.partition[m.Name] = partitions[i]
	}
}

func (f *fleet) call(ctx context.Context, from, to string, m *peer.Message) (*peer.Message, error) {
	f.calls.Add(1)
	f.mu.Lock()
	node, cut := f.nodes[to], f.partition[from] != f.partition[to]
	f.mu.Unlock()
	if cut || node == nil {
		return nil, errCut
	}
	if f.delay > 0 {
		if m.Claim != nil && rand.Float64() < f.loss { // a second copy of the claim arrives late, perhaps after its round
			time.AfterFunc(rand.N(10*f.delay), func() { node.Handle(context.Background(), from, m) })
		}
		time.Sleep(rand.N(f.delay))
	}
	if rand.Float64() < f.loss {
		return nil, errCut
	}
	r := node.Handle(ctx, from, m)
	if rand.Float64() < f.loss {
		return nil, errCut
	}
	return r, ctx.Err()
}

func newKey() string { return "till-1/" + uuid.Must(uuid.NewV7()).String() }

func request(key string) Request {
	return Request{Key: key, Fingerprint: "f", Window: time.Minute}
}

func withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	time.AfterFunc(d, cancel)
	return ctx
}

// upstream counts the runs of each key.
type upstream struct {
	mu   sync.Mutex
	runs map[string]int
}

func (u *upstream) run(key string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[key]++
	return fmt.Sprintf(`{"run":%d}`, u.runs[key])
}

// runOnce claims a key and, if the claim is won, runs its request and records the outcome.
func runOnce(c *Claims, u *upstream, key string, deadline time.Duration) Decision {
	ctx := withTimeout(deadline)
	d := c.Claim(ctx, request(key))
	if d.Verdict != Won {
		return d
	}
	if !d.Hold.StillValid(clock.Boot()) {
		d.Hold.Release(ctx)
		return d
	}
	d.Outcome = u.run(key)
	_ = d.Hold.Record(ctx, d.Outcome)
	return d
}
