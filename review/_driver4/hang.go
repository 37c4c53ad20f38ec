package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/platform/standin"
)

const (
	hangTime    = 80 * time.Second // for which clients send
	hangClients = 32
	// hangLooks is the number of reports that the daemon writes at once.
	hangLooks = 4
	// hangSilence is how long no client gets an answer before the rule is checked.
	hangSilence = 3 * time.Second
	// checked is the number of requests by which the rule is checked; their route's timeout is routeTimeout.
	checked      = 20
	routeTimeout = time.Second
	// answerSlack is how long after the route's timeout an answer may come.
	answerSlack = 500 * time.Millisecond
)

// playHang has the servers close connections that are idle, while clients send and operators read the VM's status.
func playHang(ctx context.Context, e *env, trouble bool) (bool, error) {
	e.configure()
	for i := range 2 {
		s := &server{id: fmt.Sprintf("i-orders-%d", i), service: "orders", zone: "a", quiet: true}
		if trouble {
			s.idle = time.Millisecond
		}
		if err := e.startServer(s); err != nil {
			return false, err
		}
	}
	if err := e.startVMs(ctx, "a"); err != nil {
		return false, err
	}
	v := e.vms[0]
	ctx, cancel := context.WithTimeout(ctx, hangTime)
	defer cancel()
	var ids, answered, served, unanswered, looks, answeredAt atomic.Int64
	answeredAt.Store(time.Now().UnixMilli())
	var wg sync.WaitGroup
	for range hangClients {
		wg.Go(func() {
			sendAll(ctx, v.front, func() request {
				id := fmt.Sprintf("c%d", ids.Add(1))
				return request{"GET", "/read/" + id, id, "5000", 5 * time.Second}
			}, func(a answer) {
				if a.err != nil {
					unanswered.Add(1)
					return
				}
				answeredAt.Store(time.Now().UnixMilli())
				answered.Add(1)
				if a.status == http.StatusOK {
					served.Add(1)
				}
			})
		})
	}
	for range hangLooks {
		wg.Go(func() { v.readStatus(ctx, &looks) })
	}
	for ctx.Err() == nil && time.Since(time.UnixMilli(answeredAt.Load())) < hangSilence {
		time.Sleep(time.Second)
		e.logf("%d answered, %d of them by a server, %d not, %d status reports", answered.Load(), served.Load(), unanswered.Load(), looks.Load())
	}
	held := e.checkAnswers(v)
	cancel()
	if !held {
		e.recordHang(v)
	}
	v.kill()
	wg.Wait()
	return held, nil
}

// readStatus reads the status of the VM, as spindlectl does, again and again until ctx ends.
func (v *vm) readStatus(ctx context.Context, looks *atomic.Int64) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + v.admin + "/v1/status")
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			looks.Add(1)
		}
	}
}

// checkAnswers sends some requests at once and reports whether at least half of those that are unanswered at
// their route's timeout have an answer soon after it.
func (e *env) checkAnswers(v *vm) (held bool) {
	var late, none atomic.Int64
	var wg sync.WaitGroup
	for i := range checked {
		wg.Go(func() {
			id := fmt.Sprintf("check%d", i)
			a := send(v.front, request{"GET", "/read/" + id, id, "5000", 5 * time.Second})
			e.logf("client sent %s: %v", id, a)
			if a.took > routeTimeout {
				late.Add(1)
			}
			if a.took > routeTimeout+answerSlack {
				none.Add(1)
			}
		})
	}
	wg.Wait()
	e.logf("%d of %d requests are unanswered at their route's timeout, %d of them %v later", late.Load(), checked, none.Load(), answerSlack)
	return 2*none.Load() <= late.Load()
}

// recordHang records that the process lives and counts as ready, and what its goroutines wait for.
func (e *env) recordHang(v *vm) {
	resp, err := http.Get(v.ready)
	if err == nil {
		resp.Body.Close()
		e.logf("the process lives: %v; its answer to whether it is ready: %d", !v.hasExited(), resp.StatusCode)
	}
	_ = v.cmd.Process.Signal(syscall.SIGQUIT) // has a Go program write its goroutines
	select {
	case <-v.exited:
	case <-time.After(5 * time.Second):
	}
	for _, g := range strings.Split(v.stderr.String(), "\n\n") {
		if !strings.Contains(g, "sync.Mutex.Lock") {
			continue
		}
		for _, cycle := range []string{"(*pool).size", "(*sock).refused", "(*sock).beginWrite"} {
			if strings.Contains(g, cycle) {
				e.logf("a goroutine that waits for a lock:\n%s", functions(g))
				break
			}
		}
	}
}

// functions returns the functions of a goroutine's stack.
func functions(stack string) string {
	var out []string
	for _, line := range strings.Split(stack, "\n") {
		if i := strings.LastIndex(line, "/internal/"); i >= 0 && !strings.HasPrefix(line, "\t") {
			name, _, _ := strings.Cut(line[i+len("/internal/"):], "(0x")
			out = append(out, "          "+name)
		}
	}
	return strings.Join(out, "\n")
}

// configure publishes a configuration whose routes "/order/" and "/read/" lead to the service "orders".
func (e *env) configure() {
	e.store.Put(standin.ConfigKey, standin.Config(7, []string{"shard-a"}, nil, 58))
}
