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
	return platform.Value{Body: v, ETag: manifest.Digest(v)}, nil
}

func (p *fakePlatform) Watch(ctx context.Context, key, tag string, _ time.Duration) (platform.Value, bool, error) {
	for range 50 {
		v, err := p.Get(ctx, key)
		if err != nil || v.ETag != tag {
			return v, err == nil, err
		}
		select {
		case <-ctx.Done():
			return platform.Value{}, false, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
	return platform.Value{ETag: tag}, false, nil
}

// fakeFleet connects keepers by function calls; facts arrive at once.
type fakeFleet struct {
	mu          sync.Mutex
	keepers     map[string]*rollout.Keeper
	unreachable map[string]bool
}

// fakePeers implements rollout.Peers for one VM of the fleet.
type fakePeers struct {
	fleet *fakeFleet
	self  string
}

func (v fakePeers) others() map[string]*rollout.Keeper {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	out := map[string]*rollout.Keeper{}
	for name, k := range v.fleet.keepers {
		if name != v.self && !v.fleet.unreachable[name] && !v.fleet.unreachable[v.self] {
			out[name] = k
		}
	}
	return out
}

func (v fakePeers) Call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error) {
	k, ok := v.others()[vm]
	if !ok {
		return nil, errDown
	}
	return k.Handle(ctx, v.self, m), nil
}

func (v fakePeers) Names() []string {
	var names []string
	for name := range v.others() {
		names = append(names, name)
	}
	return names
}

func (v fakePeers) Put(_, value string, _ time.Duration) {
	for _, k := range v.others() {
		k.ReceiveFact(context.Background(), v.self, value)
	}
}

func (f *fakeFleet) start(name string, p *fakePlatform, relay bool) *rollout.Keeper {
	k := rollout.New(rollout.Options{
		Peers: fakePeers{f, name}, Source: p, Relay: func() bool { return relay }, Wait: time.Second,
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

// values returns the platform's values for one generation: the head and one part, whose
// names end in suffix.
func values(generation int, suffix string) map[string][]byte {
	part := fmt.Sprintf(`{"workloads":[{"name":"w-%s","kind":"single","idempotent":true}],
		"upstreams":[{"address":"127.2.0.1:1","zone":"a","workload":"w-%s","slots":1,"connection_limit":9}]}`, suffix, suffix)
	h := gen.Head{Generation: generation, Parts: []gen.PartRef{{Digest: gen.Digest(manifest.Digest([]byte(part))), Bytes: len(part)}}}
	head, err := json.Marshal(h)
	Expect(err).NotTo(HaveOccurred())
	return map[string][]byte{platform.HeadKey: head, platform.PartKey(manifest.Digest([]byte(part))): []byte(part)}
}

func generation(k *rollout.Keeper) func() int {
	return func() int { n, _ := k.Head(); return n }
}

var _ = Describe("Keeper: the manifest in force", func() {
	var (
		source *fakePlatform
		fleet  *fakeFleet
	)
	BeforeEach(func() {
		source = &fakePlatform{values: values(5, "a")}
		fleet = &fakeFleet{keepers: map[string]*rollout.Keeper{}, unreachable: map[string]bool{}}
	})

	// A VM cut off from the platform would otherwise stay at its old manifest.
	It("is fetched from peers on a VM that cannot reach the platform", func() {
		relay := fleet.start("relay", source, true)
		Eventually(generation(relay), "3s").Should(Equal(5))
		other := fleet.start("other", &fakePlatform{down: true}, false)
		source.set(values(6, "b"))
		Eventually(generation(other), "3s").Should(Equal(6))
	})

	// A lagging replica of the platform may serve an old head after a newer one.
	It("is kept when the platform serves a lower generation or another digest of the same one", func() {
		k := fleet.start("vm", source, true)
		Eventually(generation(k), "3s").Should(Equal(5))
		source.set(values(4, "old"))
		Consistently(generation(k), "500ms").Should(Equal(5))
		source.set(values(5, "other"))
		Consistently(func() string { _, d := k.Head(); return d }, "500ms").Should(Equal(manifest.Digest(values(5, "a")[platform.HeadKey])))
		source.set(values(6, "new"))
		Eventually(generation(k), "3s").Should(Equal(6))
	})

	// The text of the part does not match its digest: a VM that applied it would run a text that
	// was not committed.
	It("is kept when an invalid generation is committed, and replaced by the next valid one", func() {
		k := fleet.start("vm", source, true)
		Eventually(generation(k), "3s").Should(Equal(5))
		bad := values(6, "bad")
		for key, text := range bad {
			if key != platform.HeadKey {
				bad[key] = append([]byte(" "), text[1:]...)
			}
		}
		source.set(bad)
		Consistently(generation(k), "500ms").Should(Equal(5))
		source.set(values(7, "c"))
		Eventually(generation(k), "3s").Should(Equal(7))
	})

	// Two VMs would otherwise run different manifests under one generation number.
	It("is kept on all VMs when one generation is committed twice, and replaced by the next generation", func() {
		one := fleet.start("one", source, true)
		other := &fakePlatform{values: values(5, "a")}
		two := fleet.start("two", other, true)
		Eventually(generation(one), "3s").Should(Equal(5))
		Eventually(generation(two), "3s").Should(Equal(5))
		source.set(values(6, "x"))
		other.set(values(6, "y"))
		Consistently(generation(one), "700ms").Should(Equal(5))
		Expect(generation(two)()).To(Equal(5))
		source.set(values(7, "z"))
		Eventually(generation(one), "3s").Should(Equal(7))
		Eventually(generation(two), "3s").Should(Equal(7))
	})

	// A VM that missed a generation must still take the next one from its peers.
	It("catches up on a VM that rejoins after a partition", func() {
		one := fleet.start("one", source, true)
		two := fleet.start("two", &fakePlatform{down: true}, false)
		Eventually(generation(two), "3s").Should(Equal(5))
		fleet.mu.Lock()
		fleet.unreachable["two"] = true
		fleet.mu.Unlock()
		source.set(values(6, "b"))
		Eventually(generation(one), "3s").Should(Equal(6))
		Expect(generation(two)()).To(Equal(5))
		fleet.mu.Lock()
		fleet.unreachable["two"] = false
		fleet.mu.Unlock()
		source.set(values(7, "c"))
		Eventually(generation(two), "3s").Should(Equal(7))
	})
})
