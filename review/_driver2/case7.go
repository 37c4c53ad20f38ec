package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// drainTime is the bound drainMs of the site.
const drainTime = 3 * time.Second

// Times of one round of case 7, from its begin.
const (
	outageAt   = 1 * time.Second
	leavesAt   = 1200 * time.Millisecond // of the server that leaves
	outageEnds = outageAt + 4500*time.Millisecond
	// The operator moves the route away when the store is back, and back to the service soon after.
	movesBackAfter = 800 * time.Millisecond
	// The store is back for this long when it accepts that the server drains.
	reportsAfter = 1900 * time.Millisecond
	// The server runs on for drainTime and a little longer after that.
	endsAfter = drainTime + time.Second
	roundTime = 13 * time.Second
)

// orderConfig is a configuration in which the route of orders goes to a service. It names only services that routes
// go to, as the operator's do.
func orderConfig(number int, service string) map[string]any {
	c := standin.Config(number, []string{"parts-0"}, nil, 244)
	for _, r := range c["routes"].([]any) {
		route := r.(map[string]any)
		switch route["name"] {
		case "order":
			route["service"] = service
		case "read":
			route["service"] = "reading"
		}
	}
	c["services"] = slices.DeleteFunc(c["services"].([]any), func(s any) bool {
		name := s.(map[string]any)["name"]
		return (name == "orders" || name == "news") && name != service
	})
	c["services"] = append(c["services"].([]any), map[string]any{"name": "reading", "healthPath": "/health", "maxConnections": 244})
	return c
}

// leaver watches one server that leaves.
type leaver struct {
	id       string
	mu       sync.Mutex
	leaving  bool
	arrivals map[string]time.Time // requests that reached the server, by id
}

func (l *leaver) intercept(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[r.Header.Get(platform.RequestID)] = time.Now()
	if l.leaving {
		w.Header().Set(platform.UpstreamHeaders.Leaving, "1")
	}
	return false
}

// forgottenLeaving: a server leaves while the store is away, and says so in its answers. Once the store is back, the
// operator moves the route of orders away from the service and back.
func forgottenLeaving(f *fleet, trouble bool) (broken int, err error) {
	zones := []string{"brno-a", "brno-b", "olomouc-c"}
	leavers := map[string]*leaver{}
	add := func(id string, zone string) error {
		l := &leaver{id: id, arrivals: map[string]time.Time{}}
		s, err := f.addServer(id, "orders", zone, 4, func(*http.Request) string {
			time.Sleep(20 * time.Millisecond)
			return "orders"
		})
		if err == nil {
			s.Intercept(l.intercept)
			leavers[id] = l
		}
		return err
	}
	for i, service := range []string{"parts-0", "reading", "news"} {
		for j := range 2 {
			id := fmt.Sprintf("i-%s-%d", service, j)
			if _, err := f.addServer(id, service, zones[j], 4, func(*http.Request) string { return fmt.Sprintf("%016d", i) }); err != nil {
				return 0, err
			}
		}
	}
	for i := range 3 {
		if err := add(fmt.Sprintf("i-orders-%d", i), zones[i]); err != nil {
			return 0, err
		}
	}
	number := 3
	write := func(service string) {
		number += 5
		f.store.Put(standin.ConfigKey, orderConfig(number, service))
		f.record("operator: version %d acknowledged, orders go to %s", number, service)
	}
	write("orders")
	if err := f.startVMs(zones, []int{3, 2, 1}, "capacity = 0.272\nlink_mbps = 700.0"); err != nil {
		return 0, err
	}
	time.Sleep(10 * time.Second)
	f.record("traffic starts")

	// sent are the orders by id; told are the times at which a VM first passed on that a server leaves.
	type order struct {
		vm   *vm
		sent time.Time
	}
	var mu sync.Mutex
	sent, told, tally := map[string]order{}, map[string]time.Time{}, map[int]int{}
	const rounds = 6
	end := time.Now().Add(rounds * roundTime)
	var running sync.WaitGroup
	for _, v := range f.vms {
		c := newClient(f.callers(v))
		for range 4 {
			running.Go(func() {
				for time.Now().Before(end) {
					a := c.send(http.MethodPost, "/order/x", "an order", time.Second, nil)
					mu.Lock()
					sent[a.id] = order{v, a.sentAt}
					tally[a.status]++
					if a.status != 0 && a.header.Get(platform.UpstreamHeaders.Leaving) == "1" {
						key := v.name + " " + a.header.Get(platform.UpstreamHeaders.Signature)
						if _, known := told[key]; !known {
							told[key] = time.Now()
							f.record("%s passed on an answer of %s that says that it leaves (request %s)", v.name, a.header.Get(platform.UpstreamHeaders.Signature), a.id)
						}
					}
					mu.Unlock()
					time.Sleep(80 * time.Millisecond)
				}
			})
		}
	}
	for round := range rounds {
		begin := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
		id := fmt.Sprintf("i-orders-%d", round)
		l := leavers[id]
		at(outageAt)
		if trouble {
			f.record("the store is down: it answers 503 to every call")
			f.store.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
			f.holdBeats(true)
		}
		at(leavesAt)
		l.mu.Lock()
		l.leaving = true
		l.mu.Unlock()
		f.record("server %s leaves", id)
		if !trouble {
			f.drain(id)
			f.record("the store accepts that %s drains", id)
		}
		at(outageEnds)
		if trouble {
			f.store.Intercept(nil)
			f.record("the store is back")
		}
		write("news")
		at(outageEnds + movesBackAfter)
		write("orders")
		at(outageEnds + reportsAfter)
		if trouble {
			f.drain(id)
			f.holdBeats(false)
			f.record("the store accepts that %s drains", id)
		}
		if err := add(fmt.Sprintf("i-orders-%d", round+3), zones[round%3]); err != nil {
			return 0, err
		}
		at(outageEnds + reportsAfter + endsAfter)
		f.remove(id)
		f.record("server %s has ended", id)
		at(roundTime)
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, l := range leavers {
		l.mu.Lock()
		for request, arrived := range l.arrivals {
			o := sent[request]
			if o.vm == nil {
				continue
			}
			since, known := told[o.vm.name+" stamp-"+id]
			if late := o.sent.Sub(since); known && late > drainTime {
				broken++
				f.record("DRAIN: order %s, sent to %s %d ms after it had passed on that %s leaves, reached that server at %.3f", request, o.vm.name,
					late.Milliseconds(), id, arrived.Sub(f.began).Seconds())
			}
		}
		l.mu.Unlock()
	}
	f.record("answers by status: %v", tally)
	return broken, nil
}
