package testkit_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestTestkit(t *testing.T) { testkit.Run(t, "testkit") }

var _ = Describe("Run", func() {
	It("sets the seeds of rapid and ginkgo", func() {
		Expect(flag.Lookup("rapid.seed").Value.String()).NotTo(Equal("0"))
		Expect(GinkgoRandomSeed()).To(Equal(testkit.Seed()))
	})
})
