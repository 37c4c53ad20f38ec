package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
)

// Bound is how many requests a cold upstream may get from all VMs together in any one second:
// PerSecond x Overage + Slack. Load pattern: the upstreams of a zone return at once and each crashes if
// it gets many more than PerSecond; 1 to 300 VMs, whose demand differs by ten times.
type Bound struct {
	PerSecond      float64 // what the upstream tolerates
	Overage, Slack float64
}

// maxBound is more than any VM sends in a second, and small enough to add up.
const maxBound = 1 << 24

// Most returns the most requests in any one second.
func (b Bound) Most() int {
	most := b.PerSecond*b.Overage + b.Slack
	if !(most >= 1) { // also true of NaN
		return 0
	}
	return int(min(most, maxBound))
}

const (
	// viewGrowth is how many times the planned requests may be sent while each view of the fleet misses a
	// quarter of the VMs (see connbudget): 1/(1-1/4).
	viewGrowth = 4.0 / 3
	// viewNoise is the spread of the number of VMs that then count themselves among the holders, in
	// multiples of the square root of the planned number. Without it, one of the first 10 random cases of the
	// test exceeded the bound; with it, none of 3,000 did.
	viewNoise = 1.5
)

// Planned returns the requests in a second that the VMs share: what the upstream tolerates, and of the rest
// of Most what is safe while views of the fleet differ. Of a bound below one request, none is planned.
func (b Bound) Planned() int {
	most := b.Most()
	if most == 0 {
		return 0
	}
	// The largest n with viewGrowth*n + viewNoise*sqrt(n) <= most.
	root := (math.Sqrt(viewNoise*viewNoise+4*viewGrowth*float64(most)) - viewNoise) / (2 * viewGrowth)
	return max(1, int(root*root), int(min(b.PerSecond, float64(most))))
}

// ColdShare returns how many requests self may send in any second to a cold upstream at address, where
// senders are all VMs that may send to it; 0 for none. A VM that does not know the senders sends none.
func ColdShare(b Bound, address, self string, senders []string) int {
	n := len(senders)
	if n == 0 || !slices.Contains(senders, self) {
		return 0
	}
	planned := b.Planned()
	share := planned / n
	if connbudget.Rank(address, self, senders) < planned%n {
		share++
	}
	return share
}

// ColdHolders returns the senders whose ColdShare is not 0.
func ColdHolders(b Bound, address string, senders []string) []string {
	return connbudget.Top(address, senders, b.Planned())
}

const (
	coldSlot = 100 * time.Millisecond
	// coldSlots cover at least 1.1 s: requests that are sent a second apart may arrive up to 100 ms closer
	// to each other.
	coldSlots = 12
	// coldWindow is the longest time that the slots cover.
	coldWindow = coldSlots * coldSlot
)

// window counts requests of the last coldWindow in slots, in constant memory.
type window struct {
	counts [coldSlots]uint32
	newest int64 // slot number
	sum    int
}

func slotOf(now time.Duration) int64 { return int64(now / coldSlot) }

func (w *window) count(slot int64) *uint32 { return &w.counts[slot%coldSlots] }

func (w *window) advance(now time.Duration) {
	slot := slotOf(now)
	if slot-w.newest >= coldSlots {
		*w = window{newest: slot}
		return
	}
	for w.newest < slot {
		w.newest++
		w.sum -= int(*w.count(w.newest))
		*w.count(w.newest) = 0
	}
}

func (w *window) add(at time.Duration) {
	w.advance(at)
	*w.count(w.newest)++
	w.sum++
}

// remove removes a request that was counted at a time, and reports whether it was still counted.
func (w *window) remove(at time.Duration) bool {
	slot := slotOf(at)
	if slot <= w.newest-coldSlots || slot > w.newest || *w.count(slot) == 0 {
		return false
	}
	*w.count(slot)--
	w.sum--
	return true
}

// putBack undoes remove.
func (w *window) putBack(at time.Duration) {
	*w.count(slotOf(at))++
	w.sum++
}

// wait returns the time until fewer than share requests are counted.
func (w *window) wait(now time.Duration, share int) time.Duration {
	if share == 0 {
		return coldWindow
	}
	left := w.sum
	for slot := w.newest - coldSlots + 1; left >= share; slot++ {
		left -= int(*w.count((slot + coldSlots) % coldSlots))
		if left < share {
			return time.Duration(slot+coldSlots)*coldSlot - now
		}
	}
	return 0
}

// cold is what a State holds for an upstream that has a Bound while it is cold.
type cold struct {
	active bool
	share  int // of this VM, in any second, while active
	sent   window
}

// Count has the requests to an upstream counted that may become cold, or not any more.
func (s *State) Count(on bool) {
	switch {
	case !on:
		s.cold = nil
	case s.cold == nil:
		s.cold = &cold{}
	}
}

// Sent is the requests of the last second or so that a State counted.
type Sent struct{ window window }

// Sent returns the requests counted so far.
func (s *State) Sent() Sent {
	if s.cold == nil {
		return Sent{}
	}
	return Sent{s.cold.sent}
}

// CountSent has the requests counted that were sent to the incarnation before: until this VM knows of the
// new one, they may have reached it. It has no effect without Count.
func (s *State) CountSent(before Sent) {
	if s.cold != nil {
		s.cold.sent = before.window
	}
}

// SetCold sets whether the upstream is cold, and this VM's share then, see ColdShare. It has no effect
// without Count.
func (s *State) SetCold(active bool, share int) {
	if s.cold != nil {
		s.cold.active, s.cold.share = active, share
	}
}

// ColdShare returns how many requests this VM may send in any second; false if the upstream is not cold.
func (s *State) ColdShare() (share int, ok bool) {
	if s.cold == nil || !s.cold.active {
		return 0, false
	}
	return s.cold.share, true
}

// coldWait returns how long it takes until a cold upstream may be sent a request; 0 if it may now.
func (s *State) coldWait(now time.Duration) time.Duration {
	if s.cold == nil || !s.cold.active {
		return 0
	}
	s.cold.sent.advance(now)
	if s.cold.sent.sum < s.cold.share {
		return 0
	}
	return max(s.cold.sent.wait(now, s.cold.share), time.Millisecond)
}

// Write moves a request that was taken at a time to now, when it is sent. It reports false if it may not
// be sent any more: the upstream became cold, or the request waited so long that others took its place.
func (s *State) Write(takenAt, now time.Duration) bool {
	if s.cold == nil {
		return true
	}
	w := &s.cold.sent
	w.advance(now)
	counted := w.remove(takenAt)
	if s.cold.active && w.sum >= s.cold.share {
		if counted {
			w.putBack(takenAt)
		}
		return false
	}
	w.add(now)
	return true
}

// Uncount removes a request that was taken, or moved by Write, at a time and not sent.
func (s *State) Uncount(at time.Duration) {
	if s.cold != nil {
		s.cold.sent.remove(at)
	}
}
