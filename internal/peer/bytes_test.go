package peer

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

var _ = Describe("the message codec", func() {
	It("preserves values that are not valid UTF-8", func() {
		value := "\xff\xfe\x00record"
		b, err := encode(&gen.Message{Pulled: &gen.Pulled{Revision: 1, Packed: value}})
		Expect(err).NotTo(HaveOccurred())
		m, err := decode(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Pulled.Packed).To(Equal(value))
	})
})
