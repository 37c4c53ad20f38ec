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
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestCatalog(t *testing.T) { testkit.Run(t, "catalog") }

// wordDecoder decodes values of space-separated words: "VERSION SERVICE..." for the key
// "config", "SERVICE ADDRESS STATE HEARTBEAT" for any other key. An upstream's zone is the part of its
// key before a slash. Items with keys "evacuate/ZONE" are evacuations.
type wordDecoder struct{}

var errWordCount = errors.New("not four words")

func (wordDecoder) IsConfig(key string) bool { return key == "config" }

func (wordDecoder) Evacuation(key string) (zone string, ok bool) {
	return strings.CutPrefix(key, "evacuate/")
}

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
	zone, _, _ := strings.Cut(it.Key, "/")
	return catalog.Entry{Identity: it.Key, Zone: zone, Service: f[0], Address: f[1], Draining: f[2] == "draining", Slots: 2}, true, nil
}

func (wordDecoder) Equivalent(a, b []byte) bool {
	x, y := strings.Fields(string(a)), strings.Fields(string(b))
	return len(x) == 4 && len(y) == 4 && x[0] == y[0] && x[1] == y[1] && x[2] == y[2]
}

func item(key string, revision int64, value string) catalog.Item {
	return catalog.Item{Key: key, Position: catalog.Position{Revision: revision}, Value: []byte(value)}
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
		Expect(m.Apply(catalog.Update{Position: catalog.Position{Revision: 10}, Items: []catalog.Item{
			item("config", 3, "1 a b"), item("i-1", 4, "a 10.0.0.1:80 ready 1"), item("i-2", 5, "b 10.0.0.2:80 ready 1"),
		}})).To(BeTrue())
	})

	It("assigns an address that is used again only to the later upstream", func() {
		m.Apply(catalog.Update{After: 10, Position: catalog.Position{Revision: 11}, Items: []catalog.Item{item("i-3", 11, "a 10.0.0.2:80 ready 1")}})
		Expect(m.serving("a")).To(ConsistOf("i-1", "i-3"))
		Expect(m.serving("b")).To(BeEmpty())
	})

	// An entry of another writer hid a live upstream at its address for good.
	It("leaves an upstream its address if a later entry there is of a service that is not published", func() {
		m.Apply(catalog.Update{After: 10, Position: catalog.Position{Revision: 11}, Items: []catalog.Item{item("i-3", 11, "none 10.0.0.2:80 ready 1")}})
		Expect(m.serving("b")).To(ConsistOf("i-2"))
		m.Apply(catalog.Update{After: 11, Position: catalog.Position{Revision: 12}, Items: []catalog.Item{item("config", 12, "2 a b none")}})
		Expect(m.serving("b")).To(BeEmpty(), "it is published now")
		Expect(m.serving("none")).To(ConsistOf("i-3"))
	})

	It("omits an upstream from the catalog once it drains or is removed", func() {
		m.Apply(catalog.Update{After: 10, Position: catalog.Position{Revision: 11}, Items: []catalog.Item{item("i-1", 11, "a 10.0.0.1:80 draining 2")}})
		Expect(m.serving("a")).To(BeEmpty())
		m.Apply(catalog.Update{After: 11, Position: catalog.Position{Revision: 12}, Items: []catalog.Item{{Key: "i-2", Position: catalog.Position{Revision: 12}, Removed: true}}})
		Expect(m.serving("b")).To(BeEmpty())
	})

	It("does not compile a new catalog when an upstream only sends a heartbeat", func() {
		before := m.compiled
		m.Apply(catalog.Update{After: 10, Position: catalog.Position{Revision: 11}, Items: []catalog.Item{item("i-1", 11, "a 10.0.0.1:80 ready 2")}})
		Expect(m.compiled).To(Equal(before))
	})

	It("refuses older full content and ignores an older configuration", func() {
		m.Apply(catalog.Update{After: 10, Position: catalog.Position{Revision: 12}, Items: []catalog.Item{item("config", 12, "5 a")}})
		Expect(m.Apply(catalog.Update{Position: catalog.Position{Revision: 9}, Items: []catalog.Item{item("config", 3, "1 a b")}})).To(BeFalse())
		m.Apply(catalog.Update{After: 12, Position: catalog.Position{Revision: 13}, Items: []catalog.Item{item("config", 13, "4 a b")}})
		Expect(m.last.Config.Version).To(Equal(5))
	})

	It("refuses changes that start after its own revision", func() {
		Expect(m.Apply(catalog.Update{After: 15, Position: catalog.Position{Revision: 20}})).To(BeFalse())
	})

	It("reports an item that cannot be decoded and keeps the others", func() {
		m.Apply(catalog.Update{After: 10, Position: catalog.Position{Revision: 11}, Items: []catalog.Item{item("i-9", 11, "forged")}})
		Expect(m.serving("a")).To(ConsistOf("i-1"))
		Expect(m.change.Refused).To(HaveKey("i-9"))
	})

	It("removes items that new full content does not list, and so do the mirrors that follow this one", func() {
		follower := newTestMirror()
		u, _ := m.Since(catalog.Position{Revision: 0}, 0, catalog.Cursor{})
		Expect(follower.Apply(u)).To(BeTrue())
		m.Apply(catalog.Update{Position: catalog.Position{Revision: 30}, Items: []catalog.Item{
			item("config", 3, "1 a b"), item("i-1", 4, "a 10.0.0.1:80 ready 1"),
		}})
		u, _ = m.Since(catalog.Position{Revision: 10}, 0, catalog.Cursor{})
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
		Expect(m.Apply(catalog.Update{Position: catalog.Position{Revision: 10}, Items: []catalog.Item{item("config", 3, "1 a b")}})).To(BeTrue())
		Expect(compiled()).To(Equal(1))
		for i := range 20 {
			rev := int64(11 + i)
			m.Apply(catalog.Update{After: rev - 1, Position: catalog.Position{Revision: rev}, Items: []catalog.Item{item(fmt.Sprint("i-", i), rev, fmt.Sprintf("a 10.0.0.%d:80 ready 1", i))}})
		}
		Expect(compiled()).To(Equal(1))
		Eventually(compiled, "1s", "5ms").Should(Equal(2))
		Expect(m.serving("a")).To(HaveLen(20))
		m.Apply(catalog.Update{After: 30, Position: catalog.Position{Revision: 31}, Items: []catalog.Item{item("i-1", 31, "a 10.0.0.1:80 draining 1")}})
		m.Apply(catalog.Update{After: 31, Position: catalog.Position{Revision: 32}, Items: []catalog.Item{item("config", 32, "2 a b")}})
		Expect(compiled()).To(Equal(3))
		Expect(m.serving("a")).To(HaveLen(19))
		Consistently(compiled, "150ms", "10ms").Should(Equal(3))
	})

	It("returns with each update how long ago the store confirmed it", func() {
		m.now += 3 * time.Second
		u, _ := m.Since(catalog.Position{Revision: 10}, 0, catalog.Cursor{})
		Expect(u.Age).To(Equal(3 * time.Second))
	})

	It("bounds its tombstones and returns the full content for a revision before the oldest one", func() {
		const replacements = 4_200 // above maxTombstones
		for i := range replacements {
			rev := int64(11 + 2*i)
			key := fmt.Sprintf("i-churn-%d", i)
			m.Apply(catalog.Update{After: rev - 1, Position: catalog.Position{Revision: rev + 1}, Items: []catalog.Item{
				item(key, rev, "a 10.0.1.1:80 ready 1"),
			}})
			m.Apply(catalog.Update{After: rev + 1, Position: catalog.Position{Revision: rev + 1}, Items: []catalog.Item{{Key: key, Position: catalog.Position{Revision: rev + 1}, Removed: true}}})
		}
		recent, _ := m.Since(catalog.Position{Revision: 11 + 2*(replacements-100)}, 0, catalog.Cursor{})
		Expect(len(recent.Items)).To(BeNumerically("~", 100, 1))
		behind, _ := m.Since(catalog.Position{Revision: 12}, 0, catalog.Cursor{})
		Expect(behind.After).To(BeZero())
		Expect(behind.Items).To(HaveLen(3))
		follower := newTestMirror()
		Expect(follower.Apply(behind)).To(BeTrue())
		Expect(follower.serving("a")).To(ConsistOf("i-1"))
	})
})

