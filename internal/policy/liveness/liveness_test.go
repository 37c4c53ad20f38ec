package liveness_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/liveness"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestLiveness(t *testing.T) { testkit.Run(t, "liveness") }

var _ = Describe("A VM that others state as unreachable", func() {
	It("counts as lost until it refutes every statement, and a new incarnation is not concerned", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var statements []liveness.Statement
			own := liveness.Announcement{Capacity: 1, Zone: "a"}
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				if rapid.Bool().Draw(t, "stated") {
					statements = append(statements, liveness.Statement{Incarnation: "i1", Number: own.Number})
					if liveness.Refuted("i1", own, statements) {
						t.Fatal("a VM stated as unreachable counts as alive")
					}
				}
				if n, needed := liveness.Refute("i1", own.Number, statements); needed {
					own.Number = n
				}
				if !liveness.Refuted("i1", own, statements) {
					t.Fatal("a refuted statement still applies")
				}
				if !liveness.Refuted("i2", liveness.Announcement{}, statements) {
					t.Fatal("a statement applies to another incarnation")
				}
			}
		})
	})

	It("is encoded and decoded without loss, and garbage is refused", func() {
		a := liveness.Announcement{Number: 3, Capacity: 0.192, Zone: "brno-a"}
		parsed, ok := liveness.ParseAnnouncement(a.String())
		Expect(ok).To(BeTrue())
		Expect(parsed).To(Equal(a))
		s := liveness.Statement{Incarnation: "7e4ea2ba", Number: 3}
		stated, ok := liveness.ParseStatement(s.String())
		Expect(ok).To(BeTrue())
		Expect(stated).To(Equal(s))
		for _, value := range []string{"", "1", "1 2", "x 1 a", "-1 1 a", "1 0 a", "1 NaN a", "1 1 "} {
			_, ok := liveness.ParseAnnouncement(value)
			Expect(ok).To(BeFalse(), value)
		}
		for _, value := range []string{"", "inc", " 1", "inc x"} {
			_, ok := liveness.ParseStatement(value)
			Expect(ok).To(BeFalse(), value)
		}
	})
})

var _ = Describe("An incarnation", func() {
	It("says whether its VM runs delegated requests by the version that they name", func() {
		Expect(liveness.RunsByVersion(liveness.NewIncarnation("0a1b2c"))).To(BeTrue())
		Expect(liveness.RunsByVersion("2-0a1b2c")).To(BeTrue())
		Expect(liveness.RunsByVersion("2f0a1b2c")).To(BeFalse(), "drawn by an earlier build, 8 hexadecimal digits")
		Expect(liveness.RunsByVersion("3f0a1b2c")).To(BeFalse(), "drawn by an earlier build, 8 hexadecimal digits")
	})

	It("says whether its VM sends nothing to evacuated zones", func() {
		Expect(liveness.KnowsEvacuations(liveness.NewIncarnation("0a1b2c"))).To(BeTrue())
		Expect(liveness.KnowsEvacuations("2-0a1b2c")).To(BeFalse())
		// The build before compares with "2-" only. It would give no searches to VMs of another prefix.
		Expect(liveness.NewIncarnation("0a1b2c")).To(HavePrefix("2-"))
		Expect(liveness.KnowsEvacuations("3f0a1b2c")).To(BeFalse(), "drawn by an earlier build, 8 hexadecimal digits")
		Expect(liveness.KnowsEvacuations("")).To(BeFalse(), "not known yet")
	})
})
