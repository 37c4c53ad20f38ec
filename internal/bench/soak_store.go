package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/relay"
)

// breakStoreLink breaks a VM's link to the store for a while, and records the outage.
func (s *soak) breakStoreLink(r *relay.Relay, f relay.Fault, d time.Duration) {
	defer s.recordOutage()()
	r.SetFault(f)
	time.Sleep(d)
	r.SetFault(relay.Fault{})
}

// recordOutage records that the store fails for some VM until end is called. The outage
// lasts for soakApplyTime more, in which VMs have to apply what they missed.
func (s *soak) recordOutage() (end func()) { return s.outages.begin(soakApplyTime) }

// storeFault makes the store answer every call with 503 or 429 for a while.
func (s *soak) storeFault(_ context.Context, rng *rand.Rand) error {
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[rng.IntN(2)]
	defer s.recordOutage()()
	s.store.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(status)
		return true
	})
	time.Sleep(randomDuration(rng, 200, 2500))
	s.store.Intercept(nil)
	return nil
}

func (s *soak) compactFault(context.Context, *rand.Rand) error {
	s.store.DropHistory()
	return nil
}

// addRoute publishes a version with one more route and returns the route's path.
func (s *soak) addRoute() (path string) {
	s.mu.Lock()
	s.version++
	path = "/extra-" + time.Now().Format("150405.000000") + "/"
	s.extraPaths = append(s.extraPaths, path)
	s.mu.Unlock()
	s.publish()
	return path
}

// configFault adds a route, and checks that every VM that was available and could read the
// store serves it in time.
func (s *soak) configFault(context.Context, *rand.Rand) error {
	path := s.addRoute()
	start := time.Now()
	time.Sleep(soakApplyTime + deadlineSlack)
	outage := s.outages.overlaps(start, time.Now())
	client := &http.Client{Timeout: soakDeadline + replySlack}
	defer client.CloseIdleConnections()
	for _, vm := range s.vms {
		q := soakRequest{id: path + vm.name, kind: "extra", vm: vm}
		s.send(client, &q, path+"x")
		if q.status == http.StatusNotFound && !outage && !vm.wasUnavailable(start, q.end) {
			s.evidence.recordViolation(configLate, "%s answers 404 to a route %v after it was published", vm.name, time.Since(start).Round(time.Millisecond))
		}
	}
	return nil
}

// drillFault takes the store away for a moment and brings it back from a copy made some time
// before. The servers write their entries again, and the operators the configuration; until then
// no VM may take a version out of force that it had.
func (s *soak) drillFault(ctx context.Context, rng *rand.Rand) error {
	backup := s.store.Copy()
	time.Sleep(randomDuration(rng, 100, 1500))
	if rng.IntN(2) == 0 {
		s.addRoute()
		time.Sleep(soakApplyTime + deadlineSlack)
	}
	defer s.recordOutage()()
	s.store.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	time.Sleep(randomDuration(rng, 50, 800))
	s.store.Restore(backup)
	s.store.Intercept(nil)
	back := time.Now()
	time.AfterFunc(3*soakHeartbeat, func() {
		for _, sv := range s.servers {
			sv.removeEarlier()
		}
	})
	time.Sleep(randomDuration(rng, 500, 1500))
	s.checkRoutes(ctx, configReverted, back.Add(-2*soakApplyTime))
	s.addRoute()
	published := time.Now()
	time.Sleep(soakApplyTime + deadlineSlack)
	if !s.otherOutage(back, published.Add(soakApplyTime)) {
		s.checkRoutes(ctx, configLate, back)
	}
	return nil
}

// otherOutage reports whether another outage than one that began before a overlaps a to b.
func (s *soak) otherOutage(a, b time.Time) bool {
	return slices.ContainsFunc(s.outages.all(), func(o Span) bool { return o.From.After(a) && o.From.Before(b) })
}

// checkRoutes checks that each VM that has been available since a time serves all routes.
func (s *soak) checkRoutes(ctx context.Context, violation string, since time.Time) {
	s.mu.Lock()
	paths := slices.Clone(s.extraPaths)
	s.mu.Unlock()
	client := &http.Client{Timeout: soakDeadline + replySlack}
	defer client.CloseIdleConnections()
	for _, vm := range s.vms {
		for _, path := range paths {
			q := soakRequest{id: fmt.Sprintf("drill-%d%s%s", time.Now().UnixNano(), path, vm.name), kind: "extra", vm: vm}
			s.send(client, &q, path+"x")
			if q.status == http.StatusNotFound && ctx.Err() == nil && !vm.wasUnavailable(since, q.end) {
				s.evidence.recordViolation(violation, "%s answers 404 to %s after the store came back from a copy", vm.name, path)
			}
		}
	}
}