// The store comes back from a copy that is some seconds old and gives revisions out again.
var _ = Describe("Mirror of a store in a new era", func() {
	var m *testMirror
	at := func(era, revision int64) catalog.Position { return catalog.Position{Era: era, Revision: revision} }
	itemAt := func(era int64, key string, revision int64, value string) catalog.Item {
		return catalog.Item{Position: at(era, revision), Key: key, Value: []byte(value)}
	}
	config := func(era, revision int64, version int) catalog.Item {
		return itemAt(era, "config", revision, fmt.Sprintf("%d a b", version))
	}
	// confirm applies an update without changes after a while.
	confirm := func(after time.Duration, p catalog.Position) {
		m.now += after
		Expect(m.Apply(catalog.Update{Position: p, After: p.Revision})).To(BeTrue())
	}
	BeforeEach(func() {
		m = newTestMirror()
		m.now = time.Minute
		Expect(m.Apply(catalog.Update{Position: at(1, 10), Items: []catalog.Item{
			config(1, 3, 1), itemAt(1, "i-1", 4, "a 10.0.0.1:80 ready 1"), itemAt(1, "i-2", 5, "b 10.0.0.2:80 ready 1"),
		}})).To(BeTrue())
		Expect(m.Apply(catalog.Update{Position: at(1, 50), After: 10, Items: []catalog.Item{
			config(1, 40, 7), itemAt(1, "i-3", 41, "a 10.0.0.3:80 ready 1"), itemAt(1, "i-2", 42, "b 10.0.0.2:80 draining 1"),
		}})).To(BeTrue())
		m.now += time.Second
	})
	// restore applies the content of the copy, which lacks the changes from revision 40 on.
	restore := func() {
		Expect(m.Apply(catalog.Update{Position: at(2, 20), Items: []catalog.Item{
			config(2, 3, 1), itemAt(2, "i-1", 4, "a 10.0.0.1:80 ready 1"), itemAt(2, "i-2", 5, "b 10.0.0.2:80 ready 1"),
		}})).To(BeTrue())
	}

	It("takes content of a later era, whatever its revision, and none of an earlier one", func() {
		restore()
		known, _ := m.State()
		Expect(known).To(Equal(at(2, 20)))
		Expect(m.Apply(catalog.Update{Position: at(1, 60), After: 50, Items: []catalog.Item{itemAt(1, "i-1", 55, "a 10.0.0.1:80 draining 1")}})).To(BeFalse())
		Expect(m.Apply(catalog.Update{Position: at(1, 60)})).To(BeFalse())
		Expect(m.serving("a")).To(ContainElement("i-1"))
	})

	It("takes no changes of a later era, which start after a revision of another history", func() {
		Expect(m.Apply(catalog.Update{Position: at(2, 60), After: 50})).To(BeFalse())
	})

	It("keeps the version in force, and the version that it lacks goes to VMs that pull", func() {
		restore()
		confirm(time.Minute, at(2, 20))
		Expect(m.last.Config.Version).To(Equal(7))
		u, _ := m.Since(at(2, 20), 1, catalog.Cursor{})
		Expect(u.Items).To(HaveLen(1))
		started := newTestMirror()
		Expect(started.Apply(catalog.Update{Position: at(2, 20), Items: []catalog.Item{config(2, 3, 1)}})).To(BeTrue())
		Expect(started.Apply(u)).To(BeTrue())
		Expect(started.Version()).To(Equal(7))
		u, _ = m.Since(at(2, 20), 7, catalog.Cursor{})
		Expect(u.Items).To(BeEmpty())
	})

	It("keeps an entry that the copy lacks for 2.5 s, by content that was confirmed since", func() {
		restore()
		m.now += 3 * time.Second
		Expect(m.Apply(catalog.Update{Position: at(2, 20), After: 20, Age: 2900 * time.Millisecond})).To(BeTrue())
		Expect(m.serving("a")).To(ConsistOf("i-1", "i-3"), "the store confirmed this 0.1 s after its return")
		confirm(0, at(2, 20))
		Expect(m.serving("a")).To(ConsistOf("i-1"))
	})

	It("keeps an entry that is written again", func() {
		restore()
		Expect(m.Apply(catalog.Update{Position: at(2, 25), After: 20, Items: []catalog.Item{itemAt(2, "i-3", 25, "a 10.0.0.3:80 ready 2")}})).To(BeTrue())
		u, _ := m.Since(at(2, 20), 7, catalog.Cursor{})
		Expect(u.Items).To(HaveLen(1), "VMs that pull keep it, too")
		confirm(time.Minute, at(2, 25))
		Expect(m.serving("a")).To(ConsistOf("i-1", "i-3"))
	})

	It("does not bring back a draining upstream until its entry changes or the doubt ends", func() {
		restore()
		Expect(m.serving("b")).To(BeEmpty())
		confirm(5*time.Second, at(2, 20))
		Expect(m.serving("b")).To(BeEmpty())
		confirm(2*time.Second, at(2, 20))
		Expect(m.serving("b")).To(ConsistOf("i-2"))
	})

	It("takes an entry that changes in the new era, whatever was known", func() {
		restore()
		Expect(m.Apply(catalog.Update{Position: at(2, 21), After: 20, Items: []catalog.Item{itemAt(2, "i-2", 21, "b 10.0.0.2:80 ready 9")}})).To(BeTrue())
		Expect(m.serving("b")).To(ConsistOf("i-2"))
	})

	It("does not bring back an upstream that was gone, and forgets it once the store does", func() {
		Expect(m.Apply(catalog.Update{Position: at(1, 51), After: 50, Items: []catalog.Item{{Position: at(1, 51), Key: "i-1", Removed: true}}})).To(BeTrue())
		restore()
		Expect(m.serving("a")).To(ConsistOf("i-3"))
		Expect(m.Apply(catalog.Update{Position: at(2, 22), After: 20, Items: []catalog.Item{{Position: at(2, 22), Key: "i-1", Removed: true}}})).To(BeTrue())
		confirm(time.Minute, at(2, 22))
		Expect(m.serving("a")).To(BeEmpty())
	})

	It("passes the new era on whole, and nothing to a VM that knows a later one", func() {
		restore()
		follower := newTestMirror()
		follower.now = m.now
		Expect(follower.Apply(catalog.Update{Position: at(1, 50), Items: []catalog.Item{config(1, 40, 7), itemAt(1, "i-3", 41, "a 10.0.0.3:80 ready 1")}})).To(BeTrue())
		u, _ := m.Since(at(1, 50), 7, catalog.Cursor{})
		Expect(u.After).To(BeZero())
		Expect(u.EraStart).To(BeEquivalentTo(20))
		Expect(follower.Apply(u)).To(BeTrue())
		Expect(follower.serving("a")).To(ConsistOf("i-1", "i-3"))
		Expect(follower.serving("b")).To(BeEmpty())
		u, _ = m.Since(at(3, 5), 7, catalog.Cursor{})
		Expect(u.Items).To(BeEmpty())
		Expect(u.Era).To(BeEquivalentTo(2))
	})

	It("may change twice in a row", func() {
		restore()
		Expect(m.Apply(catalog.Update{Position: at(3, 15), Items: []catalog.Item{config(3, 3, 1), itemAt(3, "i-1", 4, "a 10.0.0.1:80 ready 1")}})).To(BeTrue())
		Expect(m.serving("a")).To(ConsistOf("i-1", "i-3"))
		Expect(m.last.Config.Version).To(Equal(7))
		confirm(3*time.Second, at(3, 15))
		Expect(m.serving("a")).To(ConsistOf("i-1"))
	})
})

