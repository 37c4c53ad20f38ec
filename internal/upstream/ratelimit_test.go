package upstream

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

var _ = Describe("Client with an upstream that names a limit", func() {
	var a, b *fakeUpstream
	var c *Client
	var now atomic.Int64
	var told []Incarnation
	senders := []string{"vm-1", "vm-2"}
	entries := func(started int) (us []*gen.Upstream) {
		for _, f := range []*fakeUpstream{a, b} {
			us = append(us, &gen.Upstream{
				Address: f.address(), Identity: "i", StartedMs: started, Zone: "a", Workload: wlOrder, Slots: 40, ConnectionLimit: 640,
			})
		}
		return us
	}
	nameLimit := func(f *fakeUpstream, perSecond float64) {
		f.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Signature", "s")
			if perSecond > 0 {
				w.Header().Set("Limit", strconv.FormatFloat(perSecond, 'g', -1, 64))
			}
		})
	}
	BeforeEach(func() {
		a, b, told = newFakeUpstream(), newFakeUpstream(), nil
		nameLimit(a, 0)
		nameLimit(b, 0)
		now.Store(int64(time.Hour))
		headers := passThroughHeaders
		headers.Limit = "Limit"
		c = newClient(Options{
			ManifestOnly: true, Headers: headers, Now: func() time.Duration { return time.Duration(now.Load()) },
			Senders: func(*gen.Upstream) []string { return senders }, OnLimit: func(i Incarnation) { told = append(told, i) },
		}, newManifest(entries(7)...))
	})
	pick := func(exclude ...string) (*Ticket, error) {
		t, _, err := c.PickPassThrough(newManifest().Workloads[wlOrder], "route", exclude)
		return t, err
	}
	do := func(ctx context.Context, t *Ticket) Result {
		return c.Do(ctx, t, Attempt{
			Kind: PassThrough, Route: "route", Deadline: time.Now().Add(2 * time.Second),
			PassThrough: &PassThroughRequest{Method: http.MethodGet, Target: "/x", Host: "h", ID: "id"},
		})
	}
	incarnation := func(f *fakeUpstream) Incarnation { return Incarnation{f.address(), "i", 7} }
	limitOf := func(f *fakeUpstream) (limit, share float64) {
		for _, s := range c.States() {
			if s.Address == f.address() {
				limit, share = s.RateLimit, s.RateShare
			}
		}
		return limit, share
	}
	// learn calls until both upstreams have replied.
	learn := func() {
		for a.requests.Load() == 0 || b.requests.Load() == 0 {
			t, err := pick()
			Expect(err).NotTo(HaveOccurred())
			do(context.Background(), t)
		}
	}

	It("picks another one for requests beyond its share, also for those picked at the same time", func() {
		nameLimit(a, 4)
		learn()
		Expect(told).To(Equal([]Incarnation{incarnation(a)}))
		limit, share := limitOf(a)
		Expect([]float64{limit, share}).To(Equal([]float64{4, 4.0 / 3}), "two VMs that know each other count for three")
		now.Add(int64(10 * time.Second))
		before := a.requests.Load()
		var picking sync.WaitGroup
		for range 20 {
			picking.Go(func() {
				defer GinkgoRecover()
				t, err := pick()
				Expect(err).NotTo(HaveOccurred())
				do(context.Background(), t)
			})
		}
		picking.Wait()
		Expect(a.requests.Load() - before).To(BeNumerically("<=", 1))
	})

	It("returns the time until one takes a request if all are at their limits, and gives back what was not sent", func() {
		c.RecordPeerLimit(incarnation(a), 2, 0)
		c.RecordPeerLimit(incarnation(b), 0.5, 0)
		now.Add(int64(10 * time.Second))
		var tickets []*Ticket
		for {
			t, err := pick()
			if err != nil {
				var wait *WaitError
				Expect(errors.As(err, &wait)).To(BeTrue())
				Expect(wait.AtLimit).To(BeTrue())
				Expect(wait.Left).To(Equal(1400*time.Millisecond), "1.5 s at a third of 2 a second, less what adds up in the 100 ms before")
				break
			}
			tickets = append(tickets, t)
		}
		taken := len(tickets)
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		for i, t := range tickets {
			if i%2 == 0 {
				t.Cancel()
			} else {
				Expect(do(gone, t).Class).To(Equal(NotSent))
			}
		}
		for range taken {
			_, err := pick()
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := pick()
		Expect(err).To(HaveOccurred())
	})

	It("takes another VM's word for the incarnation that it names, and tells nothing that was told", func() {
		c.RecordPeerLimit(Incarnation{a.address(), "other", 7}, 4, 0)
		c.RecordPeerLimit(Incarnation{a.address(), "i", 6}, 4, 0)
		limit, _ := limitOf(a)
		Expect(limit).To(BeZero())
		nameLimit(a, 4)
		learn()
		c.RecordPeerLimit(incarnation(a), 4.1, 0)
		_, due := c.TakeLimitToAnnounce(incarnation(a))
		Expect(due).To(BeFalse())
		c.Apply(newManifest(entries(8)...))
		limit, _ = limitOf(a)
		Expect(limit).To(BeZero(), "another incarnation")
	})

	It("tells that the limit has ended, and believes no reply that the upstream did not make", func() {
		nameLimit(a, 4)
		learn()
		perSecond, due := c.TakeLimitToAnnounce(incarnation(a))
		Expect(due).To(BeTrue())
		Expect(perSecond).To(Equal(4.0))
		reply := func(h http.HandlerFunc) {
			a.setHandler(h)
			now.Add(int64(time.Second))
			t, err := pick(b.address())
			Expect(err).NotTo(HaveOccurred())
			do(context.Background(), t)
		}
		reply(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
		limit, _ := limitOf(a)
		Expect(limit).To(Equal(4.0))
		reply(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Signature", "s") })
		limit, _ = limitOf(a)
		Expect(limit).To(BeZero())
		perSecond, due = c.TakeLimitToAnnounce(incarnation(a))
		Expect(due).To(BeTrue())
		Expect(perSecond).To(BeZero())
	})
})
