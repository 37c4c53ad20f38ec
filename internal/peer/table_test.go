package peer

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// If 300 VMs start at once and know only three seeds, each of which accepts at most 256
// connections, seeds that refused the last VMs would cut these off from the fleet.
var _ = ginkgo.Describe("a connection table full of neighbours", func() {
	ginkgo.It("accepts a new VM and closes the oldest connection to a peer that this side did not choose", func() {
		var t table
		t.init()
		const now = 10 * time.Second
		accepted := func(i int) *conn {
			c := &conn{peer: fmt.Sprintf("vm%d", i), incarnation: "1", opened: time.Duration(i) * time.Millisecond, done: make(chan struct{})}
			c.neighbourUntil.Store(int64(now + neighbourTTL))
			return c
		}
		for i := range maxAccepted {
			c := accepted(i)
			if i == 0 {
				c.chosenUntil.Store(int64(now + time.Second))
			}
			_, ok := t.add(c, now)
			gomega.Expect(ok).To(gomega.BeTrue())
		}
		victims, ok := t.add(accepted(maxAccepted), now)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(victims).To(gomega.HaveLen(1))
		gomega.Expect(victims[0].peer).To(gomega.Equal("vm1"))
	})
})
