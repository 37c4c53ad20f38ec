package peer

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// The load: 300 VMs start at once and know three seeds, each of which holds 256 connections.
var _ = ginkgo.Describe("A seed that is full of neighbours", func() {
	ginkgo.It("makes room for a VM that starts, at the expense of the oldest that it did not choose", func() {
		var t table
		t.init()
		const now = 10 * time.Second
		accepted := func(i int) *conn {
			c := &conn{peer: fmt.Sprintf("vm%d", i), inc: "1", since: time.Duration(i) * time.Millisecond, done: make(chan struct{})}
			c.gossipUntil.Store(int64(now + gossipLife))
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
