package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// Bounds of the route, as standin.Config publishes them, and of the rule.
const (
	routeTimeout = time.Second
	answerSlack  = 500 * time.Millisecond
)

// playStatus sends more requests than two servers take. While their queues are full, they reset further
// connections. Meanwhile operators read the status of the VMs.
func playStatus(ctx context.Context, s *setup) (bool, error) {
	const (
		vmCount = 4
		clients = 40 // of each VM
		// Operators read the status far less often; this many reads make the fault show in time.
		readers    = 3 // of each VM
		readPause  = time.Millisecond
		loadTime   = 85 * time.Second
		published  = 58 // connections that a server accepts
		slots      = 2
		queue      = 12
		work       = time.Millisecond
		settleTime = 5 * time.Second // more than livenessMs
	)
	s.store.Put(standin.ConfigKey, standin.Config(7, nil, nil, published))
	var servers []*server
	for i := range 2 {
		srv, err := startServer(fmt.Sprintf("i-%d", i+1), "orders", slots, published)
		if err != nil {
			return false, err
		}
		srv.work.Store(int64(work))
		if s.trouble {
			srv.listener.cap.Store(slots + queue)
		}
		s.store.Put(standin.EntryKey(srv.ID), srv.Entry(srv.address, "ready"))
		servers = append(servers, srv)
	}
	vms, err := startVMs(ctx, s.program, s.dir, s.address, vmCount)
	defer func() {
		for _, v := range vms {
			v.kill()
		}
	}()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	load, stop := context.WithTimeout(ctx, loadTime)
	defer stop()
	var wg sync.WaitGroup
	var sent, served, refused, unanswered, reads atomic.Int64
	hung := make([]atomic.Int64, len(vms))
	for i, v := range vms {
		for range clients {
			wg.Go(func() {
				c := newClient(v, 1)
				for load.Err() == nil {
					a := c.get(context.WithoutCancel(load), "/read/x", routeTimeout, routeTimeout+answerSlack)
					sent.Add(1)
					switch {
					case a.isUnanswered():
						unanswered.Add(1)
						if hung[i].Add(1) > 2*clients {
							stop()
						}
					case a.status == http.StatusOK:
						served.Add(1)
						hung[i].Store(0)
					default:
						refused.Add(1)
						hung[i].Store(0)
						time.Sleep(min(a.retryAfter, routeTimeout/3))
					}
				}
			})
		}
		for range readers {
			wg.Go(func() {
				for load.Err() == nil {
					readStatus(load, v)
					reads.Add(1)
					time.Sleep(readPause)
				}
			})
		}
	}
	wg.Wait()
	for _, srv := range servers {
		s.record.printf("server %s: %d runs, %d connections taken, %d reset", srv.ID, srv.Runs.Load(), srv.listener.taken.Load(), srv.listener.lost.Load())
		srv.listener.cap.Store(published)
	}
	s.record.printf("load: %d requests sent, %d served, %d refused or failed, %d without an answer %v after the route's timeout; status read %d times",
		sent.Load(), served.Load(), refused.Load(), unanswered.Load(), answerSlack, reads.Load())
	time.Sleep(settleTime) // without disruption and load
	isBroken := false
	for _, v := range vms {
		if probe(ctx, s, v) {
			isBroken = true
		}
	}
	return isBroken, nil
}

func readStatus(ctx context.Context, v *vm) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.admin+"/v1/status", nil)
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// probe sends requests to a VM, the servers of which are sound, and reports whether more than half of them have no
// answer answerSlack after the route's timeout.
func probe(ctx context.Context, s *setup, v *vm) bool {
	const count = 20
	answers := make([]answer, count)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = newClient(v, 1).get(ctx, "/read/probe", routeTimeout, routeTimeout+answerSlack) })
	}
	wg.Wait()
	silent := 0
	for _, a := range answers {
		s.record.printf("%s: request %s: status %d after %v, error %v", v.name, a.id, a.status, a.took.Round(time.Millisecond), a.err)
		if a.isUnanswered() {
			silent++
		}
	}
	s.record.printf("%s: counts as ready: %v", v.name, v.isReady())
	s.record.printf("%s: runs: %v; %d of %d requests without an answer %v after the route's timeout", v.name, v.isRunning(), silent, count, answerSlack)
	return 2*silent > count
}
