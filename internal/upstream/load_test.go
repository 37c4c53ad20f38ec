package upstream

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/forecast"
)

// A header with a fourth figure was dropped as malformed, so that all load of such upstreams was unknown.
var _ = DescribeTable("Load of an upstream", func(value string, want forecast.Load) {
	c := &Client{opts: Options{Headers: passThroughHeaders}}
	Expect(c.passThroughLoad(http.Header{"Load": {value}})).To(Equal(want))
},
	Entry("without the pace", "1,3,2", forecast.Load{Known: true, Running: 1, Waiting: 3, Slots: 2}),
	Entry("with the pace", "2, 0, 2, 250", forecast.Load{Known: true, Running: 2, Slots: 2, Pace: 2.5}),
	Entry("with too few figures", "1,3", forecast.Load{}),
	Entry("with too many figures", "1,3,2,100,1", forecast.Load{}),
	Entry("with a malformed pace", "1,3,2,x", forecast.Load{}),
	Entry("with a negative pace", "1,3,2,-100", forecast.Load{}),
	Entry("with a huge pace", "1,3,2,99999999999999999999", forecast.Load{}),
)
