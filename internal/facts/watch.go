package facts

import (
	"strings"
	"sync"

	rules "github.com/sardinespindle/sardinespindle/internal/policy/facts"
)

// origins counts the facts held per origin, tombstones included.
type origins struct {
	mu    sync.Mutex
	count map[string]int
}

// add adds n, which may be negative, to an origin's count. It reports false and changes
// nothing if the count would exceed MaxPerOrigin.
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

// watchers notifies the registered functions, one change at a time. The queue holds
// at most one change per fact.
type watchers struct {
	mu         sync.Mutex
	list       []watcher
	order      []rules.ID
	pending    map[rules.ID]Fact
	delivering bool
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

// deliver empties the queue, unless another goroutine is already doing so.
func (w *watchers) deliver() {
	w.mu.Lock()
	if w.delivering {
		w.mu.Unlock()
		return
	}
	w.delivering = true
	for len(w.order) > 0 {
		id := w.order[0]
		w.order = w.order[1:]
		f := w.pending[id]
		delete(w.pending, id)
		list := w.list
		w.mu.Unlock()
		notify(list, f)
		w.mu.Lock()
	}
	w.delivering = false
	w.mu.Unlock()
}

func notify(list []watcher, f Fact) {
	for _, one := range list {
		if strings.HasPrefix(f.Key, one.prefix) {
			one.fn(f)
		}
	}
}
