package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Bounds for a server that names a limit, as the users publish them: from soakLimitKnownBy after it
// first named it, it gets at most soakLimitAllowance times what the limit allows, and
// soakLimitSlack requests, in any soakLimitWindow, from the VMs that it told soakLimitDelay before.
const (
	soakLimitKnownBy   = 4 * time.Second
	soakLimitWindow    = 4 * time.Second
	soakLimitAllowance = 1.5
	soakLimitSlack     = 5
	soakLimitDelay     = 500 * time.Millisecond
	// minSoakLimit and maxSoakLimit are in requests a second.
	minSoakLimit = 0.5
	maxSoakLimit = 8.0
)

// soakLimit is a limit that one server named for a while.
type soakLimit struct {
	server    string
	perSecond float64

	mu      sync.Mutex           // guards the fields below
	told    map[string]time.Time // when each VM was told first
	named   time.Time            // when any was; zero if none
	endedAt time.Time
}

func (l *soakLimit) recordTold(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.named.IsZero() {
		l.named = now
	}
	if l.told[vm].IsZero() {
		l.told[vm] = now
	}
}

// limitFault makes up to a third of the servers name a limit, long enough for it to apply.
func (s *soak) limitFault(_ context.Context, rng *rand.Rand) error {
	var limits []*soakLimit
	var servers []*soakServer
	for range 1 + rng.IntN(len(s.servers)/3) {
		sv := s.servers[rng.IntN(len(s.servers))]
		l := &soakLimit{
			server: sv.current.Load().ID, told: map[string]time.Time{},
			perSecond: minSoakLimit + rng.Float64()*(maxSoakLimit-minSoakLimit),
		}
		if !slices.Contains(servers, sv) {
			sv.limit.Store(l)
			limits, servers = append(limits, l), append(servers, sv)
		}
	}
	s.mu.Lock()
	s.limits = append(s.limits, limits...)
	s.mu.Unlock()
	time.Sleep(soakLimitKnownBy + randomDuration(rng, 1000, 5000))
	for i, sv := range servers {
		sv.limit.Store(nil)
		limits[i].mu.Lock()
		limits[i].endedAt = time.Now()
		limits[i].mu.Unlock()
	}
	return nil
}

// checkLimits looks for servers that got far more requests than the limit that they had named. It
// leaves out VMs that were unavailable or cut off from others since then. The load has ended.
func (s *soak) checkLimits() {
	byServer := s.evidence.arrivalsByServer()
	for _, l := range s.limits {
		var times []time.Time
		for _, a := range byServer[l.server] {
			told, ok := l.told[a.vm]
			if ok && a.at.After(l.named.Add(soakLimitKnownBy)) && a.at.Before(l.endedAt) && a.at.Sub(told) >= soakLimitDelay && !s.excused(a.vm, l.named, a.at) {
				times = append(times, a.at)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		allowed := soakLimitAllowance*l.perSecond*soakLimitWindow.Seconds() + soakLimitSlack
		for _, from := range times {
			if n := countInSpan(times, from, soakLimitWindow); float64(n) > allowed {
				s.evidence.recordViolation(overLimit, "%s got %d requests in %v at a limit of %.1f a second, at most %.0f", l.server, n, soakLimitWindow, l.perSecond, allowed)
				break
			}
		}
	}
}

// excused reports whether a VM was unavailable or cut off from others at any time from a to b.
func (s *soak) excused(vm string, a, b time.Time) bool {
	i := slices.IndexFunc(s.vms, func(v *soakVM) bool { return v.name == vm })
	return i < 0 || s.vms[i].wasUnavailable(a, b) || s.vms[i].wasCutOff(a, b)
}

// arrivalsByServer returns the requests that reached each server.
func (e *evidence) arrivalsByServer() map[string][]*arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string][]*arrival{}
	for _, list := range e.arrivals {
		for _, a := range list {
			out[a.server] = append(out[a.server], a)
		}
	}
	return out
}
