package catalog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	peer "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// fakePeers reply to pulls with the content of a Sync or, for other VMs, with nothing new. A
// call to the silent VM fails, and one to the hanging VM lasts until its context ends.
type fakePeers struct {
	silent, hanging string
	syncs           map[string]*Sync
	mu              sync.Mutex // guards called
	called          []string
}

func (o *fakePeers) Call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error) {
	o.mu.Lock()
	o.called = append(o.called, vm)
	o.mu.Unlock()
	switch {
	case vm == o.silent:
		return nil, errors.New("silent")
	case vm == o.hanging:
		<-ctx.Done()
		return nil, ctx.Err()
	case o.syncs[vm] != nil:
		return o.syncs[vm].Handle(ctx, "puller", m), nil
	}
	return &peer.Message{Pulled: &peer.Pulled{Revision: 7}}, nil
}

// plainDecoder decodes an item with the key "config" as a configuration whose version is the
// item's revision, and any other item as an upstream's entry.
type plainDecoder struct{}

func (plainDecoder) IsConfig(key string) bool { return key == "config" }

func (plainDecoder) Evacuation(string) (zone string, ok bool) { return "", false }

func (plainDecoder) Config(it Item) (*Config, bool, error) {
	return &Config{Version: int(it.Revision)}, it.Key == "config", nil
}

func (plainDecoder) Entry(it Item) (Entry, bool, error) {
	return Entry{Identity: it.Key, Address: it.Key, Position: Position{Revision: it.Revision}}, it.Key != "config", nil
}

func (plainDecoder) Equivalent(_, _ []byte) bool { return false }

func newTestSync(peers Peers, now func() time.Duration) *Sync {
	return NewSync(SyncOptions{
		Mirror: NewMirror(plainDecoder{}, now, 0, func(*Catalog, Change) {}), Peers: peers, Now: now, Log: log.New(io.Discard),
		Sources: func() delegate.Sources { return delegate.Sources{ReadsStore: true} }, FleetSize: func() int { return 1 },
		SetStoreUnreachable: func(bool) {}, AnnounceVersion: func(int) {},
	})
}

// A call to a silent VM lasts for its full timeout, so a VM must not try it first each time.
var _ = ginkgo.Describe("Sync that pulls from other VMs", func() {
	ginkgo.It("tries a failed source after the others until failedSourceTTL has passed", func() {
		now := time.Duration(0)
		peers := &fakePeers{silent: "near"}
		s := newTestSync(peers, func() time.Duration { return now })
		pull := func() []string {
			peers.called = nil
			Expect(s.pullAny(context.Background(), s.orderSources([]string{"near", "far"}), staleAfter)).To(BeTrue())
			return peers.called
		}
		Expect(pull()).To(Equal([]string{"near", "far"}))
		Expect(pull()).To(Equal([]string{"far"}))
		now += failedSourceTTL + 1
		Expect(pull()).To(Equal([]string{"near", "far"}))
	})

	// An update was cut at 1,000 items in random order but carried the full revision, so the
	// VM that pulled never got the rest.
	ginkgo.It("gets all of 2,500 items, which take several pages", func() {
		const items = 2500
		clock := func() time.Duration { return time.Second }
		peers := &fakePeers{}
		source, puller := newTestSync(peers, clock), newTestSync(peers, clock)
		peers.syncs = map[string]*Sync{"source": source}
		full := Update{Position: Position{Revision: items + 1}, Items: []Item{{Key: "config", Position: Position{Revision: items + 1}}}}
		for i := range items {
			full.Items = append(full.Items, Item{Key: fmt.Sprintf("i-%04d", i), Position: Position{Revision: int64(i/2 + 1)}})
		}
		Expect(source.o.Mirror.Apply(full)).To(BeTrue())
		Expect(puller.pullAny(context.Background(), []string{"source"}, staleAfter)).To(BeTrue())
		Expect(puller.o.Mirror.items).To(HaveLen(items + 1))
		at, _ := puller.o.Mirror.State()
		Expect(at.Revision).To(BeEquivalentTo(items + 1))
	})

	ginkgo.It("keeps its revision if the pages of an update do not belong together", func() {
		clock := func() time.Duration { return time.Second }
		peers := &cutPeers{}
		puller := newTestSync(peers, clock)
		Expect(puller.pullAny(context.Background(), []string{"source"}, staleAfter)).To(BeFalse())
		at, _ := puller.o.Mirror.State()
		Expect(at).To(BeZero())
		Expect(peers.calls).To(Equal(2))
	})
})

