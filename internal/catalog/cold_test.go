package catalog_test

import (
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/policy/warmup"
)

// coldDecoder decodes a heartbeat "NUMBER/MILLISECONDS" as the time until the upstream is warm. Each service
// tolerates perSecond requests a second while cold.
type coldDecoder struct {
	wordDecoder
	perSecond float64
}

func (d coldDecoder) Config(it catalog.Item) (*catalog.Config, bool, error) {
	c, ok, err := d.wordDecoder.Config(it)
	if c != nil {
		for i := range c.Services {
			c.Services[i].ColdFor, c.Services[i].ColdPerSecond = 3*time.Second, d.perSecond
		}
	}
	return c, ok, err
}

func (d coldDecoder) Entry(it catalog.Item) (catalog.Entry, bool, error) {
	e, ok, err := d.wordDecoder.Entry(it)
	if _, left, stated := strings.Cut(string(it.Value), "/"); stated && err == nil {
		ms, _ := strconv.Atoi(left)
		e.WarmupLeft, e.WarmupStated = time.Duration(ms)*time.Millisecond, true
	}
	return e, ok, err
}

var _ = Describe("Mirror of upstreams that may be cold", func() {
	var m *testMirror
	var revision int64
	start := func(perSecond float64) {
		m = &testMirror{now: time.Hour}
		m.Mirror = catalog.NewMirror(coldDecoder{perSecond: perSecond}, func() time.Duration { return m.now }, 0, func(c *catalog.Catalog, ch catalog.Change) {
			m.last, m.change, m.compiled = c, ch, m.compiled+1
		})
		revision = 1
		Expect(m.Apply(catalog.Update{Position: at(1), Items: []catalog.Item{item("config", 1, "1 s")}})).To(BeTrue())
	}
	// read applies an entry's value and reports whether a catalog was compiled.
	read := func(value string, eraStart int64) bool {
		before := m.compiled
		revision++
		u := catalog.Update{Position: at(revision), After: revision - 1, EraStart: eraStart, Items: []catalog.Item{item("u", revision, value)}}
		Expect(m.Apply(u)).To(BeTrue())
		return m.compiled > before
	}
	published := func(left time.Duration) warmup.Upstream {
		return warmup.Upstream{PerSecond: 5, For: 3 * time.Second, Published: warmup.Published{ReadAt: m.now, Left: left, Stated: true}}
	}

	It("publishes the time left, as of when the entry was read, and not that it runs down", func() {
		start(5)
		Expect(read("s a:1 ready 1/3000", 0)).To(BeTrue())
		Expect(m.last.Warmups).To(Equal(map[string]warmup.Upstream{"a:1": published(3 * time.Second)}))
		for _, left := range []string{"2000", "1000", "0", "0"} {
			m.now += time.Second
			Expect(read("s a:1 ready 2/"+left, 0)).To(BeFalse(), left)
		}
	})

	// Before, an entry that became cold again under the same incarnation was taken for a heartbeat.
	It("publishes that an upstream is cold again, whether or not the heartbeats between were read", func() {
		start(5)
		read("s a:1 ready 1/3000", 0)
		m.now += 3 * time.Second
		read("s a:1 ready 2/0", 0)
		m.now += time.Second
		Expect(read("s a:1 ready 3/2500", 0)).To(BeTrue())
		Expect(m.last.Warmups["a:1"]).To(Equal(published(2500 * time.Millisecond)))
		m.now += 10 * time.Second
		Expect(read("s a:1 ready 9/1000", 0)).To(BeTrue(), "it was warm for long")
		Expect(m.last.Warmups["a:1"]).To(Equal(published(time.Second)))
	})

	It("does not take an entry that is read late for one that is cold again", func() {
		start(5)
		read("s a:1 ready 1/3000", 0)
		m.now += 4 * time.Second // written 2 s after the one before
		Expect(read("s a:1 ready 2/1000", 0)).To(BeFalse())
	})

	It("publishes at once what another VM passes on of a cold upstream", func() {
		start(5)
		read("s a:1 ready 1/3000", 7)
		m.now += time.Second
		Expect(read("s a:1 ready 2/2800", 7)).To(BeTrue())
	})

	It("publishes that an entry does not state the time", func() {
		start(5)
		read("s a:1 ready 1", 0)
		Expect(m.last.Warmups["a:1"].Stated).To(BeFalse())
	})

	// Deployments without a bound are served as before: no catalog is compiled for a cold upstream.
	It("publishes nothing for a service without a bound", func() {
		start(0)
		read("s a:1 ready 1/0", 0)
		Expect(m.last.Warmups).To(BeNil())
		m.now += time.Second
		Expect(read("s a:1 ready 2/3000", 0)).To(BeFalse())
	})
})

func at(revision int64) catalog.Position { return catalog.Position{Revision: revision} }
