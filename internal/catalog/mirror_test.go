package catalog_test

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestCatalog(t *testing.T) { testkit.Run(t, "catalog") }

// wordDecoder decodes values of space-separated words: "VERSION SERVICE..." for the key
// "config", "SERVICE ADDRESS STATE HEARTBEAT" for any other key.
type wordDecoder struct{}

var errWordCount = errors.New("not four words")

func (wordDecoder) Config(it catalog.Item) (*catalog.Config, bool, error) {
	f := strings.Fields(string(it.Value))
	if it.Key != "config" {
		return nil, false, nil
	}
	version, err := strconv.Atoi(f[0])
	if err != nil {
		return nil, false, err
	}
	c := &catalog.Config{Version: version, Routes: []*route.Route{{Name: "all", Host: "h", Prefix: "/", Shards: f[1:]}}}
	for _, s := range f[1:] {
		c.Services = append(c.Services, catalog.Service{Name: s, ConnectionLimit: 50})
	}
	return c, true, nil
}

func (wordDecoder) Entry(it catalog.Item) (catalog.Entry, bool, error) {
	if it.Key == "config" {
		return catalog.Entry{}, false, nil
	}
	f := strings.Fields(string(it.Value))
	if len(f) != 4 {
		return catalog.Entry{}, false, fmt.Errorf("%w: %s", errWordCount, it.Value)
	}
	return catalog.Entry{Identity: it.Key, Service: f[0], Address: f[1], Draining: f[2] == "draining", Slots: 2}, true, nil
}

func (wordDecoder) Equivalent(a, b []byte) bool {
	x, y := strings.Fields(string(a)), strings.Fields(string(b))
	return len(x) == 4 && len(y) == 4 && x[0] == y[0] && x[1] == y[1] && x[2] == y[2]
}

func item(key string, revision int64, value string) catalog.Item {
	return catalog.Item{Key: key, Revision: revision, Value: []byte(value)}
}

// testMirror is a mirror with its last catalog and change, and the number of catalogs.
type testMirror struct {
	*catalog.Mirror
	now      time.Duration
	interval time.Duration // between catalogs

	mu       sync.Mutex // guards the fields below while a timer may compile
	last     *catalog.Catalog
	change   catalog.Change
	compiled int
}

func newTestMirror() *testMirror { return newDelayedMirror(0) }

// newDelayedMirror returns a mirror with a least time between two catalogs of one version.
func newDelayedMirror(interval time.Duration) *testMirror {
	m := &testMirror{interval: interval}
	m.Mirror = catalog.NewMirror(wordDecoder{}, func() time.Duration { return m.now }, m.interval, func(c *catalog.Catalog, ch catalog.Change) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.last, m.change, m.compiled = c, ch, m.compiled+1
	})
	return m
}

// serving returns the identities of the upstreams of a service in the last catalog.
func (m *testMirror) serving(service string) []string {
	var out []string
	for _, u := range m.last.Manifest.Workloads[service].Upstreams {
		out = append(out, u.Identity)
	}
	return out
}