// cutPeers reply with a first page of changes and then with a page of other changes.
type cutPeers struct{ calls int }

func (o *cutPeers) Call(_ context.Context, _ string, _ *peer.Message) (*peer.Message, error) {
	o.calls++
	packed, err := (&packer{}).pack([]Item{{Key: "i", Position: Position{Revision: int64(o.calls)}}})
	return &peer.Message{Pulled: &peer.Pulled{After: o.calls - 1, Revision: 9, More: true, Packed: packed}}, err
}

// Load pattern: the store does not reply to a third of the VMs. A version was acknowledged,
// and all VMs of a zone followed a reader of their own zone that had not noticed yet that it
// was cut off; they got the version after 3.1 s, of 3 s allowed.
var _ = ginkgo.Describe("Sync whose source is cut off from the store", func() {
	ginkgo.It("ends a held pull as soon as the content of the source becomes stale", func() {
		var now time.Duration
		s := newTestSync(nil, func() time.Duration { return now })
		Expect(s.o.Mirror.Apply(Update{Position: Position{Revision: 5}, Items: []Item{{Key: "config", Position: Position{Revision: 5}}}})).To(BeTrue())
		now += staleAfter - 50*time.Millisecond
		start := time.Now()
		reply := s.Handle(context.Background(), "puller", &peer.Message{Pull: &peer.Pull{After: 5, Version: 5, WaitMs: 1000, MaxAgeMs: int(staleAfter.Milliseconds())}})
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(reply.Pulled.Packed).To(BeEmpty())
	})

	ginkgo.It("pulls an announced version at once, though the source in use holds its pull", func() {
		clock := func() time.Duration { return time.Second }
		peers := &fakePeers{hanging: "reader"}
		source, puller := newTestSync(peers, clock), newTestSync(peers, clock)
		peers.syncs = map[string]*Sync{"other": source}
		Expect(source.o.Mirror.Apply(Update{Position: Position{Revision: 8}, Items: []Item{{Key: "config", Position: Position{Revision: 8}}}})).To(BeTrue())
		puller.o.Sources = func() delegate.Sources { return delegate.Sources{VMs: []string{"reader"}} }
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			puller.Run(ctx)
		}()
		time.Sleep(20 * time.Millisecond)
		puller.Announced("other", 8)
		Eventually(puller.o.Mirror.Version, 500*time.Millisecond).Should(Equal(8))
		cancel()
		<-ended
		Expect(puller.failedAt).To(BeEmpty(), "a pull that was ended for an announcement has not failed")
	})

	ginkgo.It("drops an announcement that proves wrong and follows its source again", func() {
		clock := func() time.Duration { return time.Second }
		peers := &fakePeers{}
		source, puller := newTestSync(peers, clock), newTestSync(peers, clock)
		peers.syncs = map[string]*Sync{"other": source}
		Expect(source.o.Mirror.Apply(Update{Position: Position{Revision: 8}, Items: []Item{{Key: "config", Position: Position{Revision: 8}}}})).To(BeTrue())
		puller.Announced("other", 30)
		vm, version := puller.announced.newest(0, func() {})
		Expect(vm).To(Equal("other"))
		puller.pullAnnounced(context.Background(), vm, version)
		Expect(puller.o.Mirror.Version()).To(Equal(8))
		vm, _ = puller.announced.newest(8, func() {})
		Expect(vm).To(BeEmpty())
	})

	ginkgo.It("announces a version that it read from the store, but not its first and none twice", func() {
		var announced []int
		s := newTestSync(nil, func() time.Duration { return time.Second })
		s.o.AnnounceVersion = func(version int) { announced = append(announced, version) }
		source := &fixedSource{Position: Position{Revision: 4}, Items: []Item{{Key: "config", Position: Position{Revision: 4}}}}
		s.o.Source = source
		s.syncWithStore(context.Background())
		Expect(announced).To(BeEmpty())
		*source = fixedSource{After: 4, Position: Position{Revision: 6}, Items: []Item{{Key: "config", Position: Position{Revision: 6}}}}
		s.syncWithStore(context.Background())
		source.Items = nil
		s.syncWithStore(context.Background())
		Expect(announced).To(Equal([]int{6}))
	})
})

