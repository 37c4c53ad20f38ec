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
	DescribeTable("returns the host's route with the longest prefix of the path",
		func(host, path, want string) {
			r := table.Find(host, path)
			if want == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r).NotTo(BeNil())
			Expect(r.Name).To(Equal(want))
		},
		Entry("two prefixes match: the longer", "a.example", "/x/y/z", "long"),
		Entry("only the shorter prefix matches", "a.example", "/x/yy", "short"),
		Entry("path without the prefix's closing slash: none", "a.example", "/x", ""),
		Entry("prefix of another host does not match", "b.example", "/x/y/z", "other"),
		Entry("unknown host: none", "c.example", "/x/y", ""),
	)
})

var _ = Describe("ChooseService", func() {
	It("chooses services in proportion to their weights", func() {
		r := &route.Route{Targets: []route.Target{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}}}
		count := map[string]int{}
		for i := range 1000 {
			count[r.ChooseService(float64(i)/1000)]++
		}
		Expect(count).To(Equal(map[string]int{"a": 250, "b": 750}))
	})
	It("returns an empty service for a route without targets", func() {
		Expect((&route.Route{}).ChooseService(0.5)).To(BeEmpty())
	})
})
