package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// Second answers, by the figures of the site file: extraShare of the servers send extraAnswers of their
// answers a second time, for extraDuration at a time.
const (
	extraShare    = 0.5
	extraAnswers  = 0.03
	extraDuration = 5 * time.Second
	extraPause    = 5 * time.Second
	extraTimes    = 6
)

// lateRefusal has servers send some of their answers a second time, late. Full servers refuse orders; the
// second refusal arrives where the answer to a later order is expected.
func lateRefusal(ctx context.Context, c *cluster, trouble bool) (bool, error) {
	const desks = 4
	var extra atomic.Bool
	for i := range desks {
		s := &server{
			id: fmt.Sprintf("i-desk-%d", i), service: "desk", zone: []string{"zone-a", "zone-b"}[i%2], slots: 4, queue: 4,
			work: 40 * time.Millisecond, records: 10,
		}
		if i < desks*extraShare {
			s.sendsTwice = func() bool { return extra.Load() && rand.Float64() < extraAnswers }
		}
		if err := c.addServer(s); err != nil {
			return false, err
		}
	}
	c.publish(singleRoute("order", "/order/", "non_idempotent", "desk"))
	if err := c.startVMs(ctx, 2, "zone-a", "zone-b"); err != nil {
		return false, err
	}
	l := c.startLoad(ctx, 12, 20*time.Millisecond, func(id string) request {
		return request{method: http.MethodPost, path: "/order/" + id, deadline: 15 * time.Second, body: []byte("order " + id)}
	}, func(*answer) {})
	for range extraTimes {
		sleep(ctx, extraPause)
		extra.Store(trouble)
		c.rec.add("servers: second answers %v", trouble)
		sleep(ctx, extraDuration)
		extra.Store(false)
		c.rec.add("servers: second answers %v", false)
	}
	all := l.stop()
	twice, refused := 0, 0
	for _, a := range all {
		runs := c.runsOf(a.id)
		if len(runs) > 1 {
			twice++
			c.rec.add("TWICE %s at %s, status %d, ran at %v", a.id, a.vm, a.status, runs)
		}
		if (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && len(runs) > 0 {
			refused++
			c.rec.add("REFUSED %s at %s, status %d, ran at %v", a.id, a.vm, a.status, runs)
		}
	}
	c.rec.say("orders=%d statuses=%v ran_twice=%d refused_but_ran=%d", len(all), statuses(all), twice, refused)
	return twice == 0 && refused == 0, nil
}
