package facts

import (
	"strings"
	"sync"

	rules "github.com/sardinespindle/sardinespindle/internal/policy/facts"
)

// origins counts the facts held of each origin.
type origins struct {
	mu    sync.Mutex
	count map[string]int
}

// add changes the count of an origin, or reports that it is at its bound.
func (o *origins) add(origin string, n int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.count[origin] + n
	if c > MaxPerOrigin {
		return false
	}
	if c <= 0 {
		delete(o.count, origin)
		return true
	}
	o.count[origin] = c
	return true
}

// watchers hands changes to the registered functions, one change at a time. The
// queue holds one change for each fact at most.
type watchers struct {
	mu      sync.Mutex
	list    []watcher
	order   []rules.ID
	pending map[rules.ID]Fact
	busy    bool
}

type watcher struct {
	prefix string
	fn     func(Fact)
}

func (w *watchers) register(prefix string, fn func(Fact)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = append(w.list[:len(w.list):len(w.list)], watcher{prefix, fn})
}

func (w *watchers) add(f Fact) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, queued := w.pending[f.ID()]; !queued {
		w.order = append(w.order, f.ID())
	}
	w.pending[f.ID()] = f
}

// deliver empties the queue, unless another goroutine is already at it.
func (w *watchers) deliver() {
	w.mu.Lock()
	if w.busy {
		w.mu.Unlock()
		return
	}
	w.busy = true
	for len(w.order) > 0 {
		id := w.order[0]
		w.order = w.order[1:]
		f := w.pending[id]
		delete(w.pending, id)
		list := w.list
		w.mu.Unlock()
		call(list, f)
		w.mu.Lock()
	}
	w.busy = false
	w.mu.Unlock()
}

func call(list []watcher, f Fact) {
	for _, one := range list {
		if strings.HasPrefix(f.Key, one.prefix) {
			one.fn(f)
		}
	}
}
