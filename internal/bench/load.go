package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// Stream describes one caller's requests to one workload.
type Stream struct {
	Caller, Workload string
	// Rate is in requests per second.
	Rate float64
	// Crash makes each request crash the upstream that runs it.
	Crash bool
	// Resend makes the caller resend a search that was not answered, with a fresh nonce.
	Resend bool
	// Duplicate sends each request twice at the same time, each copy through a random VM.
	Duplicate bool
}

// Bounds of the load.
const (
	maxOutstanding    = 4096
	maxAttempts       = 6
	maxSearchAttempts = 3
	maxResendDelay    = time.Second
	minResendDelay    = 100 * time.Millisecond
	searchLimit       = 10
	maxDials          = 3
)

// load is an open-loop load generator: requests are due at seeded random times that don't
// depend on how earlier requests ended. Latency is measured from the due time. mu guards attempts and
// dropped.
type load struct {
	client     *Client
	balancer   *balancer
	deployment *Deployment
	seed       uint64
	start      time.Time
	mu         sync.Mutex
	attempts   []Attempt
	dropped    int
	slots      chan struct{}
	wg         sync.WaitGroup
}

func newLoad(d *Deployment, b *balancer, seed uint64) *load {
	return &load{client: NewClient(), balancer: b, deployment: d, seed: seed, slots: make(chan struct{}, maxOutstanding)}
}

// run sends the streams' requests until ctx ends, then waits for those in flight.
func (l *load) run(ctx context.Context, streams []Stream) {
	l.start = time.Now()
	var wg sync.WaitGroup
	for i, s := range streams {
		wg.Go(func() { l.sendStream(ctx, s, l.streamRand(i, s)) })
	}
	wg.Wait()
	l.wg.Wait()
}

// streamRand returns the random numbers of the stream at an index. Two streams of one caller
// and workload draw different nonces, so that the checker can tell their runs apart.
func (l *load) streamRand(index int, s Stream) *rand.Rand {
	return rand.New(rand.NewPCG(l.seed, standin.Hash64(fmt.Sprintf("%s/%s/%d", s.Caller, s.Workload, index))))
}

func (l *load) sendStream(ctx context.Context, s Stream, rng *rand.Rand) {
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
		r := l.nextRequest(rng, s)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		select {
		case l.slots <- struct{}{}:
		default:
			l.mu.Lock()
			l.dropped++
			l.mu.Unlock()
			continue
		}
		at := due
		l.wg.Go(func() {
			defer func() { <-l.slots }()
			l.sendWithResends(r, at, s)
		})
	}
}

// nextRequest draws the next request of a stream.
func (l *load) nextRequest(rng *rand.Rand, s Stream) Request {
	g, w := l.grant(s.Caller, s.Workload)
	n := fmt.Sprintf("%016x", rng.Uint64())
	r := Request{
		Caller:   s.Caller,
		Workload: s.Workload,
		Sharded:  w.Kind == manifest.WorkloadKindSharded,
		Nonce:    n,
		Deadline: time.Duration(g.DeadlineMs) * time.Millisecond,
	}
	mark := nonceWord(n)
	if s.Crash {
		mark += " " + standin.CrashMark + n
	}
	if r.Sharded {
		words := standin.Words(s.Workload)
		r.Query = words[0][rng.IntN(len(words[0]))] + " " + words[1][rng.IntN(len(words[1]))] + " " + mark
		r.Limit = searchLimit
		return r
	}
	r.Body = fmt.Sprintf(`{"count":%d,"note":%q}`, 1+rng.IntN(9), mark)
	if !w.Idempotent {
		r.Key = pendingKey
	}
	return r
}

// pendingKey marks a request whose idempotency key is generated when it is sent, since
// the key contains the time of its creation.
const pendingKey = "new"

func (l *load) grant(callerName, workload string) (manifest.Grant, manifest.Workload) {
	for _, c := range l.deployment.Callers {
		if string(c.Name) != callerName {
			continue
		}
		for _, g := range c.Grants {
			if string(g.Workload) != workload {
				continue
			}
			for _, w := range l.deployment.Workloads {
				if w.Name == g.Workload {
					return g, w
				}
			}
		}
	}
	panic(fmt.Sprintf("bench: caller %s has no grant for workload %s", callerName, workload))
}

// attemptLimit returns how many times a caller sends a request if it gets no answer.
func (s Stream) attemptLimit(r Request) int {
	switch {
	case r.Key != "" || s.Crash:
		return maxAttempts
	case s.Resend:
		return maxSearchAttempts
	}
	return 1
}

// sendWithResends sends a request until it is answered or rejected, or its attempts are
// used up.
func (l *load) sendWithResends(r Request, due time.Time, st Stream) {
	if r.Key == pendingKey {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	if st.Duplicate {
		at := due
		l.wg.Go(func() { l.attempt(r, at) })
	}
	for n := st.attemptLimit(r); n > 0; n-- {
		s := l.attempt(r, due)
		if isFinal(s) || n == 1 {
			return
		}
		wait := minResendDelay
		if s.Reply != nil {
			wait = max(wait, time.Duration(s.Reply.RetryAfterMs)*time.Millisecond)
		}
		time.Sleep(min(wait, maxResendDelay))
		due = time.Now()
		if st.Resend {
			r = r.withFreshNonce()
		}
	}
}

// withFreshNonce returns the same search under a new nonce, so that the runs of its
// attempts can be told apart.
func (r Request) withFreshNonce() Request {
	n := nonce()
	r.Query = strings.Replace(r.Query, nonceWord(r.Nonce), nonceWord(n), 1)
	r.Nonce = n
	return r
}

func containsCrash(r Request) bool { return crashWord(r) != "" }

func isFinal(s Attempt) bool {
	if s.Reply == nil {
		return false
	}
	return s.Reply.Outcome == caller.OutcomeAnswered || s.Reply.Outcome == caller.OutcomeRejected
}

// attempt sends a request once. Like a balancer, it tries another VM if one accepts no
// connection.
func (l *load) attempt(r Request, due time.Time) Attempt {
	var s Attempt
	for range maxDials {
		vm := l.balancer.pick()
		if vm == nil {
			s = Attempt{Request: r, Due: due, Sent: time.Now(), End: time.Now(), Refused: true, Err: errNoVM}
			break
		}
		s = l.client.Do(context.Background(), vm.Callers, r)
		s.VM = vm.Name
		if !s.Refused {
			break
		}
	}
	s.Due = due
	s.Offset = due.Sub(l.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, s)
	return s
}

// results returns the attempts so far, and how many requests were dropped because
// maxOutstanding others were under way.
func (l *load) results() (attempts []Attempt, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts, l.dropped
}