// Load pattern: 295 VMs start within 0.3 s and know only three seeds. Each read the store and at
// once watched it, though it could have pulled from a VM that it knew 0.3 s later.
var _ = ginkgo.Describe("Sync of a VM that knows no other yet", func() {
	ginkgo.It("uses the store once, and again only if it still knows no other after a while", func() {
		now := time.Second
		s := newTestSync(&fakePeers{}, func() time.Duration { return now })
		s.o.Sources = func() delegate.Sources { return delegate.Sources{ReadsStore: true} }
		source := &countingSource{}
		s.o.Source = source
		for range 3 {
			s.syncOnce(context.Background())
		}
		Expect(source.calls).To(Equal(1))
		now += aloneWait
		s.syncOnce(context.Background())
		Expect(source.calls).To(Equal(2))
	})
})

// countingSource is a store without items that counts its calls.
type countingSource struct{ calls int }

func (c *countingSource) Read(context.Context) (Update, error) {
	c.calls++
	return Update{Position: Position{Revision: 1}}, nil
}

func (c *countingSource) Watch(context.Context, int64, time.Duration) (Update, error) {
	c.calls++
	return Update{After: 1, Position: Position{Revision: 1}}, nil
}

// fixedSource is a store that replies to each read and watch with the same update.
type fixedSource Update

func (f *fixedSource) Read(context.Context) (Update, error) { return Update(*f), nil }

func (f *fixedSource) Watch(context.Context, int64, time.Duration) (Update, error) {
	return Update(*f), nil
}

// Some VMs see the store in a new era, others still know the one before.
var _ = ginkgo.Describe("Sync of a store that came back from a copy", func() {
	at := func(era, revision int64) Position { return Position{Era: era, Revision: revision} }
	full := func(p Position, version int64) Update {
		return Update{Position: p, Items: []Item{{Position: Position{Era: p.Era, Revision: version}, Key: "config"}}}
	}

	ginkgo.It("passes over a source that still knows an earlier era, however fresh it is", func() {
		clock := func() time.Duration { return time.Second }
		peers := &fakePeers{}
		behind, ahead, puller := newTestSync(peers, clock), newTestSync(peers, clock), newTestSync(peers, clock)
		peers.syncs = map[string]*Sync{"behind": behind, "ahead": ahead}
		Expect(behind.o.Mirror.Apply(full(at(1, 90), 5))).To(BeTrue())
		Expect(ahead.o.Mirror.Apply(full(at(2, 40), 5))).To(BeTrue())
		Expect(puller.o.Mirror.Apply(full(at(2, 30), 5))).To(BeTrue())
		Expect(puller.pullAny(context.Background(), []string{"behind", "ahead"}, staleAfter)).To(BeTrue())
		Expect(peers.called).To(Equal([]string{"behind", "ahead"}))
		known, _ := puller.o.Mirror.State()
		Expect(known).To(Equal(at(2, 40)))
	})

	ginkgo.It("lists the store anew if a watch shows another era, and announces the version in force for a while", func() {
		now := time.Second
		var announced []int
		s := newTestSync(nil, func() time.Duration { return now })
		s.o.AnnounceVersion = func(version int) { announced = append(announced, version) }
		source := &eraSource{content: full(at(1, 90), 5)}
		s.o.Source = source
		s.syncWithStore(context.Background())
		source.content = full(at(2, 95), 3)
		s.syncWithStore(context.Background())
		known, _ := s.o.Mirror.State()
		Expect(known).To(Equal(at(2, 95)))
		Expect(s.o.Mirror.Version()).To(Equal(5))
		Expect(announced).To(Equal([]int{5}))
		now += announceInterval
		s.syncWithStore(context.Background())
		Expect(announced).To(Equal([]int{5, 5}))
		now += announceAfterCopy
		s.syncWithStore(context.Background())
		Expect(announced).To(HaveLen(2))
	})

	ginkgo.It("takes nothing from a store that replies from an earlier era", func() {
		s := newTestSync(nil, func() time.Duration { return time.Second })
		var unreachable []bool
		s.o.SetStoreUnreachable = func(u bool) { unreachable = append(unreachable, u) }
		Expect(s.o.Mirror.Apply(full(at(2, 40), 5))).To(BeTrue())
		s.o.Source = &eraSource{content: full(at(1, 90), 9)}
		s.syncWithStore(context.Background())
		Expect(s.o.Mirror.Version()).To(Equal(5))
		Expect(unreachable).To(Equal([]bool{true}))
	})
})

// eraSource is a store whose watches return no changes.
type eraSource struct{ content Update }

func (e *eraSource) Read(context.Context) (Update, error) { return e.content, nil }

func (e *eraSource) Watch(_ context.Context, after int64, _ time.Duration) (Update, error) {
	return Update{Position: e.content.Position, After: after}, nil
}
