package forward

import "github.com/sardinespindle/sardinespindle/internal/policy/repeat"

// maxServices bounds the services for which a repeat budget is kept.
const maxServices = 8192

// takeRepeat takes one attempt beyond the first from a service's budget, because the first
// is slow (hedge) or failed (retry). It reports whether the budget allowed it.
func (s *Server) takeRepeat(service string, hedge bool) (paid bool) {
	now, vms := s.o.Now(), s.o.VMs(service)
	s.repeatBudgets.Update(service, func(b *repeat.Bucket) {
		if hedge {
			paid = b.TakeHedge(now, s.o.Repeats, vms)
		} else {
			paid = b.Take(now, s.o.Repeats, vms)
		}
	})
	if paid {
		s.metrics.repeats.Inc()
	} else {
		s.metrics.repeatsRefused.Inc()
	}
	return paid
}

// earnRepeats adds to the budgets of the services that a request is sent to, unless it has earned at
// another VM.
func (s *Server) earnRepeats(q *request, services ...string) {
	if q.maybeSent {
		return
	}
	for _, service := range services {
		s.repeatBudgets.Update(service, func(b *repeat.Bucket) { b.Earn(s.o.Now(), s.o.Repeats, s.o.VMs(service)) })
	}
}

// unearnRepeats takes back what a request earned here that is passed on to another VM, unless that VM
// earns nothing for it.
func (s *Server) unearnRepeats(q *request) {
	if q.maybeSent {
		return
	}
	services := q.searchedShards()
	if !q.route.Sharded() {
		services = []string{q.service}
	}
	for _, service := range services {
		s.repeatBudgets.Update(service, func(b *repeat.Bucket) { b.Unearn(s.o.Repeats) })
	}
}
