package daemon_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/daemon"
)

var _ = Describe("HeapLimit", func() {
	// Guards against a limit so low that the collector takes all processor time, and against one that
	// leaves the program and the sockets no room.
	DescribeTable("follows the machine's memory",
		func(memoryMB float64, wantMB int) {
			Expect(daemon.HeapLimit(memoryMB)).To(BeEquivalentTo(wantMB * 1_000_000))
		},
		Entry("unknown: none", 0.0, 0),
		Entry("the smallest machine", 136.0, 87),
		Entry("the largest machine of today's deployments", 536.0, 387),
		Entry("too small to be true: enough for the catalog and the connections", 16.0, 40),
	)
})
