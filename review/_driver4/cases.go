package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// configure publishes a configuration whose routes "/order/" and "/read/" lead to the service "orders".
func (e *env) configure() {
	e.store.Put(standin.ConfigKey, standin.Config(7, []string{"shard-a"}, nil, 58))
}

const (
	// routeTimeout is the timeout of the routes, and answerSlack how long after it an answer may come.
	routeTimeout = time.Second
	answerSlack  = 500 * time.Millisecond
	// darkness is how long all servers of a service are dark.
	darkness = 4500 * time.Millisecond
	// endless is the largest whole number of 64 bits, for a client that waits as long as it takes.
	endless = "9223372036854775807"
	// ordinary is the deadline of the clients beside them.
	ordinary = "60000"
	// perDeadline is the number of requests with each deadline.
	perDeadline = 20
	// patience is how long the clients wait in this case.
	patience = 40 * time.Second
)

// playDeadline has all servers of a service go dark while clients state a very long deadline.
func playDeadline(ctx context.Context, e *env, trouble bool) (bool, error) {
	e.configure()
	var servers []*server
	for i := range 2 {
		s := &server{id: fmt.Sprintf("i-orders-%d", i), service: "orders", zone: "a"}
		if err := e.startServer(s); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := e.startVMs(ctx, "a", "a"); err != nil {
		return false, err
	}
	for _, s := range servers {
		if trouble {
			s.goDark(darkness)
		}
	}
	time.Sleep(200 * time.Millisecond)
	var mu sync.Mutex
	late, none := map[string]int{}, map[string]int{}
	var wg sync.WaitGroup
	for i := range perDeadline {
		for _, deadline := range []string{endless, ordinary} {
			wg.Go(func() {
				id := fmt.Sprintf("r%d-%d", len(deadline), i)
				a := send(e.vms[i%len(e.vms)].front, request{"GET", "/read/" + id, id, deadline, patience})
				e.logf("client sent %s, which waits for %s ms: %v", id, deadline, a)
				mu.Lock()
				defer mu.Unlock()
				if a.took > routeTimeout {
					late[deadline]++
				}
				if a.took > routeTimeout+answerSlack {
					none[deadline]++
				}
			})
		}
	}
	wg.Wait()
	for _, deadline := range []string{endless, ordinary} {
		e.logf("deadline %s ms: of %d requests, %d last longer than their route's timeout, and %d have no answer %v after it",
			deadline, perDeadline, late[deadline], none[deadline], answerSlack)
	}
	lasted, unanswered := late[endless]+late[ordinary], none[endless]+none[ordinary]
	return unanswered < 8 || 4*unanswered <= lasted, nil
}

const (
	// heartbeat is the interval at which servers write to the store.
	heartbeat = 1200 * time.Millisecond
	// rounds of orders are sent, orders at once in each, roundInterval apart.
	rounds        = 16
	orders        = 40
	roundInterval = 300 * time.Millisecond
)

// playEntry has another writer put an entry without the field "version" under the id of a server of "news", once.
func playEntry(ctx context.Context, e *env, trouble bool) (bool, error) {
	e.configure()
	news := &server{id: "i-news-0", service: "news", zone: "a"}
	servers := []*server{news, {id: "i-orders-0", service: "orders", zone: "a", quiet: true}, {id: "i-orders-1", service: "orders", zone: "a", quiet: true}}
	for _, s := range servers {
		if err := e.startServer(s); err != nil {
			return false, err
		}
		go s.register(ctx)
	}
	if err := e.startVMs(ctx, "a", "a"); err != nil {
		return false, err
	}
	var answered, foreign atomic.Int64
	for round := range rounds {
		if trouble && round == rounds/4 {
			entry := news.entry()
			entry["service"] = "orders"
			delete(entry, "version")
			e.store.Put(standin.EntryKey(news.id), entry)
			e.logf("another writer puts %s: %v", standin.EntryKey(news.id), entry)
		}
		var wg sync.WaitGroup
		for i := range orders {
			wg.Go(func() {
				id := fmt.Sprintf("o%d-%d", round, i)
				a := send(e.vms[i%len(e.vms)].front, request{"POST", "/order/" + id, id, "2000", 3 * time.Second})
				if a.status/100 != 2 {
					e.logf("client sent order %s: %v", id, a)
					return
				}
				answered.Add(1)
				if !strings.Contains(a.body, " of orders ") {
					foreign.Add(1)
					e.logf("client sent order %s: %v", id, a)
				}
			})
		}
		wg.Wait()
		time.Sleep(roundInterval)
	}
	e.logf("%d of %d orders were answered with success, %d of them by the server of news, which ran %d", answered.Load(), rounds*orders, foreign.Load(), news.runs.Load())
	return news.runs.Load() == 0, nil
}

// register writes the server's entry to the store at each heartbeat.
func (s *server) register(ctx context.Context) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		entry := s.entry()
		entry["sequence"] = sequence
		s.e.store.Put(standin.EntryKey(s.id), entry)
		if s.service == "news" {
			s.e.logf("server %s registers itself as one of news", s.id)
		}
	}
}

// playOptions sends a request that concerns no route.
func playOptions(ctx context.Context, e *env, trouble bool) (bool, error) {
	e.configure()
	s := &server{id: "i-orders-0", service: "orders", zone: "a"}
	if err := e.startServer(s); err != nil {
		return false, err
	}
	if err := e.startVMs(ctx, "a"); err != nil {
		return false, err
	}
	unsigned := 0
	for i := range 10 {
		target := "/read/*"
		if trouble {
			target = "*"
		}
		id := fmt.Sprintf("o%d", i)
		a := send(e.vms[0].front, request{http.MethodOptions, target, id, "2000", 3 * time.Second})
		e.logf("client sent OPTIONS %s, id %s: %v", target, id, a)
		if a.status/100 == 2 && a.signature == "" {
			unsigned++
		}
	}
	e.logf("%d successes without a server's signature; the server ran %d requests", unsigned, s.runs.Load())
	return unsigned == 0, nil
}
