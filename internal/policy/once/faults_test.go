package once

import (
	"fmt"
	"slices"
	"time"
)

type vm struct {
	name   string
	offset time.Duration
	guard  *Guard
	view   *View
	joins  int // joins of the fleet that its list shows
	gone   time.Time
}

func (w *world) clock(v *vm) time.Time { return w.now.Add(v.offset) }

func (w *world) join() {
	v := &vm{name: fmt.Sprint("vm", len(w.joined))}
	w.start(v)
	w.vms, w.joined, w.listed[v.name] = append(w.vms, v), append(w.joined, v.name), true
	for _, x := range w.vms { // a list lags by at most Drift joins
		x.joins = max(x.joins, len(w.joined)-w.p.Drift)
	}
	v.joins = len(w.joined)
}

// start gives a VM an empty memory and another clock.
func (w *world) start(v *vm) {
	v.offset = time.Duration(w.pick(3)-1) * w.p.ClockSkew / 2
	if w.weak == skewedVMs {
		v.offset *= 20
	}
	p, started := w.p, w.clock(v)
	switch w.weak {
	case noAbstention:
		started = started.Add(-time.Hour)
	case futureKeys: // accepts what the abstention rule does not allow for
		p.FutureSkew += aheadOfBound
		started = started.Add(-aheadOfBound)
	}
	v.guard, v.view = NewGuard(p, started), NewView(64)
}

func (w *world) list(v *vm) []string {
	names := []string{v.name}
	for _, n := range w.joined[:v.joins] {
		if w.listed[n] && n != v.name {
			names = append(names, n)
		}
	}
	v.view.Observe(w.clock(v), names)
	return names
}

func (w *world) members(v *vm, born time.Time) int {
	now := len(w.list(v))
	if w.weak == listedNow {
		return now
	}
	n, _ := v.view.Members(born.Add(-w.p.ListLag))
	return n
}

func (w *world) find(name string) *vm {
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.name == name })
	if i < 0 {
		return nil
	}
	return w.vms[i]
}

// fault makes a fault as frequent as this world is rough.
func (w *world) fault(act func()) func() {
	return func() {
		if w.pick(roughest) < w.rough {
			act()
		}
	}
}

func (w *world) tick() {
	w.now = w.now.Add([]time.Duration{10, 200, 1000, 2000, 9000}[w.pick(5)] * time.Millisecond)
	for _, v := range w.vms {
		w.list(v)
	}
	w.vms = slices.DeleteFunc(w.vms, func(v *vm) bool { return !v.gone.IsZero() && w.now.After(v.gone) })
	for _, at := range w.attempts {
		if w.find(at.vm.name) != at.vm {
			at.state = "dead"
		}
	}
}

func (w *world) restart() {
	v := w.vms[w.pick(len(w.vms))]
	w.start(v)
	for _, at := range w.attempts {
		if at.vm == v {
			at.state = "dead"
		}
	}
}

// replace takes VMs off the list, which run on for a while, and adds as many or none.
func (w *world) replace() {
	add := w.pick(2) == 0
	for range 1 + w.pick(3) {
		v := w.vms[w.pick(len(w.vms))]
		if !v.gone.IsZero() || len(w.joined) > 24 || len(w.listed) < 3 {
			return
		}
		v.gone = w.now.Add(time.Duration(w.pick(8)) * time.Second)
		delete(w.listed, v.name)
		if add {
			w.join()
		}
	}
}

func (w *world) refresh() { w.vms[w.pick(len(w.vms))].joins = len(w.joined) }

func (w *world) cutOff() {
	clear(w.cut)
	if w.pick(2) == 0 {
		return
	}
	for _, v := range w.vms {
		w.cut[v.name] = w.pick(2) == 0
	}
}

func (w *world) take() (message, bool) {
	if len(w.net) == 0 {
		return message{}, false
	}
	i := w.pick(len(w.net))
	m := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	return m, true
}

func (w *world) drop() { w.take() }

func (w *world) repeat() {
	if m, ok := w.take(); ok {
		w.net = append(w.net, m)
		if m.kind != "run" {
			w.net = append(w.net, m)
		}
	}
}
