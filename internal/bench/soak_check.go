package bench

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
)

// Promises that the soak checks, named by how they are broken.
const (
	mixedAnswer   = "mixed"          // an answer holds what belongs to another request or is not whole
	wrongMissing  = "wrong_coverage" // an answer does not say which parts it lacks
	deniedRoute   = "denied"         // a published route is denied
	ranTwice      = "ran_twice"      // an order ran more than once
	refusedButRan = "refused_but_ran"
	lateReply     = "late"    // no answer long after the caller's time
	cutOff        = "cut_off" // an order that ran got no answer from a VM that was well
	workAfterEnd  = "work_after_drain"
	configLate    = "config_late"
	overBudget    = "over_budget"
	overAttempts  = "over_attempts"
	overTime      = "over_time" // a server got more time than the caller had
	endedByItself = "ended_by_itself"
	uncleanStop   = "unclean_stop"
	notRecovered  = "not_recovered"
	sentAfterGone = "sent_after_gone" // requests reach servers long after their callers have left
	workAfterGone = "work_after_gone" // servers go on with requests whose callers have left
)

// Bounds of the checks, as the users publish them.
const (
	soakRatio    = 0.2
	soakSlack    = 40
	soakWindow   = 10 * time.Second
	soakAttempts = 2
	// soakLate is how long after its time a request may be unanswered.
	soakLate = 500 * time.Millisecond
	// soakSpared is how many requests may go to more servers, since some of those ended.
	soakSpared = 3
	recordSize = 16
	// goneWithin is how soon a caller's leaving has to reach the servers, goneSpared how many
	// requests may be sent later, and goneShare the part that may be worked on for longer.
	goneWithin = 500 * time.Millisecond
	goneSpared = 3
	goneShare  = 0.25
)

// arrival is a request that reached a server.
type arrival struct {
	id, service, server string
	at, end             time.Time // end is zero while the server works on it
	deadline            time.Duration
	lasts               time.Duration // what the work takes if nobody ends it
	ran                 bool
}

// evidence is what callers and servers saw. One lock guards it.
type evidence struct {
	mu       sync.Mutex
	seen     map[string]*soakSeen
	arrivals map[string][]*arrival // by request
	drains   map[string]time.Time
	faults   map[string]int
	broken   map[string]int
	examples []string
}

func newEvidence() *evidence {
	return &evidence{
		seen: map[string]*soakSeen{}, arrivals: map[string][]*arrival{},
		drains: map[string]time.Time{}, faults: map[string]int{}, broken: map[string]int{},
	}
}

func (e *evidence) violate(kind, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violateLocked(kind, format, args...)
}

// violateLocked is violate. The lock is held.
func (e *evidence) violateLocked(kind, format string, args ...any) {
	e.broken[kind]++
	if len(e.examples) < maxExamples {
		e.examples = append(e.examples, kind+" at "+time.Now().Format("15:04:05.000")+": "+fmt.Sprintf(format, args...))
	}
}

func (e *evidence) count(fault string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults[fault]++
}

func (e *evidence) drained(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drains[id] = time.Now()
}

// arrived takes in what reached a server; the function returned, that the server is done.
func (e *evidence) arrived(a arrival) (done func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[a.id] = append(e.arrivals[a.id], &a)
	if a.deadline <= 0 || a.deadline > soakDeadline {
		e.violateLocked(overTime, "%s at %s with %v, the caller has %v", a.id, a.server, a.deadline, soakDeadline)
	}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		a.end = time.Now()
	}
}

// answered reports whether a request got its answer.
func (e *evidence) answered(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.seen[id]
	return q != nil && q.err == nil && q.status == http.StatusOK
}

// saw takes in what a caller saw, and checks the answer by itself.
func (e *evidence) saw(q *soakSeen) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[q.id] = q
	if q.err != nil {
		return
	}
	switch q.status {
	case http.StatusOK:
		if why := wrong(q); why != "" {
			e.violateLocked(mixedAnswer, "%s of %s through %s: %s", q.kind, q.id, q.vm.name, why)
		}
	case http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		e.violateLocked(deniedRoute, "%s of %s through %s: status %d", q.kind, q.id, q.vm.name, q.status)
	}
}

// wrong says what is wrong with an answer; "" where nothing is.
func wrong(q *soakSeen) string {
	if q.kind != "find" {
		if want := bodyOf("orders", q.id); q.body != want {
			return fmt.Sprintf("body %q, want %q", q.body, want)
		}
		return ""
	}
	shards := map[int]bool{}
	for stamp := range strings.SplitSeq(q.header.Get(platform.Headers.Signatures), ",") {
		index, _, _ := strings.Cut(strings.TrimPrefix(stamp, "stamp-i-"), "-")
		if n, err := strconv.Atoi(index); err == nil {
			shards[n/soakReplicas] = true
		}
	}
	missing, _ := strconv.Atoi(q.header.Get(platform.Headers.Missing)) // none where absent
	if len(shards)+missing != soakShards {
		return fmt.Sprintf("%d shards sign and %d are said to miss of %d", len(shards), missing, soakShards)
	}
	last := "~"
	for at := 0; at+recordSize <= len(q.body); at += recordSize {
		r := q.body[at : at+recordSize]
		if r[4:12] != fmt.Sprintf("%08x", hash(q.id)) {
			return fmt.Sprintf("record %q belongs to another request", r)
		}
		if n, err := strconv.Atoi(r[12:14]); err != nil || !shards[n] {
			return fmt.Sprintf("record %q of a shard that did not sign", r)
		}
		if r > last {
			return "records do not fall"
		}
		last = r
	}
	if len(q.body)%recordSize != 0 || q.body == "" {
		return fmt.Sprintf("%d bytes", len(q.body))
	}
	return ""
}

