package coverage_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
)

var _ = Describe("TopRecords", func() {
	const a, b, c = "aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb", "cccccccccccccccc"
	DescribeTable("takes the greatest whole records, falling",
		func(most int, want string, bodies ...string) {
			var in [][]byte
			for _, body := range bodies {
				in = append(in, []byte(body))
			}
			Expect(string(coverage.TopRecords(in, most))).To(Equal(want))
		},
		Entry("of several bodies", 2, c+b, a+c, b),
		Entry("equal ones all", 3, b+b+a, b, a+b),
		Entry("no short rest", 3, a, a+"zzz"),
		Entry("fewer than asked for", 5, a, a),
		Entry("none", 5, ""),
	)
})
