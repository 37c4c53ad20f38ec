// Package clientlimit decides what clients may make a VM hold: how its memory and descriptors are divided
// among its listeners, what a connection and a request are counted as, and which connection is closed when
// that is spent. Load pattern: many clients that send requests of legal size slowly or only in part, or
// read no answers, beside ordinary callers, whose requests arrive at once. Its functions are pure.
package clientlimit

import "time"

// Capacity is what the connections of one listener may use together.
type Capacity struct {
	// Memory is in bytes for what clients send, counted as by HeadCost, ConnCost and BodyCost.
	Memory int64
	// Answers is in bytes for what they are sent: answers that are expected, that are not yet sent, and the
	// replies of upstreams that are read for them. What upstreams send then takes no room of requests.
	Answers     int64
	Connections int
}

// Plan holds the capacities of a VM's listeners. Each is spent by the clients of its listener only, so that
// callers take nothing from peers and the platform's health checks.
type Plan struct{ Callers, Peers, Admin Capacity }

// What counts as known if the settings do not state it. Both are beyond what clients within the published
// limits use.
const (
	defaultMemory      = 4096e6
	defaultDescriptors = 1 << 16
)

const (
	// ownMemory is what a VM uses without clients' load: 48.5 MB at the peak of a large deployment.
	ownMemory = 48e6
	// minClientShare is the share of the memory that clients get on a machine with little more than
	// ownMemory.
	minClientShare = 0.125
	// liveShare is the share of the clients' memory that may be in use at once. The garbage collector lets
	// the heap grow to twice what is in use, and the rest is for fragments.
	liveShare = 0.4
	// reservedDescriptors are for files.
	reservedDescriptors = 200
)

// Shares of the listeners. The other descriptors are for connections to upstreams, peers and the store.
const (
	callersMemory, peersMemory, adminMemory = 0.75, 0.1875, 0.0625
	callersConns, peersConns, adminConns    = 0.4, 0.125, 0.03125
)

// answersShare is the share of the callers' memory that is for answers: the rest holds as many connections as
// there are descriptors for. Other listeners serve small answers only.
const answersShare = 0.28

// Least capacities: enough for a request at the published limits.
const (
	minCallersMemory, minOtherMemory = 4e6, 1e6
	minConns                         = 8
)

// Divide returns the capacities for a machine with memory in MB and descriptors as in the settings, 0 for
// unknown.
func Divide(memoryMB, descriptors float64) Plan {
	memory := memoryMB * 1e6
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	live := liveShare * max(memory-ownMemory, minClientShare*memory)
	usable := max(descriptors-reservedDescriptors, 0)
	capacity := func(memoryShare, minMemory, connShare float64) Capacity {
		return Capacity{Memory: int64(max(memoryShare*live, minMemory)), Connections: max(int(connShare*usable), minConns)}
	}
	callers := capacity(callersMemory, minCallersMemory, callersConns)
	callers.Answers = int64(answersShare * float64(callers.Memory))
	callers.Memory -= callers.Answers
	return Plan{
		Callers: callers,
		Peers:   capacity(peersMemory, minOtherMemory, peersConns),
		Admin:   capacity(adminMemory, minOtherMemory, adminConns),
	}
}

const (
	// ConnCost is what an open connection counts as: its goroutine's stack, and the buffers of its server.
	ConnCost = 16 << 10
	// lineCost is what a line of a head counts as besides its bytes: a header field has an entry in two
	// maps, for the request and for the copy that is forwarded, and a slice.
	lineCost = 200
	// byteCost counts a byte of a head twice: read, and parsed. bodyCost counts one of a body twice: a body
	// is read in chunks that are then joined.
	byteCost, bodyCost = 2, 2
)

// HeadCost returns what lines of a head with a number of bytes in all count as.
func HeadCost(lines, bytes int) int64 { return int64(lines)*lineCost + int64(bytes)*byteCost }

// BodyCost returns what bytes of a body count as.
func BodyCost(bytes int) int64 { return int64(bytes) * bodyCost }