// result checks what only the whole run shows, and sums up.
func (e *evidence) result(seed uint64, outages []Span) *SoakResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &SoakResult{Seed: seed, Requests: len(e.seen), Faults: e.faults, Violations: e.broken}
	spared := 0
	for id, q := range e.seen {
		runs := e.request(id, q)
		r.Runs += runs
		if most := e.mostRuns(id); most > soakAttempts {
			spared++
			if spared > soakSpared {
				e.violateLocked(overAttempts, "%s of %s ran on %d servers of a service, at most %d", q.kind, id, most, soakAttempts)
			}
		}
		switch {
		case q.err == nil && q.status == http.StatusOK:
			r.Answered++
		case q.err == nil && q.status == http.StatusServiceUnavailable:
			r.Refused++
		}
	}
	e.drainChecks(outages)
	e.goneChecks()
	e.budgets()
	r.Examples = e.examples
	return r
}

// request checks one request against what the servers saw of it. The lock is held.
func (e *evidence) request(id string, q *soakSeen) (runs int) {
	for _, a := range e.arrivals[id] {
		if a.ran {
			runs++
		}
	}
	if q.kind == "order" && runs > 1 {
		e.violateLocked(ranTwice, "order %s ran %d times", id, runs)
	}
	if q.err == nil && q.status == http.StatusServiceUnavailable && runs > 0 {
		e.violateLocked(refusedButRan, "%s of %s through %s: refused, and %d servers ran it", q.kind, id, q.vm.name, runs)
	}
	took := q.end.Sub(q.sent)
	away := q.vm.wasAway(q.sent, q.end)
	if took > soakDeadline+soakLate && !away && q.left.IsZero() {
		e.violateLocked(lateReply, "%s of %s through %s: %v, %v", q.kind, id, q.vm.name, took.Round(time.Millisecond), q.err)
	}
	lost := errors.Is(q.err, io.EOF) || errors.Is(q.err, io.ErrUnexpectedEOF) || errors.Is(q.err, syscall.ECONNRESET)
	if lost && runs > 0 && !q.vm.killed(q.sent, q.end) {
		e.violateLocked(cutOff, "%s of %s through %s ran %d times: %v", q.kind, id, q.vm.name, runs, q.err)
	}
	return runs
}

// killed reports whether the VM was killed between two moments.
func (vm *soakVM) killed(a, b time.Time) bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return during(vm.kills, a, b)
}

// mostRuns is the most servers of one service that ran a request. The lock is held.
func (e *evidence) mostRuns(id string) (most int) {
	by := map[string]int{}
	for _, a := range e.arrivals[id] {
		if a.ran {
			by[a.service]++
			most = max(most, by[a.service])
		}
	}
	return most
}

// drainChecks looks for work that reached a server long after it had said that it leaves.
// A VM that was away or that the store did not answer may hear of it late. The lock is held.
func (e *evidence) drainChecks(outages []Span) {
	for id, list := range e.arrivals {
		for _, a := range list {
			at, ok := e.drains[a.server]
			if !ok || a.at.Sub(at) <= soakApply+lateSlack {
				continue
			}
			if q := e.seen[id]; q != nil && !q.vm.wasAway(at, a.at) && !during(outages, at, a.at) {
				e.violateLocked(workAfterEnd, "%s reached %s %v after it left", id, a.server, a.at.Sub(at).Round(time.Millisecond))
			}
		}
	}
}

// goneChecks looks for what goes on after callers have left, through VMs that were not away.
// The lock is held.
func (e *evidence) goneChecks() {
	sent, lasting, worked := 0, 0, 0
	for id, q := range e.seen {
		if q.left.IsZero() || q.vm.wasAway(q.sent, q.left.Add(goneWithin)) {
			continue
		}
		by := q.left.Add(goneWithin)
		for _, a := range e.arrivals[id] {
			if a.at.After(by) {
				sent++
			}
			if q.kind == "order" || !a.ran || !a.at.Add(a.lasts).After(by) {
				continue
			}
			lasting++
			if a.end.IsZero() || a.end.After(by) {
				worked++
			}
		}
	}
	if sent > goneSpared {
		e.violateLocked(sentAfterGone, "%d requests reached servers over %v after their callers had left", sent, goneWithin)
	}
	if worked > goneSpared && float64(worked) > goneShare*float64(lasting) {
		e.violateLocked(workAfterGone, "%d of %d requests were worked on over %v after their callers had left", worked, lasting, goneWithin)
	}
}

// budgets checks the arrivals beyond the first of each request in every window. The lock is
// held.
func (e *evidence) budgets() {
	firsts, extra := map[string][]time.Time{}, map[string][]time.Time{}
	for _, list := range e.arrivals {
		slices.SortFunc(list, func(a, b *arrival) int { return a.at.Compare(b.at) })
		met := map[string]bool{}
		for _, a := range list {
			if met[a.service] {
				extra[a.service] = append(extra[a.service], a.at)
			} else {
				firsts[a.service] = append(firsts[a.service], a.at)
			}
			met[a.service] = true
		}
	}
	for service, times := range extra {
		slices.SortFunc(times, time.Time.Compare)
		for _, from := range times {
			n, of := within(times, from), max(within(firsts[service], from), within(firsts[service], from.Add(-soakWindow)), within(firsts[service], from.Add(-soakWindow/2)))
			if allowed := soakRatio*float64(of) + soakSlack; float64(n) > allowed {
				e.violateLocked(overBudget, "%s: %d arrivals beyond the first in %v, at most %.0f", service, n, soakWindow, allowed)
				break
			}
		}
	}
}

// within counts the times in one window from a moment on.
func within(times []time.Time, from time.Time) (n int) {
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(soakWindow)) {
			n++
		}
	}
	return n
}
