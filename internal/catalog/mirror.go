package catalog

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Item is one item of the store as it was published. A Removed item has no value.
type Item struct {
	Key      string
	Revision int64
	Value    []byte
	Removed  bool
}

// Decoder reads the values of the platform's items.
type Decoder interface {
	// Config reads the configuration; false where the item does not hold it.
	Config(Item) (*Config, bool, error)
	// Entry reads an upstream's entry; false where the item does not hold one.
	Entry(Item) (Entry, bool, error)
	// Same reports whether two values of an item say the same but for what rises with
	// each heartbeat.
	Same(a, b []byte) bool
}

// Mirror holds the items of the store up to one revision. It is safe for use by several
// goroutines.
type Mirror struct {
	decoder Decoder
	now     func() time.Duration
	apply   func(*Catalog, Change)

	mu     sync.Mutex // guards the fields below
	items  map[string]held
	config *Config
	// revision up to which the store has been read, and when that was confirmed last.
	revision  int64
	confirmed time.Duration
	// floor is the revision from which on every removal is remembered.
	floor   int64
	changed chan struct{} // closed at the next change
}

// held is an item with what its value says, decoded once.
type held struct {
	Item
	config  *Config
	entry   Entry
	isEntry bool
	err     error // why the value could not be read
}

// mostRemoved is how many removals are remembered, several times the entries that a fleet
// of a thousand upstreams replaces in an hour. A VM that is further behind gets the whole
// content.
const mostRemoved = 4096

// Change says what a new catalog brings, for the log.
type Change struct {
	Revision int64
	Version  int
	// Upstreams are published, Draining of them on their way out.
	Upstreams, Draining int
	// Refused holds why items could not be read, by key.
	Refused map[string]error
}

// NewMirror returns an empty mirror. apply is called, one call at a time, with each
// catalog that comes into force.
func NewMirror(d Decoder, now func() time.Duration, apply func(*Catalog, Change)) *Mirror {
	return &Mirror{
		decoder: d, now: now, apply: apply,
		items: map[string]held{}, changed: make(chan struct{}),
	}
}

// Update is what has changed after a revision.
type Update struct {
	// After is the revision that the items are changes from; 0 for the whole content.
	After int64
	// Revision up to which the items reach.
	Revision int64
	Items    []Item
	// Age is how long ago the store confirmed Revision.
	Age time.Duration
}

// Take merges an update: one of the whole content, or one that continues what is held.
// It reports whether the update could be used.
func (m *Mirror) Take(u Update) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.After > m.revision {
		return false
	}
	if at := m.now() - u.Age; u.Revision >= m.revision && at > m.confirmed {
		m.confirmed = at
	}
	if u.After == 0 && u.Revision < m.revision {
		return false
	}
	changed := m.merge(u.Items)
	if u.After == 0 {
		changed = m.dropUnlisted(u) || changed
		m.floor = u.Revision
	}
	m.revision = max(m.revision, u.Revision)
	if changed {
		m.forget()
		m.publish()
	}
	return true
}

// merge takes the items that are newer than those held.
func (m *Mirror) merge(items []Item) (changed bool) {
	for _, it := range items {
		old, ok := m.items[it.Key]
		if ok && old.Revision >= it.Revision {
			continue
		}
		if ok && !old.Removed && !it.Removed && m.decoder.Same(old.Value, it.Value) {
			continue
		}
		m.items[it.Key] = m.decode(it)
		changed = true
	}
	return changed
}

// decode reads what an item says. The lock is held.
func (m *Mirror) decode(it Item) held {
	h := held{Item: it}
	if it.Removed {
		return h
	}
	var errConfig, errEntry error
	if c, ok, err := m.decoder.Config(it); err != nil {
		errConfig = err
	} else if ok {
		h.config = c
	}
	h.entry, h.isEntry, errEntry = m.decoder.Entry(it)
	h.entry.Revision = it.Revision
	h.err = cmp.Or(errEntry, errConfig)
	return h
}

// forget drops the older half of the removals that are remembered, once they are many. The
// lock is held.
func (m *Mirror) forget() {
	var removed []int64
	for _, it := range m.items {
		if it.Removed {
			removed = append(removed, it.Revision)
		}
	}
	if len(removed) <= mostRemoved {
		return
	}
	slices.Sort(removed)
	upTo := removed[len(removed)/2]
	for key, it := range m.items {
		if it.Removed && it.Revision <= upTo {
			delete(m.items, key)
		}
	}
	m.floor = max(m.floor, upTo)
}

// dropUnlisted removes what a whole content does not hold.
func (m *Mirror) dropUnlisted(u Update) (changed bool) {
	listed := make(map[string]bool, len(u.Items))
	for _, it := range u.Items {
		listed[it.Key] = true
	}
	for key, it := range m.items {
		if listed[key] || it.Removed || it.Revision > u.Revision {
			continue
		}
		m.items[key] = held{Item: Item{Key: key, Revision: u.Revision, Removed: true}}
		changed = true
	}
	return changed
}

// publish compiles and hands over what is in force, and wakes those who wait. The lock
// is held.
func (m *Mirror) publish() {
	change := Change{Revision: m.revision, Refused: map[string]error{}}
	entries := make([]Entry, 0, len(m.items))
	for key, it := range m.items {
		if it.err != nil {
			change.Refused[key] = it.err
		}
		if c := it.config; c != nil && (m.config == nil || c.Version > m.config.Version) {
			m.config = c
		}
		if !it.isEntry {
			continue
		}
		entries = append(entries, it.entry)
		if it.entry.Draining {
			change.Draining++
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
	if m.config == nil {
		return
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Identity, b.Identity) })
	change.Version, change.Upstreams = m.config.Version, len(entries)
	m.apply(compile(m.config, entries), change)
}

// Since returns what has changed after a revision, and a channel that is closed at the
// next change.
func (m *Mirror) Since(after int64) (Update, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.floor {
		after = 0
	}
	u := Update{After: after, Revision: m.revision, Age: m.now() - m.confirmed}
	for _, it := range m.items {
		if it.Revision > after && (after > 0 || !it.Removed) {
			u.Items = append(u.Items, it.Item)
		}
	}
	return u, m.changed
}

// State returns the revision held and how long ago the store confirmed it.
func (m *Mirror) State() (revision int64, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.now() - m.confirmed
}
