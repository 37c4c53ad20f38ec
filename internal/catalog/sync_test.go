package catalog

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peer "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// others are VMs of which one is silent: a call to it takes its whole wait.
type others struct {
	silent string
	mu     sync.Mutex // guards asked
	asked  []string
}

func (o *others) Call(_ context.Context, vm string, _ *peer.Message) (*peer.Message, error) {
	o.mu.Lock()
	o.asked = append(o.asked, vm)
	o.mu.Unlock()
	if vm == o.silent {
		return nil, errors.New("silent")
	}
	return &peer.Message{Pulled: &peer.Pulled{Revision: 7, Items: []peer.Published{}}}, nil
}

var _ = ginkgo.Describe("A VM that learns from others", func() {
	ginkgo.It("asks one that was silent last, until some time has passed", func() {
		now := time.Duration(0)
		peers := &others{silent: "near"}
		s := NewSync(SyncOptions{
			Mirror: NewMirror(nil, func() time.Duration { return now }, func(*Catalog, Change) {}),
			Peers:  peers, Now: func() time.Duration { return now }, Log: log.New(io.Discard),
		})
		learn := func() []string {
			peers.asked = nil
			Expect(s.pullAny(context.Background(), s.order([]string{"near", "far"}))).To(BeTrue())
			return peers.asked
		}
		Expect(learn()).To(Equal([]string{"near", "far"}))
		Expect(learn()).To(Equal([]string{"far"}))
		now += failedFor + 1
		Expect(learn()).To(Equal([]string{"near", "far"}))
	})
})
