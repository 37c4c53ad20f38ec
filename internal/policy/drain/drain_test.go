package drain_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/policy/drain"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

// Rare orders of events need this many histories of this length; -rapid.checks on the
// command line overrides their number, unless its value is the default, 100.
const (
	steps         = "150"
	checks        = "1000"
	defaultChecks = "100"
)

func TestDrain(t *testing.T) {
	values := map[string]string{"rapid.steps": steps}
	if flag.Lookup("rapid.checks").Value.String() == defaultChecks {
		values["rapid.checks"] = checks
	}
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	testkit.Run(t, "drain")
}

// maxDelay is how long after the start of a drain work may still be sent.
const maxDelay = 3 * time.Second

// message is an upstream's reply to a VM, or a VM's report to a peer, in transit.
type message struct {
	to       int
	reply    bool
	sentAt   time.Duration // when the request, or the report, was sent
	statedAt time.Duration // when the upstream was in the state that draining gives
	draining bool
}

// model is the oracle: one upstream, several VMs that pause, and messages that are
// dropped, delayed and reordered.
type model struct {
	now       time.Duration
	draining  bool
	changedAt time.Duration // when draining last changed
	vms       []drain.State
	paused    []bool
	inTransit []message
}

func (m *model) deliver(t *rapid.T) {
	if len(m.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "message")
	if m.paused[m.inTransit[i].to] {
		return
	}
	m.receive(i)
}

// receive delivers message i; a VM that learns from a reply that the upstream's draining
// state changed reports it to the others.
func (m *model) receive(i int) {
	msg := m.inTransit[i]
	m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
	s := &m.vms[msg.to]
	if !msg.reply {
		// The sender computes a report's age, which therefore excludes the time in transit.
		s.Report(m.now, msg.statedAt-msg.sentAt, msg.draining)
		return
	}
	if !s.Reply(msg.sentAt, m.now, msg.draining) {
		return
	}
	for to := range m.vms {
		if to != msg.to {
			m.inTransit = append(m.inTransit, message{to: to, sentAt: m.now, statedAt: m.now, draining: msg.draining})
		}
	}
}

var _ = Describe("State", func() {
	// A delayed reply, an outdated report or a pause would let a VM keep sending to an
	// upstream that drains.
	It("is not ready on any VM later than three seconds after a drain started", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 4).Draw(t, "vms")
			m := &model{now: time.Hour, vms: make([]drain.State, n), paused: make([]bool, n)}
			pick := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "vm") }
			// The order of these names determines what a fixed seed does, so they must not change.
			t.Repeat(map[string]func(*rapid.T){
				"pass": func(t *rapid.T) { // advances the clock
					m.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "steps")) * 100 * time.Millisecond
				},
				"freeze": func(t *rapid.T) { // pauses a VM
					v := pick(t)
					m.paused[v] = true
				},
				"thaw": func(*rapid.T) { clear(m.paused) }, // resumes all VMs
				"answer": func(t *rapid.T) { // a reply that arrives at once
					v := pick(t)
					if m.paused[v] {
						return
					}
					m.inTransit = append(m.inTransit, message{})
					copy(m.inTransit[1:], m.inTransit)
					m.inTransit[0] = message{to: v, reply: true, sentAt: m.now, statedAt: m.now, draining: m.draining}
					m.receive(0)
				},
				"turn": func(*rapid.T) { // starts or ends the drain
					m.draining = !m.draining
					m.changedAt = m.now
				},
				"ask": func(t *rapid.T) { // a reply to a probe or a request; "deliver" or "drop" removes it later
					v := pick(t)
					if m.paused[v] {
						return
					}
					m.inTransit = append(m.inTransit, message{to: v, reply: true, sentAt: m.now, statedAt: m.now, draining: m.draining})
				},
				"repeat a report": func(t *rapid.T) { // an arbitrary one, as from a peer with outdated facts
					m.inTransit = append(m.inTransit, message{to: pick(t), sentAt: m.now, statedAt: m.now, draining: rapid.Bool().Draw(t, "draining")})
				},
				"deliver": m.deliver,
				"drop": func(*rapid.T) {
					if len(m.inTransit) == 0 {
						return
					}
					m.inTransit = m.inTransit[1:]
				},
				"": func(t *rapid.T) { // each VM that runs sends whenever its state is Ready
					for v := range m.vms {
						if m.paused[v] || m.vms[v].Verdict(m.now) != drain.Ready {
							continue
						}
						if m.draining && m.now-m.changedAt > maxDelay {
							t.Fatalf("vm %d sent %v after the drain started", v, m.now-m.changedAt)
						}
					}
				},
			})
		})
	})

	It("is ready again only once a request is replied to that was sent after the draining reply arrived", func() {
		var s drain.State
		s.Reply(10*time.Second, 12*time.Second, true)
		s.Reply(11*time.Second, 13*time.Second, false) // sent before the draining reply arrived
		Expect(s.Verdict(13 * time.Second)).To(Equal(drain.Draining))
		s.Report(14*time.Second, 0, false)
		Expect(s.Verdict(14 * time.Second)).To(Equal(drain.Expired))
		s.Reply(14*time.Second, 15*time.Second, false)
		Expect(s.Verdict(15 * time.Second)).To(Equal(drain.Ready))
	})

	It("is expired, not draining, after a peer's report, until the upstream replies itself", func() {
		var s drain.State
		s.Reply(10*time.Second, 10*time.Second, false)
		s.Report(10*time.Second+time.Millisecond, 0, true)
		Expect(s.Verdict(11 * time.Second)).To(Equal(drain.Expired))
		Expect(s.PeerReported()).To(BeTrue())
		s.Reply(11*time.Second, 11*time.Second, false)
		Expect(s.Verdict(11 * time.Second)).To(Equal(drain.Ready))
		Expect(s.Report(11*time.Second, 2*time.Second, true)).To(BeFalse())
	})

	It("is draining while the manifest says so, whatever the upstream replies", func() {
		var s drain.State
		s.SetManifest(true)
		s.Reply(time.Second, time.Second, false)
		Expect(s.Verdict(time.Second)).To(Equal(drain.Draining))
	})
})
