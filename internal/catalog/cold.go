package catalog

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/warmup"
)

// warmups collects Catalog.Warmups.
type warmups struct {
	services  map[string]warmup.Upstream // those with a bound
	upstreams map[string]warmup.Upstream
}

func newWarmups(services []Service) *warmups {
	w := &warmups{services: map[string]warmup.Upstream{}}
	for _, s := range services {
		if s.ColdPerSecond > 0 {
			w.services[s.Name] = warmup.Upstream{PerSecond: s.ColdPerSecond, For: s.ColdFor}
		}
	}
	return w
}

// add adds an upstream if its service has a bound.
func (w *warmups) add(e Entry) {
	u, ok := w.services[e.Service]
	if !ok {
		return
	}
	u.Published = warmup.Published{ReadAt: e.ReadAt, Left: e.WarmupLeft, Stated: e.WarmupStated}
	if w.upstreams == nil {
		w.upstreams = map[string]warmup.Upstream{}
	}
	w.upstreams[e.Address] = u
}

// lateRead is longer than an entry takes from its upstream to a VM: an entry whose time runs down may be
// read this much later than the one before.
const lateRead = 2500 * time.Millisecond

// heartbeat is what the last value of an entry that the mirror read, stored or not, says about its warm-up.
type heartbeat struct {
	Position
	at   time.Duration
	left time.Duration
}

func newHeartbeat(e Entry) heartbeat { return heartbeat{e.Position, e.ReadAt, e.WarmupLeft} }

// becameCold reports whether an item that is otherwise equivalent to the stored one says that its upstream
// is cold again: its time is longer than one that runs down. Only items of services with a bound are
// decoded. relayed says that the item is from another VM, which leaves out those whose time runs down, so
// that the time before is not known. The caller holds mu.
func (m *Mirror) becameCold(old storedItem, it Item, relayed bool) bool {
	if !old.isEntry || !m.bounded[old.entry.Service] || !old.heard.before(it.Position) {
		return false
	}
	e, _, err := m.decoder.Entry(it)
	if err != nil {
		return false
	}
	e.Position, e.ReadAt = it.Position, m.now()
	last := old.heard
	old.heard = newHeartbeat(e)
	m.items[it.Key] = old
	runDown := max(last.left-(e.ReadAt-last.at), 0) + lateRead
	return e.WarmupLeft > 0 && (relayed || e.WarmupLeft > last.left || e.WarmupLeft > runDown || e.ReadAt-last.at > last.left+lateRead)
}

// boundedServices returns the services whose cold upstreams have a bound; nil if there are none.
func boundedServices(c *Config) map[string]bool {
	var out map[string]bool
	for _, s := range c.Services {
		if s.ColdPerSecond > 0 {
			if out == nil {
				out = map[string]bool{}
			}
			out[s.Name] = true
		}
	}
	return out
}
