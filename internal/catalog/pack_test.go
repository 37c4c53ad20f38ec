package catalog

import (
	"bytes"
	"compress/flate"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// entries are items like the entries of upstreams.
func entries(n int) []Item {
	out := make([]Item, n)
	for i := range out {
		out[i] = Item{Key: fmt.Sprintf("servers/i-%08x", i*2654435761), Position: Position{Revision: int64(i + 1)}, Value: fmt.Appendf(nil,
			`{"service":"part%d","address":"10.%d.%d.%d:8780","zone":"brno-a","version":"v1","slots":3,"state":"ready","warmupLeftMs":0,"sequence":%d,"born":1790000%06d}`,
			i/3, i%5, i%200, i%250, i%17, i)}
	}
	return out
}

var _ = ginkgo.Describe("A packed page", func() {
	// Each change goes to every VM of the fleet, and bytes between zones are billed.
	ginkgo.It("takes less than a third of the bytes of its items and unpacks to the same items", func() {
		items := entries(540)
		size := 0
		for _, it := range items {
			size += len(it.Key) + len(it.Value)
		}
		packed, err := (&packer{}).pack(items)
		Expect(err).NotTo(HaveOccurred())
		Expect(3 * len(packed)).To(BeNumerically("<", size))
		Expect(unpack(packed)).To(Equal(items))
	})

	ginkgo.It("is compressed once for all VMs that ask for it", func() {
		p := &packer{}
		items := entries(200)
		first, err := p.pack(items)
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			_, err := p.pack(items)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(p.pages).To(HaveLen(1))
		items[0].Revision += 1000
		changed, err := p.pack(append(items[1:], items[0]))
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).NotTo(Equal(first))
		for i := range 20 {
			_, err := p.pack(items[i:])
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(len(p.pages)).To(Equal(maxPackedPages))
	})

	ginkgo.DescribeTable("is refused", func(packed string) {
		items, err := unpack(packed)
		Expect(err).To(HaveOccurred())
		Expect(items).To(BeNil())
	},
		ginkgo.Entry("if it is not compressed data", "garbage"),
		ginkgo.Entry("if it is no list of items", deflate([]byte{0xa1, 0x01, 0x02})),
		ginkgo.Entry("if it is larger than the bound", deflate(make([]byte, maxUnpackedBytes+1))),
	)
})

func deflate(b []byte) string {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(b) // a bytes.Buffer does not fail
	_ = w.Close()
	return out.String()
}
