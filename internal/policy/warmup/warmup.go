// Package warmup decides whether one VM takes an upstream for cold, until when, and on which evidence. An
// upstream is cold for some seconds after its start and may become cold again at any moment; what it
// publishes and replies reaches a VM late. Load pattern: upstreams that crash and return under load, one by
// one or a zone at once. The belief errs on the side of cold: it never ends before the upstream is warm by
// the evidence that this VM has. Times must come from a clock that advances while the VM is paused. The
// package is pure; the owner guards each State.
package warmup

import "time"

// Source is the kind of evidence by which an upstream counts as cold or warm.
type Source string

// Kinds of evidence.
const (
	// Entry: the entry that the upstream publishes states the time left.
	Entry Source = "entry"
	// New: the incarnation is new to this VM, and its entry does not state the time left.
	New Source = "new"
	// Reply: a reply of the upstream states the time left.
	Reply Source = "reply"
	// Failure: the upstream failed for this VM, and may have started again.
	Failure Source = "failure"
	// Peer: another VM got such a reply.
	Peer Source = "peer"
	// Elapsed: the time ran down.
	Elapsed Source = "elapsed"
)

const (
	// entryDelay is longer than an entry takes from the upstream to a VM, about 2 s: an entry that is read
	// earlier after a failure may have been written before it.
	entryDelay = 2500 * time.Millisecond
	// returnTime is how long a VM waits for a failed upstream to return. The entry of one that is gone is
	// removed three heartbeats (6 s) after its last one, and the next incarnation has a new entry; VMs read
	// both up to 2 s later.
	returnTime = 10 * time.Second
)

// MaxLeft bounds the time that evidence may state, so that sums of times do not overflow.
const MaxLeft = 24 * time.Hour

// State is what one VM knows of one incarnation of an upstream. The zero value is warm.
type State struct {
	// stated and failure are until when the upstream counts as cold by what it, or another VM, states, and by
	// its failures. 0 for never.
	stated, failure time.Duration
	since           time.Duration // of the latest evidence that it is cold
	failed          bool          // it failed and has not returned since
	source          Source        // of stated, or what ended the cold time
}

// Cold reports whether the upstream counts as cold at now.
func (s *State) Cold(now time.Duration) bool { return now < s.until() }

func (s *State) until() time.Duration { return max(s.stated, s.failure) }

// Until returns when the upstream is warm, as known at now, and by which evidence.
func (s *State) Until(now time.Duration) (until time.Duration, source Source) {
	until = s.until()
	switch {
	case until != 0 && now >= until:
		return until, Elapsed
	case s.failure > s.stated:
		return until, Failure
	default:
		return until, s.source
	}
}

// Published is an entry as read by this VM.
type Published struct {
	ReadAt time.Duration
	Left   time.Duration // until the upstream is warm when it wrote the entry
	Stated bool          // false if the entry does not state Left
}

// Upstream is what is published about how long an upstream is cold, and what it tolerates then. The zero
// value has no bound.
type Upstream struct {
	PerSecond float64       // requests that it tolerates from all VMs together while cold; 0 for no bound
	For       time.Duration // how long it is cold after a start
	Published
}

// Published records an entry that was read. isNew says that the incarnation is new to this VM. coldFor is
// how long the service's upstreams are cold after a start.
func (s *State) Published(p Published, isNew bool, coldFor time.Duration) {
	switch {
	case p.Stated && p.Left > 0:
		s.extend(p.ReadAt, p.Left, Entry)
	case p.Stated && s.until() > 0 && p.ReadAt-s.since >= entryDelay:
		s.end(Entry)
	case !p.Stated && isNew:
		s.extend(p.ReadAt, coldFor, New)
	}
}

// Replied records a reply that the upstream made, to a request sent at sentAt, and received at now. stated
// says whether it states the time left, 0 for warm. A reply to a request that was sent before the latest
// evidence that the upstream is cold does not end or shorten that.
func (s *State) Replied(sentAt, now, left time.Duration, stated bool, coldFor time.Duration) {
	newer := sentAt >= s.since
	switch {
	case stated && left > 0 && newer:
		s.end(Reply)
		s.extend(now, left, Reply)
	case stated && left > 0:
		s.extend(now, left, Reply)
	case stated && newer && s.until() > 0:
		s.end(Reply)
	case !stated && newer:
		s.Returned(now, coldFor)
	}
}

// Announced records that another VM got a reply at a time that stated the time left.
func (s *State) Announced(at, left time.Duration) {
	if at+min(left, MaxLeft) > s.until() {
		s.extend(at, left, Peer)
	}
}

// Failed records at now that a request or a connection to the upstream failed. It counts as cold until it
// has returned and coldFor has passed.
func (s *State) Failed(now, coldFor time.Duration) {
	if coldFor <= 0 {
		return
	}
	s.failed = true
	s.failure = now + min(coldFor, MaxLeft) + returnTime
	s.since = max(s.since, now)
}

// Returned records at now that the upstream accepted a connection, or replied to a request that was sent
// after it had failed.
func (s *State) Returned(now, coldFor time.Duration) {
	if !s.failed {
		return
	}
	s.failed = false
	s.failure = now + min(coldFor, MaxLeft)
}

// extend makes the upstream cold until left after a time, unless it is cold for longer.
func (s *State) extend(at, left time.Duration, source Source) {
	left = min(left, MaxLeft)
	if left <= 0 {
		return
	}
	s.since = max(s.since, at)
	if at+left > s.stated {
		s.stated, s.source = at+left, source
	}
}

// end makes the upstream warm.
func (s *State) end(source Source) { s.stated, s.failure, s.failed, s.source = 0, 0, false, source }
