package peer_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/peer"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

var _ = Describe("A request handed to a VM", func() {
	var f *fleet
	handler := func(took time.Duration) peer.Handler {
		return func(ctx context.Context, _ string, m *gen.Message) *gen.Message {
			if m.Delegate == nil {
				return nil
			}
			select {
			case <-time.After(took):
			case <-ctx.Done():
			}
			return &gen.Message{Delegated: &gen.Delegated{Taken: true, Headers: []gen.Header{}, Signatures: []string{}}}
		}
	}
	ask := func() (*gen.Message, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return f.vms[0].Delegate(ctx, f.vms[1].name, &gen.Delegate{Shards: []string{}, Headers: []gen.Header{}})
	}
	BeforeEach(func() { f = newFleet(2) })

	It("is waited for as long as the VM says that it runs", func() {
		f.vms[1].Handle(handler(900 * time.Millisecond))
		reply, err := ask()
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Delegated.Taken).To(BeTrue())
	})

	It("is given up soon where nothing comes back", func() {
		f.vms[1].Handle(handler(0))
		_, err := ask()
		Expect(err).NotTo(HaveOccurred())
		f.setCut(f.vms[0], f.vms[1], true)
		begun := time.Now()
		_, err = ask()
		Expect(err).To(MatchError(peer.ErrSilent))
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})

	It("is told apart where it was never sent", func() {
		_, err := f.vms[0].Delegate(context.Background(), "vm9", &gen.Delegate{Shards: []string{}, Headers: []gen.Header{}})
		Expect(err).To(MatchError(peer.ErrNotSent))
	})

	It("is turned away at once where the VM runs too many", func() {
		release := make(chan struct{})
		f.vms[1].Handle(func(_ context.Context, _ string, m *gen.Message) *gen.Message {
			if m.Delegate == nil {
				return nil
			}
			<-release
			return &gen.Message{Delegated: &gen.Delegated{Taken: true, Headers: []gen.Header{}, Signatures: []string{}}}
		})
		// What a VM runs at a time is bounded for each connection. Both VMs may have dialed at
		// their start, and requests change over to the connection that this side dialed.
		Eventually(func() bool {
			before := gauged(f.vms[0], "spindle_peer_connections")
			time.Sleep(300 * time.Millisecond)
			return before > 0 && gauged(f.vms[0], "spindle_peer_connections") == before
		}, "5s").Should(BeTrue())
		results := make(chan error, 80)
		for range cap(results) {
			go func() { _, err := ask(); results <- err }()
		}
		for range 80 - 64 {
			var err error
			Eventually(results, "4s").Should(Receive(&err))
			Expect(err).To(MatchError(peer.ErrNotSent))
		}
		Consistently(results, "100ms").ShouldNot(Receive())
		close(release)
		for range 64 {
			var err error
			Eventually(results, "4s").Should(Receive(&err))
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

// gauged returns the sum of a gauge's values.
func gauged(v *vm, metric string) (sum float64) {
	families, err := v.registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == metric {
				sum += m.GetGauge().GetValue()
			}
		}
	}
	return sum
}
