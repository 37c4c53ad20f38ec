package catalog

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Item is one item of the store as published. A Removed item is a tombstone without a value.
type Item struct {
	Key      string
	Revision int64
	Value    []byte
	Removed  bool
}

// Decoder decodes the values of the platform's items.
type Decoder interface {
	// Config decodes the configuration; false if the item is of another kind.
	Config(Item) (*Config, bool, error)
	// Entry decodes an upstream's entry; false if the item is of another kind.
	Entry(Item) (Entry, bool, error)
	// Equivalent reports whether two values of an item differ only in fields that change
	// with each heartbeat.
	Equivalent(a, b []byte) bool
}

// Mirror is a local copy of the store's items up to one revision. It is safe for
// concurrent use.
type Mirror struct {
	decoder         Decoder
	now             func() time.Duration
	compileInterval time.Duration
	onChange        func(*Catalog, Change)

	mu     sync.Mutex // guards the fields below
	items  map[string]storedItem
	config *Config
	// revision is the store's revision up to which items include all changes except
	// heartbeats; confirmedAt is when the store last confirmed that revision as its latest.
	revision    int64
	confirmedAt time.Duration
	// compacted is the revision up to which tombstones may be missing. Changes can be
	// listed only from there on.
	compacted int64
	changed   chan struct{} // closed at the next change
	// compiledAt is when the last catalog was compiled, compiledVersion the version of its
	// configuration. delayed says that a timer compiles the next one.
	compiledAt      time.Duration
	compiledVersion int
	delayed         bool
}

// DefaultCompileInterval is the least time between two catalogs of one version. While
// upstreams are replaced, entries change many times a second, and compiling a catalog of some
// hundred upstreams takes a small VM tens of milliseconds.
const DefaultCompileInterval = 400 * time.Millisecond

// storedItem is an item with its decoded entry, so that each value is decoded only once.
type storedItem struct {
	Item
	entry   Entry
	isEntry bool
	err     error // why the value could not be decoded
}

// maxTombstones is several times the number of entries that a fleet of a thousand upstreams
// replaces in an hour. A VM that lags further behind gets the full content.
const maxTombstones = 4096

// Change summarizes a new catalog for the log.
type Change struct {
	Revision int64
	Version  int
	// Upstreams counts the valid entries of upstreams, Draining those of them that drain.
	Upstreams, Draining int
	// Refused maps the key of each item that could not be decoded to the reason.
	Refused map[string]error
}

// NewMirror returns an empty mirror. It calls onChange with each new catalog, one call at
// a time and with the mirror's lock held, so onChange must not call the mirror. A catalog
// follows a change at once if the version is new, else at most compileInterval later.
func NewMirror(d Decoder, now func() time.Duration, compileInterval time.Duration, onChange func(*Catalog, Change)) *Mirror {
	return &Mirror{
		decoder: d, now: now, compileInterval: compileInterval, onChange: onChange,
		items: map[string]storedItem{}, changed: make(chan struct{}),
	}
}

// Update is the full content of the store, or the changes after a revision.
type Update struct {
	// After is the revision after which the items changed; 0 for the full content.
	After int64
	// Revision is the store's revision up to which the update includes all changes.
	Revision int64
	Items    []Item
	// Age is how long ago the store confirmed Revision.
	Age time.Duration
}

// Apply merges an update. It reports false and changes no item in two cases: the update
// starts after the mirror's revision, so changes in between would be lost, or it is full
// content older than that revision.
func (m *Mirror) Apply(u Update) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.After > m.revision {
		return false
	}
	if at := m.now() - u.Age; u.Revision >= m.revision && at > m.confirmedAt {
		m.confirmedAt = at
	}
	if u.After == 0 && u.Revision < m.revision {
		return false
	}
	changed := m.merge(u.Items)
	if u.After == 0 {
		changed = m.dropUnlisted(u) || changed
		m.compacted = u.Revision
	}
	m.revision = max(m.revision, u.Revision)
	if changed {
		m.pruneTombstones()
		m.publish()
	}
	return true
}

// merge stores each item that is newer than the mirror's, unless only a heartbeat changed
// it. A configuration of an older version never replaces a newer one. The caller holds mu.
func (m *Mirror) merge(items []Item) (changed bool) {
	for _, it := range items {
		old, ok := m.items[it.Key]
		if ok && old.Revision >= it.Revision {
			continue
		}
		if ok && !old.Removed && !it.Removed && m.decoder.Equivalent(old.Value, it.Value) {
			continue
		}
		stored, config := m.decode(it)
		m.items[it.Key] = stored
		if config != nil && (m.config == nil || config.Version > m.config.Version) {
			m.config = config
		}
		changed = true
	}
	return changed
}