var _ = Describe("Mirror", func() {
	var m *testMirror
	BeforeEach(func() {
		m = newTestMirror()
		Expect(m.Apply(catalog.Update{Revision: 10, Items: []catalog.Item{
			item("config", 3, "1 a b"), item("i-1", 4, "a 10.0.0.1:80 ready 1"), item("i-2", 5, "b 10.0.0.2:80 ready 1"),
		}})).To(BeTrue())
	})

	It("assigns an address that is used again only to the later upstream", func() {
		m.Apply(catalog.Update{After: 10, Revision: 11, Items: []catalog.Item{item("i-3", 11, "a 10.0.0.2:80 ready 1")}})
		Expect(m.serving("a")).To(ConsistOf("i-1", "i-3"))
		Expect(m.serving("b")).To(BeEmpty())
	})

	It("omits an upstream from the catalog once it drains or is removed", func() {
		m.Apply(catalog.Update{After: 10, Revision: 11, Items: []catalog.Item{item("i-1", 11, "a 10.0.0.1:80 draining 2")}})
		Expect(m.serving("a")).To(BeEmpty())
		m.Apply(catalog.Update{After: 11, Revision: 12, Items: []catalog.Item{{Key: "i-2", Revision: 12, Removed: true}}})
		Expect(m.serving("b")).To(BeEmpty())
	})

	It("does not compile a new catalog when an upstream only sends a heartbeat", func() {
		before := m.compiled
		m.Apply(catalog.Update{After: 10, Revision: 11, Items: []catalog.Item{item("i-1", 11, "a 10.0.0.1:80 ready 2")}})
		Expect(m.compiled).To(Equal(before))
	})

	It("refuses older full content and ignores an older configuration", func() {
		m.Apply(catalog.Update{After: 10, Revision: 12, Items: []catalog.Item{item("config", 12, "5 a")}})
		Expect(m.Apply(catalog.Update{Revision: 9, Items: []catalog.Item{item("config", 3, "1 a b")}})).To(BeFalse())
		m.Apply(catalog.Update{After: 12, Revision: 13, Items: []catalog.Item{item("config", 13, "4 a b")}})
		Expect(m.last.Config.Version).To(Equal(5))
	})

	It("refuses changes that start after its own revision", func() {
		Expect(m.Apply(catalog.Update{After: 15, Revision: 20})).To(BeFalse())
	})

	It("reports an item that cannot be decoded and keeps the others", func() {
		m.Apply(catalog.Update{After: 10, Revision: 11, Items: []catalog.Item{item("i-9", 11, "forged")}})
		Expect(m.serving("a")).To(ConsistOf("i-1"))
		Expect(m.change.Refused).To(HaveKey("i-9"))
	})

	It("removes items that new full content does not list, and so do the mirrors that follow this one", func() {
		follower := newTestMirror()
		u, _ := m.Since(0, catalog.Cursor{})
		Expect(follower.Apply(u)).To(BeTrue())
		m.Apply(catalog.Update{Revision: 30, Items: []catalog.Item{
			item("config", 3, "1 a b"), item("i-1", 4, "a 10.0.0.1:80 ready 1"),
		}})
		u, _ = m.Since(10, catalog.Cursor{})
		Expect(u.After).To(BeZero(), "removals before the full read are unknown, so the full content is due")
		Expect(follower.Apply(u)).To(BeTrue())
		Expect(follower.serving("b")).To(BeEmpty())
		Expect(follower.serving("a")).To(ConsistOf("i-1"))
	})

	// Load pattern: 62 of 540 upstreams are replaced while configurations come in quick
	// succession: five catalogs a second, each of which took a small VM tens of milliseconds.
	It("compiles changes of entries together, and a new version at once", func() {
		m := newDelayedMirror(50 * time.Millisecond)
		compiled := func() int {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.compiled
		}
		Expect(m.Apply(catalog.Update{Revision: 10, Items: []catalog.Item{item("config", 3, "1 a b")}})).To(BeTrue())
		Expect(compiled()).To(Equal(1))
		for i := range 20 {
			rev := int64(11 + i)
			m.Apply(catalog.Update{After: rev - 1, Revision: rev, Items: []catalog.Item{item(fmt.Sprint("i-", i), rev, fmt.Sprintf("a 10.0.0.%d:80 ready 1", i))}})
		}
		Expect(compiled()).To(Equal(1))
		Eventually(compiled, "1s", "5ms").Should(Equal(2))
		Expect(m.serving("a")).To(HaveLen(20))
		m.Apply(catalog.Update{After: 30, Revision: 31, Items: []catalog.Item{item("i-1", 31, "a 10.0.0.1:80 draining 1")}})
		m.Apply(catalog.Update{After: 31, Revision: 32, Items: []catalog.Item{item("config", 32, "2 a b")}})
		Expect(compiled()).To(Equal(3))
		Expect(m.serving("a")).To(HaveLen(19))
		Consistently(compiled, "150ms", "10ms").Should(Equal(3))
	})

	It("returns with each update how long ago the store confirmed it", func() {
		m.now += 3 * time.Second
		u, _ := m.Since(10, catalog.Cursor{})
		Expect(u.Age).To(Equal(3 * time.Second))
	})

	It("bounds its tombstones and returns the full content for a revision before the oldest one", func() {
		const replacements = 4_200 // above maxTombstones
		for i := range replacements {
			rev := int64(11 + 2*i)
			key := fmt.Sprintf("i-churn-%d", i)
			m.Apply(catalog.Update{After: rev - 1, Revision: rev + 1, Items: []catalog.Item{
				item(key, rev, "a 10.0.1.1:80 ready 1"),
			}})
			m.Apply(catalog.Update{After: rev + 1, Revision: rev + 1, Items: []catalog.Item{{Key: key, Revision: rev + 1, Removed: true}}})
		}
		recent, _ := m.Since(11+2*(replacements-100), catalog.Cursor{})
		Expect(len(recent.Items)).To(BeNumerically("~", 100, 1))
		behind, _ := m.Since(12, catalog.Cursor{})
		Expect(behind.After).To(BeZero())
		Expect(behind.Items).To(HaveLen(3))
		follower := newTestMirror()
		Expect(follower.Apply(behind)).To(BeTrue())
		Expect(follower.serving("a")).To(ConsistOf("i-1"))
	})
})

// BenchmarkApply measures Apply with one changed entry among 800.
func BenchmarkApply(b *testing.B) {
	m := newTestMirror()
	items := []catalog.Item{item("config", 1, "1 a b")}
	for i := range 800 {
		items = append(items, item(fmt.Sprintf("i-%d", i), int64(i+2), fmt.Sprintf("a 10.0.%d.%d:80 ready 1", i/200, i%200)))
	}
	m.Apply(catalog.Update{Revision: 1000, Items: items})
	rev := int64(1000)
	for b.Loop() {
		rev++
		state := "ready"
		if rev%2 == 0 {
			state = "draining"
		}
		m.Apply(catalog.Update{After: rev - 1, Revision: rev, Items: []catalog.Item{item("i-5", rev, "a 10.0.0.5:80 "+state+" 1")}})
	}
}