// Phase is what a connection is doing.
type Phase int32

// Phases of a connection.
const (
	// Fresh: nothing has arrived yet.
	Fresh Phase = iota
	// Head and Body: a part of a request's head, or its body, has arrived.
	Head
	Body
	// Running: a request has arrived and is not yet answered.
	Running
	// Idle: the last request is answered.
	Idle
	// Upgraded: the connection no longer carries HTTP.
	Upgraded
	// Closing: the connection is being closed for its load.
	Closing
)

// String returns the phase as it is logged.
func (p Phase) String() string {
	return [...]string{Fresh: "fresh", Head: "head", Body: "body", Running: "running", Idle: "idle", Upgraded: "upgraded", Closing: "closing"}[p]
}

// Conn is the state of a connection that may have to be closed.
type Conn struct {
	Phase Phase
	// Since is when the phase began; for Head, Body and Running when the request's first bytes arrived.
	Since time.Duration
	// Writing is when the last progress was made in sending an answer, which is not yet sent; 0 for none.
	Writing time.Duration
	// Answer is in bytes what is counted for the answer.
	Answer int64
}

// Times for which an answer may make no progress: until it may be closed to make room, and until it is
// closed in any case.
const (
	SlowWrite    = 500 * time.Millisecond
	StalledWrite = 5 * time.Second
)

// Ranks of connections: of two, the one with the lower rank is closed first.
const (
	rankStalled = iota // an answer that is not read
	rankPartial        // a request that has not arrived, which takes an ordinary caller an instant
	rankIdle
	rankKept
)

func rank(c Conn, now time.Duration) int {
	switch c.Phase {
	case Fresh, Head, Body:
		return rankPartial
	case Idle:
		return rankIdle
	case Running:
		if c.Writing != 0 && now-c.Writing >= SlowWrite {
			return rankStalled
		}
	}
	return rankKept
}

// CloseBefore reports whether a is closed before b to make room.
func CloseBefore(a, b Conn, now time.Duration) bool {
	ra, rb := rank(a, now), rank(b, now)
	if ra != rb {
		return ra < rb
	}
	return a.Since < b.Since
}

// MayClose reports whether a connection may be closed to make room. A request that has arrived is never
// given up for others.
func MayClose(c Conn, now time.Duration) bool { return rank(c, now) != rankKept }

// MayCloseForAnswers reports whether a connection may be closed to make room for an answer: only for its own
// answer, which is not read. Other connections hold nothing of that room.
func MayCloseForAnswers(c Conn, now time.Duration) bool {
	return c.Answer > 0 && rank(c, now) == rankStalled
}

const (
	// aheadDivisor is the inverse of the share of the answers' capacity that one answer or reply counts at
	// most before it is there. A large one is then not refused if nothing else is held.
	aheadDivisor = 4
	// growDivisor is the inverse of the share of what others leave that one reply may count. However many
	// are read at once, they leave room for others.
	growDivisor = 2
)

// CountedAhead returns what an answer or reply of a number of bytes, which is not all there, counts of a
// capacity.
func CountedAhead(bytes, capacity int64) int64 { return min(bytes, capacity/aheadDivisor) }

// MayGrow reports whether a reply that is being read may grow to a size if others leave a number of bytes.
func MayGrow(size, left int64) bool { return size <= left/growDivisor }

// expectedWeight is the inverse of the weight of an answer in what is expected of the next.
const expectedWeight = 20

// ExpectedAnswer returns the size to expect of a route's answers after one of a size: their mean, since what
// many requests need together is a multiple of it. known is what was expected, 0 before the first answer.
func ExpectedAnswer(known, size int) int {
	if known == 0 {
		return size
	}
	return known + (size-known)/expectedWeight
}

// Stalled reports whether a connection is closed in any case.
func Stalled(c Conn, now time.Duration) bool {
	return c.Phase == Running && c.Writing != 0 && now-c.Writing >= StalledWrite
}
