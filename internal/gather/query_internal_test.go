package gather

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

var _ = Describe("The timer of a pass-through search", func() {
	// It fired at once, again and again, from a few milliseconds before the deadline on: 5 ms
	// of processor time for each search that waited so long.
	It("is not due before GiveUpAt if nothing is scheduled", func() {
		deadline := time.Now().Add(time.Second)
		pm := &manifest.PartitionMap{}
		q, err := New(Options{}).newQuery(context.Background(), Search{
			Deadline: deadline, Workload: &manifest.Workload{NewestMap: pm, Maps: map[int]*manifest.PartitionMap{0: pm}},
			PassThrough: &PassThrough{Request: &upstream.PassThroughRequest{}, GiveUpAt: deadline},
		})
		Expect(err).NotTo(HaveOccurred())
		defer q.close()
		Expect(q.answerBy).To(Equal(deadline))
	})
})
