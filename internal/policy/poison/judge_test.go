package poison_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/poison"
)

func attempts(fates ...poison.Fate) (out []poison.Attempt) {
	for _, f := range fates {
		out = append(out, poison.Attempt{Fate: f})
	}
	return out
}

// Load pattern: a search of 30 shards that ends each server, and one that runs while some servers end by themselves.
var _ = Describe("Judge", func() {
	It("counts each upstream that ended, up to the limit, if none ran the request", func() {
		_, losses := poison.Judge(attempts(poison.Ended, poison.Lives, poison.Unknown))
		Expect(losses).To(Equal(1))
		_, losses = poison.Judge(attempts(poison.Ended, poison.Ended, poison.Ended))
		Expect(losses).To(Equal(poison.SuspicionLimit))
	})

	It("counts none if an upstream ran the request and replied", func() {
		ran, losses := poison.Judge(attempts(poison.Ended, poison.Ran, poison.Ended))
		Expect(ran).To(BeTrue())
		Expect(losses).To(BeZero())
	})

	It("counts none if no upstream ended", func() {
		ran, losses := poison.Judge(attempts(poison.Lives, poison.Unknown))
		Expect(ran).To(BeFalse())
		Expect(losses).To(BeZero())
	})
})
