package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
)

// Bounds for what servers state in their replies, as the users publish them.
const (
	// From noticeLimitKnownBy after it first named a limit, a server gets at most
	// noticeLimitAllowance times what the limit allows, and noticeLimitSlack requests, in any
	// noticeLimitWindow, from the VMs that it replied to with the limit noticeDelay before.
	noticeLimitKnownBy   = 4 * time.Second
	noticeLimitWindow    = 4 * time.Second
	noticeLimitAllowance = 1.5
	noticeLimitSlack     = 5
	noticeDelay          = 500 * time.Millisecond
	// noticeTravel is how long a reply is on its way at most, while no link is broken.
	noticeTravel = 50 * time.Millisecond
	// Requests that a caller sent later than noticeDrain after a VM got an answer that says that the
	// server leaves do not reach it from that VM.
	noticeDrain = 3 * time.Second
	// From noticeDelay after a server has turned a VM's request away and asked for a pause, until
	// the end of the pause, it gets at most noticePauseSlack requests of that VM.
	noticePauseSlack = 2
	// minNoticeLimit and maxNoticeLimit are in requests a second.
	minNoticeLimit = 0.5
	maxNoticeLimit = 8.0
)

// notice is what one server states in its replies for a while.
type notice struct {
	server    string
	at        *soakServer
	perSecond float64       // it takes so many requests a second; 0 for no limit
	leaving   bool          // it leaves
	pause     time.Duration // it turns requests away and wants none for so long; 0 for no pause

	mu      sync.Mutex             // guards the fields below
	told    map[string][]time.Time // when replies with it were sent, by VM
	first   time.Time              // of these; zero if there is none
	endedAt time.Time
}

// setHeaders adds the notice to a reply.
func (n *notice) setHeaders(h http.Header) {
	if n.perSecond > 0 {
		h.Set(platform.UpstreamHeaders.Limit, strconv.FormatFloat(n.perSecond, 'f', 1, 64))
	}
	if n.leaving {
		h.Set(platform.UpstreamHeaders.Leaving, "1")
	}
	if n.pause > 0 {
		h.Set("Retry-After", strconv.FormatFloat(n.pause.Seconds(), 'f', 3, 64))
	}
}

// recordTold records that a reply with the notice is sent to a VM now.
func (n *notice) recordTold(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.first.IsZero() {
		n.first = now
	}
	n.told[vm] = append(n.told[vm], now)
}

// limitFault makes up to a third of the servers name a limit, long enough for it to apply.
func (s *soak) limitFault(_ context.Context, rng *rand.Rand) error {
	limit := func() *notice {
		return &notice{perSecond: minNoticeLimit + rng.Float64()*(maxNoticeLimit-minNoticeLimit)}
	}
	s.noticesFault(rng, limit, noticeLimitKnownBy+randomDuration(rng, 1000, 5000))
	return nil
}

// leavingFault makes a few servers state that they leave; others start at their addresses then.
func (s *soak) leavingFault(_ context.Context, rng *rand.Rand) error {
	leave := func() *notice { return &notice{leaving: true} }
	for _, i := range s.noticesFault(rng, leave, noticeDrain+randomDuration(rng, 1000, 3000)) {
		s.servers[i].remove()
		s.servers[i].startServer(i)
	}
	return nil
}

// pauseNoticeFault makes up to a third of the servers turn requests away and ask for a pause.
func (s *soak) pauseNoticeFault(_ context.Context, rng *rand.Rand) error {
	pause := func() *notice { return &notice{pause: randomDuration(rng, 700, 3000)} }
	s.noticesFault(rng, pause, randomDuration(rng, 1000, 3000))
	return nil
}

// noticesFault gives up to a third of the servers a notice for a while, and returns which.
func (s *soak) noticesFault(rng *rand.Rand, newNotice func() *notice, d time.Duration) (servers []int) {
	var notices []*notice
	for range 1 + rng.IntN(len(s.servers)/3) {
		i := rng.IntN(len(s.servers))
		n := newNotice()
		n.at, n.server, n.told = s.servers[i], s.servers[i].current.Load().ID, map[string][]time.Time{}
		if !slices.Contains(servers, i) {
			s.servers[i].notice.Store(n)
			notices, servers = append(notices, n), append(servers, i)
		}
	}
	s.mu.Lock()
	s.notices = append(s.notices, notices...)
	s.mu.Unlock()
	time.Sleep(d)
	for k, i := range servers {
		s.servers[i].notice.Store(nil)
		notices[k].mu.Lock()
		notices[k].endedAt = time.Now()
		notices[k].mu.Unlock()
	}
	return servers
}

