package coverage_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
)

var _ = Describe("TopRecords", func() {
	const a, b, c = "aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb", "cccccccccccccccc"
	DescribeTable("returns the greatest complete records in descending order",
		func(most int, want string, bodies ...string) {
			var in [][]byte
			for _, body := range bodies {
				in = append(in, []byte(body))
			}
			Expect(string(coverage.TopRecords(in, most))).To(Equal(want))
		},
		Entry("from several bodies", 2, c+b, a+c, b),
		Entry("with duplicates kept", 3, b+b+a, b, a+b),
		Entry("without a truncated record at the end", 3, a, a+"zzz"),
		Entry("fewer than the limit if there are no more", 5, a, a),
		Entry("and nothing without bodies", 5, ""),
	)
})
