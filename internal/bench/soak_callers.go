package bench

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// Behaviour of the soak's callers.
const (
	// soakRate is in requests a second, and soakSearchRate in requests to shards a second: the
	// callers send at the lower rate of both.
	soakRate       = 100.0
	soakSearchRate = 600.0
	soakDeadline   = time.Second
	// soakSearchShare is the share of searches among the requests.
	soakSearchShare = 0.5
	// keepAliveShare is the share of requests sent to any VM, ready or not: callers keep
	// using their connections until the process ends.
	keepAliveShare = 0.3
	// cancelShare is the share of requests that are canceled early.
	cancelShare       = 0.1
	readinessInterval = time.Second
)

// soakRequest is a caller's request and what the caller saw of it.
type soakRequest struct {
	id          string
	kind        string // find, read, order, extra, or quick: below the search
	vm          *soakVM
	sent, end   time.Time
	text        string        // the request's body; empty for one of its own
	cancelAfter time.Duration // after which the caller cancels; 0 for never
	canceledAt  time.Time     // zero if it was not canceled
	status      int
	header      http.Header
	body        string
	err         error
}

// sendLoad sends requests until ctx is done, and waits for those in flight.
func (s *soak) sendLoad(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: idlePerVM, DisableCompression: true},
		Timeout:   soakDeadline + replySlack,
	}
	defer client.CloseIdleConnections()
	balancer := &balancerView{}
	var wg sync.WaitGroup
	wg.Go(func() { s.pollReadiness(ctx, balancer) })
	rate := min(soakRate, soakSearchRate/(soakSearchShare*float64(s.opts.Shards)))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		q := soakRequest{id: fmt.Sprintf("%d-%d", s.opts.Seed, n), vm: s.pickVM(rng, balancer)}
		switch n % 4 {
		case 0:
			q.kind = "find"
		case 1:
			q.kind = "quick"
		case 2:
			q.kind = "read"
		default:
			q.kind = "order"
		}
		if rng.Float64() < cancelShare {
			q.cancelAfter = randomDuration(rng, 10, 400)
		}
		wg.Go(func() { s.sendAndRecord(client, q) })
	}
	wg.Wait()
}

// balancerView holds the VMs that the balancer sends new connections to.
type balancerView struct {
	mu    sync.Mutex // guards ready
	ready []*soakVM
}

// pollReadiness asks each VM periodically whether it is ready, as the balancer does.
func (s *soak) pollReadiness(ctx context.Context, b *balancerView) {
	for ctx.Err() == nil {
		var ready []*soakVM
		for _, vm := range s.vms {
			if s.ready(ctx, vm) {
				ready = append(ready, vm)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(readinessInterval)
	}
}

func (s *soak) pickVM(rng *rand.Rand, b *balancerView) *soakVM {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 || rng.Float64() < keepAliveShare {
		return s.vms[rng.IntN(len(s.vms))]
	}
	return b.ready[rng.IntN(len(b.ready))]
}

// sendAndRecord sends one request, and records and checks its answer.
func (s *soak) sendAndRecord(client *http.Client, q soakRequest) {
	path := "/" + q.kind + "/"
	if q.kind == "quick" {
		path = belowPath
	}
	s.send(client, &q, path+q.id)
	s.evidence.recordResult(&q)
}

func (s *soak) send(client *http.Client, q *soakRequest, path string) {
	q.sent = time.Now()
	defer func() { q.end = time.Now() }()
	method := http.MethodGet
	if q.kind == "order" {
		method = http.MethodPost
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if q.cancelAfter > 0 {
		cancelTimer := time.AfterFunc(q.cancelAfter, cancel)
		defer func() {
			if !cancelTimer.Stop() {
				q.canceledAt = time.Now()
			}
		}()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.callers(q.vm)+path, strings.NewReader(cmp.Or(q.text, "body of "+q.id)))
	if err != nil {
		q.err = err
		return
	}
	req.GetBody = nil // keeps net/http from resending it
	req.Host = standin.Host
	req.Header.Set(platform.RequestID, q.id)
	req.Header.Set(platform.Deadline, strconv.FormatInt(soakDeadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		q.err = err
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	q.status, q.header, q.body, q.err = resp.StatusCode, resp.Header, string(body), err
}

// recoveryTimeout is how soon a fleet has to recover, as the users publish it.
const recoveryTimeout = 12 * time.Second

// recoveryStreak is how many requests in a row have to be answered for the fleet to count
// as recovered.
const recoveryStreak = 20

// checkRecovery checks that requests are answered again after the last fault.
func (s *soak) checkRecovery(ctx context.Context) {
	client := &http.Client{Timeout: soakDeadline + replySlack}
	defer client.CloseIdleConnections()
	start := time.Now()
	streak, n := 0, 0
	for ; streak < recoveryStreak && time.Since(start) < recoveryTimeout && ctx.Err() == nil; n++ {
		q := soakRequest{id: fmt.Sprintf("%d-r%d", s.opts.Seed, n), kind: "find", vm: s.vms[n%len(s.vms)]}
		s.sendAndRecord(client, q)
		if s.evidence.answered(q.id) {
			streak++
		} else {
			streak = 0
			time.Sleep(readyPoll)
		}
	}
	if streak < recoveryStreak {
		s.evidence.recordViolation(notRecovered, "%d requests in a row answered %v after the last fault, want %d", streak, recoveryTimeout, recoveryStreak)
	}
}