// checkNotices looks for servers that got requests against their notices. It leaves out VMs that
// were unavailable or cut off from others since then. The load has ended.
func (s *soak) checkNotices() {
	byServer := s.evidence.arrivalsByServer()
	for _, n := range s.notices {
		arrivals := byServer[n.server]
		s.dropUnheard(n)
		switch {
		case n.perSecond > 0:
			s.checkLimit(n, arrivals)
		case n.leaving:
			s.checkLeaving(n, arrivals)
		default:
			s.checkPause(n, arrivals)
		}
	}
}

// dropUnheard drops the replies with a notice that a broken link may have kept from the VM.
func (s *soak) dropUnheard(n *notice) {
	for vm, told := range n.told {
		n.told[vm] = slices.DeleteFunc(told, func(at time.Time) bool {
			return n.at.broken.overlaps(at, at.Add(noticeTravel)) || s.wasStranded(vm, at)
		})
	}
}

// wasStranded reports whether a VM was cut off from all servers just after a time.
func (s *soak) wasStranded(name string, at time.Time) bool {
	return slices.ContainsFunc(s.strandings, func(st stranding) bool {
		return st.overlaps(at, at.Add(noticeTravel)) && slices.ContainsFunc(st.vms, func(vm *soakVM) bool { return vm.name == name })
	})
}

func (s *soak) checkLimit(n *notice, arrivals []*arrival) {
	var times []time.Time
	for _, a := range arrivals {
		told := n.told[a.vm]
		if len(told) > 0 && a.at.After(n.first.Add(noticeLimitKnownBy)) && a.at.Before(n.endedAt) && a.at.Sub(told[0]) >= noticeDelay && !s.excused(a.vm, n.first, a.at) {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	allowed := noticeLimitAllowance*n.perSecond*noticeLimitWindow.Seconds() + noticeLimitSlack
	for _, from := range times {
		if got := countInSpan(times, from, noticeLimitWindow); float64(got) > allowed {
			s.evidence.recordViolation(overLimit, "%s got %d requests in %v at a limit of %.1f a second, at most %.0f", n.server, got, noticeLimitWindow, n.perSecond, allowed)
			return
		}
	}
}

func (s *soak) checkLeaving(n *notice, arrivals []*arrival) {
	for _, a := range arrivals {
		told, q := n.told[a.vm], s.evidence.requests[a.id]
		if len(told) == 0 || q == nil || s.excused(a.vm, told[0], a.at) {
			continue
		}
		if late := q.sent.Sub(told[0]); late > noticeDrain {
			s.evidence.recordViolation(sentToLeaving, "%s got %s from %s, sent %v after it had said that it leaves", n.server, a.id, a.vm, late.Round(time.Millisecond))
		}
	}
}

func (s *soak) checkPause(n *notice, arrivals []*arrival) {
	for vm, told := range n.told {
		for _, at := range told {
			from, to := at.Add(noticeDelay), at.Add(n.pause)
			got := 0
			for _, a := range arrivals {
				if a.vm == vm && a.at.After(from) && a.at.Before(to) {
					got++
				}
			}
			if got > noticePauseSlack && !s.excused(vm, at, to) {
				s.evidence.recordViolation(sentInPause, "%s got %d requests of %s in the pause of %v that it had asked for, at most %d", n.server, got, vm, n.pause.Round(time.Millisecond), noticePauseSlack)
				return
			}
		}
	}
}

// excused reports whether a VM was unavailable or cut off from others at any time from a to b.
func (s *soak) excused(vm string, a, b time.Time) bool {
	i := slices.IndexFunc(s.vms, func(v *soakVM) bool { return v.name == vm })
	return i < 0 || s.vms[i].wasUnavailable(a, b) || s.vms[i].wasCutOff(a, b)
}

// arrivalsByServer returns the requests that reached each server.
func (e *evidence) arrivalsByServer() map[string][]*arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string][]*arrival{}
	for _, list := range e.arrivals {
		for _, a := range list {
			out[a.server] = append(out[a.server], a)
		}
	}
	return out
}
