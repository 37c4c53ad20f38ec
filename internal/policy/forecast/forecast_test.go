package forecast_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/policy/forecast"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestForecast(t *testing.T) { testkit.Run(t, "forecast") }

const (
	ms      = time.Millisecond
	typical = 28 * ms
)

var (
	free   = forecast.Load{Known: true, Running: 1, Slots: 2}
	queued = forecast.Load{Known: true, Running: 2, Waiting: 4, Slots: 2}
)

var _ = Describe("TypicalLatency", func() {
	It("converges on the median of the samples", func() {
		var w forecast.TypicalLatency
		for i := range 400 {
			w.Observe(time.Duration(i)*ms, time.Duration(20+i%17)*ms)
		}
		Expect(w.At(200 * ms)).To(BeNumerically("~", 28*ms, 3*ms))
	})
})

// Load pattern: all VMs return from a loss of power, and requests with an objective of 40 ms, whose upstreams
// take 3 ms, come at once. A gatherer that expected 25 ms of upstreams that it had never asked shed all of them.
var _ = Describe("TypicalLatency of a kind of request without samples", func() {
	It("leaves most of a short objective, and is no longer for a long one", func() {
		var w forecast.TypicalLatency
		w.SetObjective(40 * ms)
		Expect(w.At(0)).To(BeNumerically("<=", 5*ms))
		w.SetObjective(10 * time.Second)
		Expect(w.At(0)).To(Equal(25 * ms))
	})
	It("is what a slow estimate falls back to", func() {
		var w forecast.TypicalLatency
		w.SetObjective(40 * ms)
		for i := range 30 {
			w.Observe(time.Duration(i)*ms, 2000*ms)
		}
		Expect(w.At(30 * time.Second)).To(BeNumerically("<", 6*ms))
	})
})

// A VM that pauses for 2 s right after its start measures 2 s for its first requests. It
// sheds requests that it expects to be late, so without decay it would get no further
// samples and shed for ever (soak, seed 13).
var _ = Describe("TypicalLatency on a VM that paused", func() {
	It("stays near the initial estimate after two slow samples", func() {
		var w forecast.TypicalLatency
		w.Observe(0, 2000*ms)
		w.Observe(1*ms, 1900*ms)
		Expect(w.At(2 * ms)).To(BeNumerically("<", 40*ms))
	})
	It("falls back towards the initial estimate while there are no samples", func() {
		var w forecast.TypicalLatency
		for i := range 30 {
			w.Observe(time.Duration(i)*ms, 2000*ms)
		}
		Expect(w.At(30 * ms)).To(BeNumerically(">", 1000*ms))
		// A fleet has to recover within 12 s; the estimate may take half of that.
		Expect(w.At(12 * time.Second / 2)).To(BeNumerically("<", 100*ms))
	})
	It("converges on the samples while one arrives every second", func() {
		var w forecast.TypicalLatency
		for i := range 60 {
			w.Observe(time.Duration(i)*time.Second, 220*ms)
		}
		Expect(w.At(60 * time.Second)).To(BeNumerically("~", 220*ms, 20*ms))
	})
})

var _ = Describe("Server", func() {
	It("expects a longer latency after slow replies, and after requests that were given up late", func() {
		var replied, unanswered forecast.Server
		for i := range 5 {
			now := time.Duration(i) * 300 * ms
			replied.Replied(now, 8*typical, typical, free)
			unanswered.Unanswered(now, 5*typical, typical)
		}
		Expect(replied.ExpectedLatency(1300*ms, typical)).To(BeNumerically(">", 5*typical))
		Expect(unanswered.ExpectedLatency(1300*ms, typical)).To(BeNumerically(">", 4*typical))
	})

	It("expects nearly typical latency again within 2 s of slow replies that reported a queue", func() {
		var s forecast.Server
		for i := range 5 {
			s.Replied(time.Duration(i)*100*ms, 5*typical, typical, queued)
		}
		Expect(s.ExpectedLatency(450*ms, typical)).To(BeNumerically(">", 3*typical))
		Expect(s.ExpectedLatency(2*time.Second, typical)).To(BeNumerically("<", 3*typical/2))
	})

	It("expects nearly typical latency again within 20 s of the last slow reply, so that the upstream is tried again", func() {
		var s forecast.Server
		for i := range 8 {
			s.Replied(time.Duration(i)*100*ms, 8*typical, typical, free)
		}
		Expect(s.ExpectedLatency(20*time.Second, typical)).To(BeNumerically("<", 3*typical/2))
	})

	// Load pattern: upstreams share their machines, whose pace changes between usual, 1.6 and 2.5 times
	// as slow many times a second.
	It("expects a longer latency for some milliseconds after a reply that states a slow pace, and not longer", func() {
		slow := forecast.Load{Known: true, Running: 1, Slots: 2, Pace: 2.5}
		var s forecast.Server
		for i := range 10 {
			s.Replied(time.Duration(i)*300*ms, 5*typical/2, typical, slow)
		}
		Expect(s.ExpectedLatency(2701*ms, typical)).To(BeNumerically("~", 5*typical/2, typical/5))
		Expect(s.ExpectedLatency(3000*ms, typical)).To(BeNumerically("<", 11*typical/10))
	})

	It("is not moved by an absurd pace", func() {
		var s forecast.Server
		s.Replied(0, typical, typical, forecast.Load{Known: true, Slots: 2, Pace: 1e9})
		Expect(s.ExpectedLatency(0, typical)).To(BeNumerically("<=", 10*typical))
		s.Replied(time.Second, typical, typical, forecast.Load{Known: true, Slots: 2, Pace: -1})
		Expect(s.ExpectedLatency(time.Second, typical)).To(BeNumerically("~", typical, typical/2))
	})

	It("costs more while a request in flight is overdue, as in a pause", func() {
		var s forecast.Server
		s.Replied(0, typical, typical, free)
		idle := s.Cost(100*ms, typical, forecast.InFlight{Slots: 2})
		paused := s.Cost(100*ms, typical, forecast.InFlight{Count: 1, Oldest: 200 * ms, Slots: 2})
		Expect(paused).To(BeNumerically(">", 5*idle))
	})

	It("costs more after the upstream shed requests", func() {
		var s forecast.Server
		s.Replied(0, typical, typical, free)
		before := s.Cost(time.Second, typical, forecast.InFlight{Slots: 2})
		for i := range 10 {
			s.Shed(time.Second + time.Duration(i)*ms)
		}
		Expect(s.ShedShare(1010 * ms)).To(BeNumerically(">", 0.6))
		Expect(s.Cost(1010*ms, typical, forecast.InFlight{Slots: 2})).To(BeNumerically(">", 2*before))
	})
})