// decode returns an item with its decoded entry, and the configuration if the item is one.
// The caller holds mu.
func (m *Mirror) decode(it Item) (stored storedItem, config *Config) {
	stored = storedItem{Item: it}
	if it.Removed {
		return stored, nil
	}
	var errConfig, errEntry error
	if c, ok, err := m.decoder.Config(it); err != nil {
		errConfig = err
	} else if ok {
		config = c
	}
	stored.entry, stored.isEntry, errEntry = m.decoder.Entry(it)
	stored.entry.Revision = it.Revision
	stored.err = cmp.Or(errEntry, errConfig)
	return stored, config
}

// pruneTombstones drops the older half of the tombstones once there are more than
// maxTombstones. The caller holds mu.
func (m *Mirror) pruneTombstones() {
	var revisions []int64
	for _, it := range m.items {
		if it.Removed {
			revisions = append(revisions, it.Revision)
		}
	}
	if len(revisions) <= maxTombstones {
		return
	}
	slices.Sort(revisions)
	upTo := revisions[len(revisions)/2]
	for key, it := range m.items {
		if it.Removed && it.Revision <= upTo {
			delete(m.items, key)
		}
	}
	m.compacted = max(m.compacted, upTo)
}

// dropUnlisted replaces each item that the full content does not list with a tombstone,
// except items newer than that content. The caller holds mu.
func (m *Mirror) dropUnlisted(u Update) (changed bool) {
	listed := make(map[string]bool, len(u.Items))
	for _, it := range u.Items {
		listed[it.Key] = true
	}
	for key, it := range m.items {
		if listed[key] || it.Removed || it.Revision > u.Revision {
			continue
		}
		m.items[key] = storedItem{Item: Item{Key: key, Revision: u.Revision, Removed: true}}
		changed = true
	}
	return changed
}

// publish closes the channel that Since returned, and compiles a catalog now or later. The
// caller holds mu.
func (m *Mirror) publish() {
	close(m.changed)
	m.changed = make(chan struct{})
	switch wait := m.compiledAt + m.compileInterval - m.now(); {
	case m.config == nil || m.delayed && m.config.Version == m.compiledVersion:
	case m.config.Version != m.compiledVersion || wait <= 0:
		m.compile()
	default:
		m.delayed = true
		time.AfterFunc(wait, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.delayed {
				m.compile()
			}
		})
	}
}

// compile passes a new catalog to onChange. The caller holds mu.
func (m *Mirror) compile() {
	m.compiledAt, m.compiledVersion, m.delayed = m.now(), m.config.Version, false
	change := Change{Revision: m.revision, Refused: map[string]error{}}
	entries := make([]Entry, 0, len(m.items))
	for key, it := range m.items {
		if it.err != nil {
			change.Refused[key] = it.err
		}
		if !it.isEntry {
			continue
		}
		entries = append(entries, it.entry)
		if it.entry.Draining {
			change.Draining++
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Identity, b.Identity) })
	change.Version, change.Upstreams = m.config.Version, len(entries)
	m.onChange(compile(m.config, entries), change)
}

// Cursor is the position after an item in the order of revision and key. The zero value is
// the position before all items.
type Cursor struct {
	Revision int64
	Key      string
}

// cursorAfter returns the position after an item.
func cursorAfter(it Item) Cursor { return Cursor{Revision: it.Revision, Key: it.Key} }

func (c Cursor) compare(d Cursor) int {
	return cmp.Or(cmp.Compare(c.Revision, d.Revision), cmp.Compare(c.Key, d.Key))
}

// Since returns the changes after a revision that come after from in the order of revision
// and key, and a channel that is closed at the next change. If tombstones after that
// revision may be missing, it returns the full content. Of the full content, items removed
// while it is read page by page are listed as tombstones on the later pages.
func (m *Mirror) Since(after int64, from Cursor) (Update, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.compacted {
		after = 0
	}
	u := Update{After: after, Revision: m.revision, Age: m.now() - m.confirmedAt}
	for _, it := range m.items {
		listed := after > 0 || !it.Removed || from != Cursor{}
		if it.Revision > after && listed && cursorAfter(it.Item).compare(from) > 0 {
			u.Items = append(u.Items, it.Item)
		}
	}
	slices.SortFunc(u.Items, func(a, b Item) int { return cursorAfter(a).compare(cursorAfter(b)) })
	return u, m.changed
}

// Version returns the version of the configuration in force, or 0.
func (m *Mirror) Version() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.config == nil {
		return 0
	}
	return m.config.Version
}

// State returns the mirror's revision and how long ago the store confirmed it.
func (m *Mirror) State() (revision int64, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.now() - m.confirmedAt
}
