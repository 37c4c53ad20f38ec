package route_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestRoute(t *testing.T) { testkit.Run(t, "route") }

var _ = Describe("Find", func() {
	table := route.NewTable([]*route.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	DescribeTable("takes the longest prefix of the host",
		func(host, path, want string) {
			r := table.Find(host, path)
			if want == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r).NotTo(BeNil())
			Expect(r.Name).To(Equal(want))
		},
		Entry("long", "a.example", "/x/y/z", "long"),
		Entry("short", "a.example", "/x/yy", "short"),
		Entry("without the closing slash", "a.example", "/x", ""),
		Entry("other host", "b.example", "/x/y/z", "other"),
		Entry("unknown host", "c.example", "/x/y", ""),
	)
})

var _ = Describe("Choose", func() {
	It("follows the weights", func() {
		r := &route.Route{Targets: []route.Target{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}}}
		count := map[string]int{}
		for i := range 1000 {
			count[r.Choose(float64(i)/1000)]++
		}
		Expect(count).To(Equal(map[string]int{"a": 250, "b": 750}))
	})
	It("names no service where the route has none", func() {
		Expect((&route.Route{}).Choose(0.5)).To(BeEmpty())
	})
})
