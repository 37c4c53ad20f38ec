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

// fakePeers reply to pulls, except for one silent VM: a call to it fails.
type fakePeers struct {
	silent string
	mu     sync.Mutex // guards called
	called []string
}

func (o *fakePeers) Call(_ context.Context, vm string, _ *peer.Message) (*peer.Message, error) {
	o.mu.Lock()
	o.called = append(o.called, vm)
	o.mu.Unlock()
	if vm == o.silent {
		return nil, errors.New("silent")
	}
	return &peer.Message{Pulled: &peer.Pulled{Revision: 7, Items: []peer.Published{}}}, nil
}

// A call to a silent VM lasts for its full timeout, so a VM must not try it first each time.
var _ = ginkgo.Describe("Sync that pulls from other VMs", func() {
	ginkgo.It("tries a failed source after the others until failedSourceTTL has passed", func() {
		now := time.Duration(0)
		peers := &fakePeers{silent: "near"}
		s := NewSync(SyncOptions{
			Mirror: NewMirror(nil, func() time.Duration { return now }, func(*Catalog, Change) {}),
			Peers:  peers, Now: func() time.Duration { return now }, Log: log.New(io.Discard),
		})
		pull := func() []string {
			peers.called = nil
			Expect(s.pullAny(context.Background(), s.orderSources([]string{"near", "far"}))).To(BeTrue())
			return peers.called
		}
		Expect(pull()).To(Equal([]string{"near", "far"}))
		Expect(pull()).To(Equal([]string{"far"}))
		now += failedSourceTTL + 1
		Expect(pull()).To(Equal([]string{"near", "far"}))
	})
})
