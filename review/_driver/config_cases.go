package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Load of the cases about configurations: some hundred searches a second on six machines.
const (
	searchClients  = 6 // a machine
	searchPause    = 30 * time.Millisecond
	searchDeadline = 3 * time.Second
)

// Changes of the configuration: one each changeInterval.
const (
	changes        = 40
	changeInterval = 1500 * time.Millisecond
)

func search(path string) func(id string) request {
	return func(id string) request {
		return request{method: http.MethodGet, path: path + id, deadline: searchDeadline}
	}
}

// startSearches starts the servers of the shards, half of them in each of two zones, and perZone machines
// in each of three zones.
func (c *cluster) startSearches(ctx context.Context, perZone int, t topology, routes ...map[string]any) error {
	if err := c.addShards(t.shards, "zone-a", "zone-b"); err != nil {
		return err
	}
	c.publish(routes...)
	return c.startVMs(ctx, perZone, "zone-a", "zone-b", "zone-c")
}

// alternate has the operator add a route and remove it again, one change each changeInterval.
func (c *cluster) alternate(ctx context.Context, trouble bool, routes []map[string]any, added map[string]any) {
	for i := range changes {
		sleep(ctx, changeInterval)
		switch {
		case !trouble:
		case i%2 == 0:
			c.publish(append([]map[string]any{added}, routes...)...)
		default:
			c.publish(routes...)
		}
	}
}

// maxLost is how many requests of kept connections the rule allows to be passed on and not answered.
const maxLost = 3

// routeAdded has the operator add, below the prefix of a search, a route to a single service.
func routeAdded(ctx context.Context, c *cluster, trouble bool) (bool, error) {
	for i, zone := range []string{"zone-a", "zone-b"} {
		s := &server{id: fmt.Sprintf("i-pages-%d", i), service: "pages", zone: zone, slots: 4, queue: 16, work: 5 * time.Millisecond, records: 10}
		if err := c.addServer(s); err != nil {
			return false, err
		}
	}
	t := topology{shards: names("shard", 24), top: 20, least: 0.89}
	routes := []map[string]any{searchRoute("browse", "/browse/", t)}
	if err := c.startSearches(ctx, 2, t, routes...); err != nil {
		return false, err
	}
	l := c.startLoad(ctx, searchClients, searchPause, search("/browse/index/"), func(*answer) {})
	c.alternate(ctx, trouble, routes, singleRoute("index", "/browse/index/", "idempotent", "pages"))
	all := l.stop()
	lost := 0
	for _, a := range all {
		// The servers are sound, the client waits, and a machine that ends by itself counts as running.
		if runs := c.runsOf(a.id); a.status == 0 && a.kept && !a.timedOut && len(runs) > 0 {
			lost++
			c.rec.add("LOST %s at %s (%v), passed on to %v", a.id, a.vm, a.err, runs)
		}
	}
	c.rec.say("requests=%d statuses=%v lost_on_kept_connections=%d processes_that_ended_by_themselves=%d", len(all), statuses(all), lost, c.endsByThemselves())
	return lost <= maxLost, nil
}

// smallerTop has the operator add, below the prefix of a search, another search of the same shards that
// returns fewer records.
func smallerTop(ctx context.Context, c *cluster, trouble bool) (bool, error) {
	t := topology{shards: names("shard", 24), top: 20, least: 0.89}
	quick := topology{shards: t.shards, top: 5, least: 0.75}
	routes := []map[string]any{searchRoute("browse", "/browse/", t)}
	if err := c.startSearches(ctx, 2, t, routes...); err != nil {
		return false, err
	}
	judge := c.newJudge(func() []topology { return []topology{t, quick} })
	l := c.startLoad(ctx, searchClients, searchPause, search("/browse/quick/"), judge.judge)
	c.alternate(ctx, trouble, routes, searchRoute("quick", "/browse/quick/", quick))
	return judge.finish(l.stop()), nil
}

// Repartitions: the version that names the new shards comes repartitionDelay after their servers, and
// the old servers drain once that version is due everywhere.
const (
	repartitions     = 12
	repartitionDelay = 3500 * time.Millisecond
)

// reshard has the index repartitioned by turns from 48 shards into 24 and from 24 into 48, each time on
// new servers. Fifteen machines serve the searches.
func reshard(ctx context.Context, c *cluster, trouble bool) (bool, error) {
	topologyOf := func(n int) topology {
		return topology{shards: names(fmt.Sprintf("set%d-", n), []int{48, 24}[n%2]), top: 20, least: 0.89}
	}
	var mu sync.Mutex // guards sent
	sent := []topology{topologyOf(0)}
	if err := c.startSearches(ctx, 5, sent[0], searchRoute("browse", "/browse/", sent[0])); err != nil {
		return false, err
	}
	judge := c.newJudge(func() []topology {
		mu.Lock()
		defer mu.Unlock()
		return sent
	})
	l := c.startLoad(ctx, searchClients/2, searchPause, search("/browse/"), judge.judge)
	for n := 1; n <= repartitions; n++ {
		if !trouble {
			sleep(ctx, repartitionDelay+configApply)
			continue
		}
		old, next := topologyOf(n-1), topologyOf(n)
		if err := c.addShards(next.shards, "zone-a", "zone-b"); err != nil {
			return false, err
		}
		sleep(ctx, repartitionDelay)
		mu.Lock()
		sent = append(sent, next)
		mu.Unlock()
		c.publish(searchRoute("browse", "/browse/", next))
		sleep(ctx, configApply)
		c.drain(old.shards)
	}
	return judge.finish(l.stop()), nil
}

// judge counts the successes to searches that are wrong.
type judge struct {
	c    *cluster
	sent func() []topology // the topologies of the configurations sent so far

	mu    sync.Mutex // guards wrong
	wrong int
}

func (c *cluster) newJudge(sent func() []topology) *judge { return &judge{c: c, sent: sent} }

func (j *judge) judge(a *answer) {
	if a.status/100 != 2 {
		return
	}
	if why := j.c.checkSearch(a, j.sent()); why != "" {
		j.c.rec.add("MIXED %s at %s: %s", a.id, a.vm, why)
		j.mu.Lock()
		j.wrong++
		j.mu.Unlock()
	}
}

// finish writes the result and reports whether no success was wrong.
func (j *judge) finish(all []*answer) bool {
	j.c.rec.say("requests=%d statuses=%v wrong_successes=%d", len(all), statuses(all), j.wrong)
	return j.wrong == 0
}
