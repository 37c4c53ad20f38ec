package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// configApply is the bound configApplyMs of the site.
const configApply = 3 * time.Second

// version is a configuration that the operator wrote.
type version struct {
	number  int
	service string    // of the route that moves
	sent    time.Time // when the write began
	acked   time.Time // when the store had it
}

// operator writes configurations in which one route moves from service to service.
type operator struct {
	f      *fleet
	shards []string

	mu       sync.Mutex // guards versions
	versions []version
}

const movingPath = "/move/"

func (o *operator) write(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 3 + 7*len(o.versions)
	c := standin.Config(n, o.shards, nil, 58)
	c["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	for _, r := range c["routes"].([]any) {
		if route := r.(map[string]any); route["name"] == "find" {
			route["timeoutMs"], route["minVersion"], route["topK"] = 3000, 0.89, 20
		}
	}
	services := c["services"].([]any)
	for _, name := range []string{"move-0", "move-1", "move-2"} {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 244})
	}
	c["services"] = services
	route := standin.SingleRoute("moving", movingPath, "idempotent")
	route["service"] = service
	standin.AddRoute(c, route)
	for _, older := range o.versions {
		standin.AddRoute(c, addedRoute(older.number))
	}
	standin.AddRoute(c, addedRoute(n))
	v := version{number: n, service: service, sent: time.Now()}
	o.f.store.Put(standin.ConfigKey, c)
	v.acked = time.Now()
	o.versions = append(o.versions, v)
	o.f.record("operator: version %d acknowledged, %s goes to %s", n, movingPath, service)
}

// addedRoute is the route that the version with a number adds.
func addedRoute(number int) map[string]any {
	r := standin.SingleRoute(fmt.Sprintf("added-%d", number), fmt.Sprintf("/added-%d/", number), "idempotent")
	r["service"] = "news"
	return r
}

// lastAdded returns the path of the route that was added last by a version that is due everywhere, and that version.
func (o *operator) lastAdded() (path string, v version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, older := range o.versions {
		if time.Since(older.acked) > configApply {
			v = older
		}
	}
	return addedRoute(v.number)["pathPrefix"].(string), v
}

// stale reports whether a request that was sent at some time may not be run by a service any more, and by which
// version it should have been handled.
func (o *operator) stale(sent time.Time, service string) (version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	due := 0
	for i, v := range o.versions {
		if sent.Sub(v.acked) > configApply {
			due = i
		}
	}
	for _, v := range o.versions[due:] {
		if v.service == service {
			return version{}, false
		}
	}
	return o.versions[due], true
}

// The client's requests with many fields: three characters a name, one a value. Their heads have under 10 KB.
const (
	manyFieldCount = 1100
	fewFieldCount  = 10
)

func shortFields(n int) http.Header {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	h := http.Header{}
	for i := range n {
		name := http.CanonicalHeaderKey("q" + string(letters[i/len(letters)]) + string(letters[i%len(letters)]))
		h[name] = []string{"1"}
	}
	return h
}

// manyFields: one client of one VM sends searches whose heads are inside the limit and have very many short fields.
// Meanwhile the operator changes the configuration. Each VM is asked on the route that moves.
func manyFields(f *fleet, trouble bool) (broken int, err error) {
	o := &operator{f: f}
	zones := []string{"brno-a", "brno-b", "olomouc-c"}
	for i := range 20 {
		shard := fmt.Sprintf("parts-%d", i)
		o.shards = append(o.shards, shard)
		for z, zone := range zones[:2] {
			record := fmt.Sprintf("%08d%08d", i, z)
			if _, err := f.addServer(fmt.Sprintf("i-%s-%s", shard, zone), shard, zone, 2, func(*http.Request) string {
				time.Sleep(10 * time.Millisecond)
				return record
			}); err != nil {
				return 0, err
			}
		}
	}
	for _, service := range []string{"orders", "news", "move-0", "move-1", "move-2"} {
		for i := range 3 {
			if _, err := f.addServer(fmt.Sprintf("i-%s-%d", service, i), service, zones[i], 4, func(*http.Request) string { return service }); err != nil {
				return 0, err
			}
		}
	}
	o.write("move-0")
	if err := f.startVMs(zones, []int{9, 7, 4}, "capacity = 0.272\nlink_mbps = 700.0"); err != nil {
		return 0, err
	}
	time.Sleep(10 * time.Second)
	target := f.vms[len(f.vms)-1]
	f.record("traffic starts; the client with many fields reaches %s", target.name)

	var mu sync.Mutex
	tally := map[string]int{}
	count := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		tally[what]++
	}
	end := time.Now().Add(95 * time.Second)
	var running sync.WaitGroup
	every := func(interval time.Duration, fn func()) {
		running.Add(1)
		go func() {
			defer running.Done()
			for next := time.Now(); next.Before(end); next = next.Add(interval) {
				time.Sleep(time.Until(next))
				fn()
			}
		}()
	}
	fields := shortFields(fewFieldCount)
	if trouble {
		fields = shortFields(manyFieldCount)
	}
	odd := newClient(f.callers(target))
	every(250*time.Millisecond, func() {
		a := odd.send(http.MethodGet, "/find/odd", "", 3*time.Second, fields)
		f.record("client with %d fields at %s: id %s, status %d, %d ms, err %v", len(fields), target.name, a.id, a.status, a.took.Milliseconds(), a.err)
	})
	for _, v := range f.vms {
		probes, ordinary := newClient(f.callers(v)), newClient(f.callers(v))
		every(250*time.Millisecond, func() {
			a := probes.send(http.MethodGet, movingPath+"x", "", time.Second, nil)
			if a.status != http.StatusOK {
				count(fmt.Sprintf("%s probe %d", v.name, a.status))
				return
			}
			if due, isStale := o.stale(a.sentAt, a.body); isStale {
				mu.Lock()
				broken++
				mu.Unlock()
				f.record("CONFIG: request %s at %s, sent %d ms after version %d was acknowledged, was run by %s and not by %s",
					a.id, v.name, a.sentAt.Sub(due.acked).Milliseconds(), due.number, a.body, due.service)
			}
		})
		every(500*time.Millisecond, func() {
			path, due := o.lastAdded()
			a := probes.send(http.MethodGet, path+"x", "", time.Second, nil)
			if a.status == http.StatusNotFound {
				mu.Lock()
				broken++
				mu.Unlock()
				f.record("CONFIG: request %s at %s, sent %d ms after version %d was acknowledged, was refused with 404 though that version added its route",
					a.id, v.name, a.sentAt.Sub(due.acked).Milliseconds(), due.number)
			}
		})
		every(time.Second, func() {
			a := ordinary.send(http.MethodGet, "/find/jack", "", 3*time.Second, nil)
			count(fmt.Sprintf("%s search %d", v.name, a.status))
			if a.status != http.StatusOK {
				f.record("ordinary search at %s: id %s, status %d, %d ms, err %v", v.name, a.id, a.status, a.took.Milliseconds(), a.err)
			}
		})
	}
	for i := 1; time.Until(end) > 4*time.Second; i++ {
		time.Sleep(4 * time.Second)
		o.write(fmt.Sprintf("move-%d", i%3))
	}
	running.Wait()
	for _, v := range f.vms {
		for what, n := range tally {
			if len(what) > len(v.name) && what[:len(v.name)+1] == v.name+" " {
				f.record("%s: %d", what, n)
			}
		}
	}
	return broken, nil
}