// BenchmarkApply measures Apply with one changed entry among 800.
var _ = Describe("The search of a new version", func() {
	// Guards against a copy of each search's shards in each of the earlier versions that are kept, and
	// against a search over the shards of an earlier version.
	It("is shared with the version before if its shards are the same, in the same order", func() {
		m := newTestMirror()
		workload := func(revision int64, config string) *manifest.Workload {
			Expect(m.Apply(catalog.Update{After: revision - 1, Position: catalog.Position{Revision: revision}, Items: []catalog.Item{item("config", revision, config)}})).To(BeTrue())
			return m.last.SearchWorkloads["all"]
		}
		first := workload(1, "1 a b c")
		Expect(workload(2, "2 a b c")).To(BeIdenticalTo(first))
		for i, other := range []string{"3 a c b", "4 a b", "5 a b c d"} {
			w := workload(int64(3+i), other)
			names := []string{}
			for _, s := range w.NewestMap.Shards {
				names = append(names, string(s.Name))
			}
			Expect(names).To(Equal(strings.Fields(other)[1:]))
		}
	})
})

func BenchmarkApply(b *testing.B) {
	m := newTestMirror()
	items := []catalog.Item{item("config", 1, "1 a b")}
	for i := range 800 {
		items = append(items, item(fmt.Sprintf("i-%d", i), int64(i+2), fmt.Sprintf("a 10.0.%d.%d:80 ready 1", i/200, i%200)))
	}
	m.Apply(catalog.Update{Position: catalog.Position{Revision: 1000}, Items: items})
	rev := int64(1000)
	for b.Loop() {
		rev++
		state := "ready"
		if rev%2 == 0 {
			state = "draining"
		}
		m.Apply(catalog.Update{After: rev - 1, Position: catalog.Position{Revision: rev}, Items: []catalog.Item{item("i-5", rev, "a 10.0.0.5:80 "+state+" 1")}})
	}
}
