package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// soakEvacuateTime is how long after an evacuation was published requests may still reach the zone.
const soakEvacuateTime = 5 * time.Second

// evacuation is the time in which the evacuation of a zone was published.
type evacuation struct {
	Span
	zone string
}

// evacuationFault evacuates a zone for a while.
func (s *soak) evacuationFault(_ context.Context, rng *rand.Rand) error {
	zone := soakZone(rng.IntN(soakZones))
	s.store.Put(standin.EvacuationKey(zone), struct{}{})
	e := evacuation{zone: zone, Span: Span{From: time.Now()}}
	time.Sleep(soakEvacuateTime + randomDuration(rng, 1000, 4000))
	e.To = time.Now()
	s.store.Remove(standin.EvacuationKey(zone))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = append(s.evacuations, e)
	return nil
}

// endEvacuations removes the items of all evacuations: a copy of the store may have brought one back.
func (s *soak) endEvacuations() {
	for i := range soakZones {
		s.store.Remove(standin.EvacuationKey(soakZone(i)))
	}
}

func soakZone(i int) string { return fmt.Sprintf("zone-%d", i) }

// checkEvacuations looks for requests that reached a server of an evacuated zone too late. It leaves out VMs
// that were unavailable since the evacuation was published, and evacuations that some VM could not learn in
// time because the store failed for it. The load has ended.
func (s *soak) checkEvacuations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.evacuations {
		if s.outages.overlaps(e.From, e.From.Add(soakEvacuateTime)) {
			continue
		}
		for _, a := range s.evidence.arrivalsInZone(e.zone, e.From.Add(soakEvacuateTime), e.To) {
			i := slices.IndexFunc(s.vms, func(vm *soakVM) bool { return vm.name == a.vm })
			if i >= 0 && !s.vms[i].wasUnavailable(e.From, a.at) {
				s.evidence.recordViolation(sentToEvacuated, "%s through %s reached %s of %s %v after it was evacuated", a.id, a.vm, a.server, e.zone,
					a.at.Sub(e.From).Round(time.Millisecond))
			}
		}
	}
}

// arrivalsInZone returns the requests that reached servers of a zone between two times.
func (e *evidence) arrivalsInZone(zone string, from, to time.Time) (in []*arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, arrivals := range e.arrivals {
		for _, a := range arrivals {
			if a.zone == zone && a.at.After(from) && a.at.Before(to) {
				in = append(in, a)
			}
		}
	}
	return in
}
