package rollout_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/platform"
	"github.com/sardinespindle/sardinespindle/internal/rollout"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

func TestRollout(t *testing.T) { testkit.Run(t, "rollout") }

var errDown = errors.New("down")

// fakePlatform holds values, and fails while it is down.
type fakePlatform struct {
	mu     sync.Mutex
	values map[string][]byte
	down   bool
}

func (p *fakePlatform) set(values map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values = values
}

func (p *fakePlatform) Get(_ context.Context, key string) (platform.Value, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return platform.Value{}, errDown
	}
	v, ok := p.values[key]
	if !ok {
		return platform.Value{}, platform.ErrNotFound
	}
	return platform.Value{Body: v, Tag: manifest.Digest(v)}, nil
}

func (p *fakePlatform) Watch(ctx context.Context, key, tag string, _ time.Duration) (platform.Value, bool, error) {
	for range 50 {
		v, err := p.Get(ctx, key)
		if err != nil || v.Tag != tag {
			return v, err == nil, err
		}
		select {
		case <-ctx.Done():
			return platform.Value{}, false, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
	return platform.Value{Tag: tag}, false, nil
}

// fakeFleet joins keepers by function calls; facts reach the others at once.
type fakeFleet struct {
	mu      sync.Mutex
	keepers map[string]*rollout.Keeper
	cut     map[string]bool
}

// view is the fleet as one VM sees it.
type view struct {
	fleet *fakeFleet
	self  string
}

func (v view) others() map[string]*rollout.Keeper {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	out := map[string]*rollout.Keeper{}
	for name, k := range v.fleet.keepers {
		if name != v.self && !v.fleet.cut[name] && !v.fleet.cut[v.self] {
			out[name] = k
		}
	}
	return out
}

func (v view) Call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error) {
	k, ok := v.others()[vm]
	if !ok {
		return nil, errDown
	}
	return k.Handle(ctx, v.self, m), nil
}

func (v view) Names() []string {
	var names []string
	for name := range v.others() {
		names = append(names, name)
	}
	return names
}

func (v view) Put(_, value string, _ time.Duration) {
	for _, k := range v.others() {
		k.Hear(context.Background(), v.self, value)
	}
}

func (f *fakeFleet) start(name string, p *fakePlatform, relay bool) *rollout.Keeper {
	k := rollout.New(rollout.Options{
		Peers: view{f, name}, Source: p, Relay: func() bool { return relay }, Wait: time.Second,
		Apply: func(*manifest.Manifest) {}, Log: log.New(io.Discard),
	})
	f.mu.Lock()
	f.keepers[name] = k
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go k.Run(ctx)
	return k
}

// values returns what the platform holds for one generation.
func values(generation int, mark string) map[string][]byte {
	part := fmt.Sprintf(`{"workloads":[{"name":"w-%s","kind":"single","idempotent":true}],
		"upstreams":[{"address":"127.2.0.1:1","zone":"a","workload":"w-%s","slots":1,"connection_limit":9}]}`, mark, mark)
	h := gen.Head{Generation: generation, Parts: []gen.PartRef{{Digest: gen.Digest(manifest.Digest([]byte(part))), Bytes: len(part)}}}
	head, err := json.Marshal(h)
	Expect(err).NotTo(HaveOccurred())
	return map[string][]byte{platform.HeadKey: head, platform.PartKey(manifest.Digest([]byte(part))): []byte(part)}
}

func generation(k *rollout.Keeper) func() int {
	return func() int { n, _ := k.Head(); return n }
}

var _ = Describe("the manifest in force", func() {
	var (
		up    *fakePlatform
		fleet *fakeFleet
	)
	BeforeEach(func() {
		up = &fakePlatform{values: values(5, "a")}
		fleet = &fakeFleet{keepers: map[string]*rollout.Keeper{}, cut: map[string]bool{}}
	})

	It("reaches a VM that the platform does not answer, from its peers", func() {
		relay := fleet.start("relay", up, true)
		Eventually(generation(relay), "3s").Should(Equal(5))
		other := fleet.start("other", &fakePlatform{down: true}, false)
		up.set(values(6, "b"))
		Eventually(generation(other), "3s").Should(Equal(6))
	})

	It("does not go back when the platform answers old values", func() {
		k := fleet.start("vm", up, true)
		Eventually(generation(k), "3s").Should(Equal(5))
		up.set(values(4, "old"))
		Consistently(generation(k), "500ms").Should(Equal(5))
		up.set(values(5, "other"))
		Consistently(func() string { _, d := k.Head(); return d }, "500ms").Should(Equal(manifest.Digest(values(5, "a")[platform.HeadKey])))
		up.set(values(6, "new"))
		Eventually(generation(k), "3s").Should(Equal(6))
	})

	It("stays when an invalid one is committed, and the next valid one is taken", func() {
		k := fleet.start("vm", up, true)
		Eventually(generation(k), "3s").Should(Equal(5))
		bad := values(6, "bad")
		for key, text := range bad {
			if key != platform.HeadKey {
				bad[key] = append([]byte(" "), text[1:]...)
			}
		}
		up.set(bad)
		Consistently(generation(k), "500ms").Should(Equal(5))
		up.set(values(7, "c"))
		Eventually(generation(k), "3s").Should(Equal(7))
	})

	It("is neither of two commits of one generation that race", func() {
		one := fleet.start("one", up, true)
		other := &fakePlatform{values: values(5, "a")}
		two := fleet.start("two", other, true)
		Eventually(generation(one), "3s").Should(Equal(5))
		Eventually(generation(two), "3s").Should(Equal(5))
		up.set(values(6, "x"))
		other.set(values(6, "y"))
		Consistently(generation(one), "700ms").Should(Equal(5))
		Expect(generation(two)()).To(Equal(5))
		up.set(values(7, "z"))
		Eventually(generation(one), "3s").Should(Equal(7))
		Eventually(generation(two), "3s").Should(Equal(7))
	})

	It("catches up after a cut on both sides", func() {
		one := fleet.start("one", up, true)
		two := fleet.start("two", &fakePlatform{down: true}, false)
		Eventually(generation(two), "3s").Should(Equal(5))
		fleet.mu.Lock()
		fleet.cut["two"] = true
		fleet.mu.Unlock()
		up.set(values(6, "b"))
		Eventually(generation(one), "3s").Should(Equal(6))
		Expect(generation(two)()).To(Equal(5))
		fleet.mu.Lock()
		fleet.cut["two"] = false
		fleet.mu.Unlock()
		up.set(values(7, "c"))
		Eventually(generation(two), "3s").Should(Equal(7))
	})
})
