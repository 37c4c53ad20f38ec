package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
)

// Load pattern: operators withdraw all work from a zone within seconds, while its upstreams keep their
// entries.
var _ = Describe("The evacuation of a zone", func() {
	var m *testMirror
	at := func(era, revision int64) catalog.Position { return catalog.Position{Era: era, Revision: revision} }
	published := func(era, revision int64, key, value string) catalog.Item {
		return catalog.Item{Position: at(era, revision), Key: key, Value: []byte(value)}
	}
	removed := func(era, revision int64, key string) catalog.Item {
		return catalog.Item{Position: at(era, revision), Key: key, Removed: true}
	}
	// apply applies changes that end at a revision of an era.
	apply := func(era, after, revision int64, items ...catalog.Item) {
		GinkgoHelper()
		Expect(m.Apply(catalog.Update{Position: at(era, revision), After: after, Items: items})).To(BeTrue())
	}
	content := func() []catalog.Item {
		return []catalog.Item{
			published(1, 3, "config", "1 a b"), published(1, 4, "z1/i-1", "a 10.0.0.1:80 ready 1"),
			published(1, 5, "z1/i-2", "b 10.0.0.2:80 ready 1"), published(1, 6, "z2/i-3", "b 10.0.0.3:80 ready 1"),
		}
	}
	BeforeEach(func() {
		m = newTestMirror()
		apply(1, 0, 10, content()...)
		Expect(m.last.Evacuated).To(BeEmpty())
	})

	It("leaves the zone's upstreams out of the catalog, new ones included, until it is withdrawn", func() {
		apply(1, 10, 11, published(1, 11, "evacuate/z1", "{}"))
		Expect(m.last.Evacuated).To(Equal([]string{"z1"}))
		Expect(m.serving("a")).To(BeEmpty())
		Expect(m.serving("b")).To(ConsistOf("z2/i-3"))
		Expect(m.last.Manifest.Upstreams).To(HaveLen(1))
		Expect(m.last.ServiceZones["b"]).To(ConsistOf("z2"))
		apply(1, 11, 12, published(1, 12, "z1/i-4", "a 10.0.0.4:80 ready 1"))
		Expect(m.serving("a")).To(BeEmpty())
		apply(1, 12, 13, removed(1, 13, "evacuate/z1"))
		Expect(m.last.Evacuated).To(BeEmpty())
		Expect(m.serving("a")).To(ConsistOf("z1/i-1", "z1/i-4"))
		Expect(m.serving("b")).To(ConsistOf("z1/i-2", "z2/i-3"))
	})

	It("is in force whatever its value, for several zones, for all, and for one without upstreams", func() {
		apply(1, 10, 14, published(1, 11, "evacuate/z2", ""), published(1, 12, "evacuate/z1", "no JSON"),
			published(1, 13, "evacuate/z9", "null"))
		Expect(m.last.Evacuated).To(Equal([]string{"z1", "z2", "z9"}))
		Expect(m.last.Manifest.Upstreams).To(BeEmpty())
		Expect(m.change.Refused).To(BeEmpty())
		Expect(m.change.EmptyZones).To(Equal([]string{"z9"}))
		apply(1, 14, 16, published(1, 15, "z9/i-9", "a 10.0.0.9:80 ready 1"), removed(1, 16, "evacuate/z1"))
		Expect(m.serving("a")).To(ConsistOf("z1/i-1"), "the zone that had none is evacuated")
		Expect(m.change.EmptyZones).To(BeEmpty())
	})

	It("frees no address that a later upstream of another zone uses", func() {
		apply(1, 10, 12, published(1, 11, "z1/i-5", "b 10.0.0.3:80 ready 1"), published(1, 12, "evacuate/z1", "{}"))
		Expect(m.serving("b")).To(BeEmpty(), "the address is that of an upstream of the zone now")
	})

	It("is compiled at once, at its start and its end, and a change of its value is not a change", func() {
		m = newDelayedMirror(time.Hour)
		m.now = time.Hour
		apply(1, 0, 10, content()...)
		apply(1, 10, 11, published(1, 11, "z2/i-4", "a 10.0.0.4:80 ready 1"))
		Expect(m.compiled).To(Equal(1), "an entry waits")
		apply(1, 11, 12, published(1, 12, "evacuate/z1", "{}"))
		Expect(m.compiled).To(Equal(2))
		Expect(m.serving("a")).To(ConsistOf("z2/i-4"))
		apply(1, 12, 13, published(1, 13, "evacuate/z1", "again"))
		Expect(m.compiled).To(Equal(2))
		apply(1, 13, 14, removed(1, 14, "evacuate/z1"))
		Expect(m.compiled).To(Equal(3))
	})

	It("is learned with the full content, and ends with full content that lacks it", func() {
		apply(1, 0, 12, append(content(), published(1, 11, "evacuate/z1", "{}"))...)
		Expect(m.last.Evacuated).To(Equal([]string{"z1"}))
		started := newTestMirror()
		u, _ := m.Since(catalog.Position{}, 0, catalog.Cursor{})
		Expect(started.Apply(u)).To(BeTrue())
		Expect(started.last.Evacuated).To(Equal([]string{"z1"}))
		apply(1, 0, 14, content()...)
		Expect(m.last.Evacuated).To(BeEmpty())
	})

	Describe("in a store that comes back from a copy", func() {
		// restore lists the copy at a time, which holds the given items besides the content.
		restore := func(now time.Duration, era int64, items ...catalog.Item) {
			m.now = now
			c := content()
			for i := range c {
				c[i].Era = era
			}
			apply(era, 0, 10, append(c, items...)...)
		}
		confirm := func(now time.Duration, era, revision int64) {
			m.now = now
			apply(era, revision, revision)
		}

		It("stays in force for 30 s if the copy lacks it, and longer if the store is unreachable then", func() {
			apply(1, 10, 11, published(1, 11, "evacuate/z1", "{}"))
			restore(time.Minute, 2)
			confirm(time.Minute+29*time.Second, 2, 10)
			Expect(m.last.Evacuated).To(Equal([]string{"z1"}))
			Expect(m.serving("b")).To(ConsistOf("z2/i-3"))
			m.now = time.Hour
			Expect(m.Apply(catalog.Update{Position: at(2, 10), After: 10, Age: time.Hour - 80*time.Second})).To(BeTrue())
			Expect(m.last.Evacuated).To(Equal([]string{"z1"}), "no content that the store confirmed since")
			confirm(time.Hour, 2, 10)
			Expect(m.last.Evacuated).To(BeEmpty())
		})

		It("stays in force if it is published again, until it is withdrawn", func() {
			apply(1, 10, 11, published(1, 11, "evacuate/z1", "{}"))
			restore(time.Minute, 2)
			m.now += 20 * time.Second
			apply(2, 10, 11, published(2, 11, "evacuate/z1", "{}"))
			confirm(time.Hour, 2, 11)
			Expect(m.last.Evacuated).To(Equal([]string{"z1"}))
			apply(2, 11, 12, removed(2, 12, "evacuate/z1"))
			Expect(m.last.Evacuated).To(BeEmpty())
		})

		It("ends at once if it changes in the new era", func() {
			apply(1, 10, 11, published(1, 11, "evacuate/z1", "{}"))
			restore(time.Minute, 2)
			apply(2, 10, 12, published(2, 11, "evacuate/z1", "{}"), removed(2, 12, "evacuate/z1"))
			Expect(m.last.Evacuated).To(BeEmpty())
		})

		It("counts as published if the copy holds it, though its removal is known", func() {
			apply(1, 10, 11, published(1, 11, "evacuate/z1", "{}"))
			apply(1, 11, 12, removed(1, 12, "evacuate/z1"))
			restore(time.Minute, 2, published(2, 9, "evacuate/z1", "{}"))
			Expect(m.last.Evacuated).To(Equal([]string{"z1"}))
			confirm(time.Hour, 2, 10)
			Expect(m.last.Evacuated).To(Equal([]string{"z1"}))
		})

		It("stays in force for 30 s after each return", func() {
			apply(1, 10, 11, published(1, 11, "evacuate/z1", "{}"))
			restore(time.Minute, 2)
			restore(time.Minute+25*time.Second, 3)
			confirm(time.Minute+50*time.Second, 3, 10)
			Expect(m.last.Evacuated).To(Equal([]string{"z1"}))
			confirm(time.Minute+56*time.Second, 3, 10)
			Expect(m.last.Evacuated).To(BeEmpty())
		})

		It("is passed on to a VM that starts meanwhile, and ends there with the reader's", func() {
			apply(1, 10, 11, published(1, 11, "evacuate/z1", "{}"))
			restore(time.Minute, 2)
			started := newTestMirror()
			u, _ := m.Since(catalog.Position{}, 0, catalog.Cursor{})
			Expect(started.Apply(u)).To(BeTrue())
			Expect(started.last.Evacuated).To(Equal([]string{"z1"}))
			m.now += 31 * time.Second
			apply(2, 10, 11, published(2, 11, "z2/i-3", "b 10.0.0.3:80 draining 1"))
			Expect(m.last.Evacuated).To(BeEmpty())
			u, _ = m.Since(at(2, 10), 1, catalog.Cursor{})
			Expect(started.Apply(u)).To(BeTrue())
			Expect(started.last.Evacuated).To(BeEmpty())
		})
	})
})
