package bench

import (
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

// Callers of the soak.
const (
	soakRate     = 100.0 // requests a second
	soakDeadline = time.Second
	// keepShare is the part of the requests that go on using a VM that is stopping: callers
	// keep their connections until the process is gone.
	keepShare = 0.3
	// leaveShare is the part of the callers that leave before their time is over.
	leaveShare = 0.1
	readyLook  = time.Second
)

// soakSeen is what a caller saw of a request.
type soakSeen struct {
	id, kind  string
	vm        *soakVM
	sent, end time.Time
	patience  time.Duration // after which the caller leaves; 0 for never
	left      time.Time     // when it left
	status    int
	header    http.Header
	body      string
	err       error
}

// call sends requests until ctx ends, and waits for those in flight.
func (s *soak) call(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: idlePerVM, DisableCompression: true},
		Timeout:   soakDeadline + replySlack,
	}
	defer client.CloseIdleConnections()
	balance := &readiness{}
	var wg sync.WaitGroup
	wg.Go(func() { s.look(ctx, balance) })
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / soakRate * float64(time.Second)))
		q := soakSeen{id: fmt.Sprintf("%d-%d", s.o.Seed, n), vm: s.choose(rng, balance)}
		switch n % 4 {
		case 0, 1:
			q.kind = "find"
		case 2:
			q.kind = "read"
		default:
			q.kind = "order"
		}
		if rng.Float64() < leaveShare {
			q.patience = between(rng, 10, 400)
		}
		wg.Go(func() { s.ask(client, q) })
	}
	wg.Wait()
}

// readiness is which VMs the balancer sends new connections to.
type readiness struct {
	mu    sync.Mutex // guards ready
	ready []*soakVM
}

// look asks each VM now and then whether it is ready, as the balancer does.
func (s *soak) look(ctx context.Context, b *readiness) {
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
		time.Sleep(readyLook)
	}
}

func (s *soak) choose(rng *rand.Rand, b *readiness) *soakVM {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 || rng.Float64() < keepShare {
		return s.vms[rng.IntN(len(s.vms))]
	}
	return b.ready[rng.IntN(len(b.ready))]
}

// ask sends one request and checks what comes back.
func (s *soak) ask(client *http.Client, q soakSeen) {
	s.do(client, &q, "/"+q.kind+"/"+q.id)
	s.evidence.saw(&q)
}

func (s *soak) do(client *http.Client, q *soakSeen, path string) {
	q.sent = time.Now()
	defer func() { q.end = time.Now() }()
	method := http.MethodGet
	if q.kind == "order" {
		method = http.MethodPost
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	if q.patience > 0 {
		impatient := time.AfterFunc(q.patience, leave)
		defer func() {
			if !impatient.Stop() {
				q.left = time.Now()
			}
		}()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.callers(q.vm)+path, strings.NewReader("body of "+q.id))
	if err != nil {
		q.err = err
		return
	}
	req.GetBody = nil // net/http does not send it again by itself
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

// recoverWithin is the time in which a fleet recovers, as the users publish it.
const recoverWithin = 12 * time.Second

// recoveredRun is how many requests in a row have to be answered whole.
const recoveredRun = 20

// recovered checks that requests are served again after the last fault.
func (s *soak) recovered(ctx context.Context) {
	client := &http.Client{Timeout: soakDeadline + replySlack}
	defer client.CloseIdleConnections()
	begun := time.Now()
	run, n := 0, 0
	for ; run < recoveredRun && time.Since(begun) < recoverWithin && ctx.Err() == nil; n++ {
		q := soakSeen{id: fmt.Sprintf("%d-r%d", s.o.Seed, n), kind: "find", vm: s.vms[n%len(s.vms)]}
		s.ask(client, q)
		if s.evidence.answered(q.id) {
			run++
		} else {
			run = 0
			time.Sleep(readyPoll)
		}
	}
	if run < recoveredRun {
		s.evidence.violate(notRecovered, "%d requests in a row answered %v after the last fault, want %d", run, recoverWithin, recoveredRun)
	}
}
