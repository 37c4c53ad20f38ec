package catalog

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Item is one item of the store as published at a position. A Removed item is a tombstone
// without a value.
type Item struct {
	Position
	Key     string
	Value   []byte
	Removed bool
}

// Decoder decodes the values of the platform's items.
type Decoder interface {
	// IsConfig reports whether the item with a key is the configuration.
	IsConfig(key string) bool
	// Config decodes the configuration; false if the item is of another kind.
	Config(Item) (*Config, bool, error)
	// Entry decodes an upstream's entry; false if the item is of another kind.
	Entry(Item) (Entry, bool, error)
	// Evacuation returns the zone whose evacuation the item with a key requests; false if the item is
	// of another kind. The item's value has no meaning.
	Evacuation(key string) (zone string, ok bool)
	// Equivalent reports whether two values of an item differ only in fields that change
	// with each heartbeat.
	Equivalent(a, b []byte) bool
}

// Mirror is a local copy of the store's items up to one position. It is safe for
// concurrent use.
//
// When the store comes back from a copy, the mirror keeps what the copy lacks: the configuration in
// force until a newer one is published, an upstream's entry for keepTime, an evacuation for
// evacuationKeepTime. An upstream that the mirror knows as draining or gone stays so for doubtTime,
// unless its entry changes in the new era. An evacuation that the copy holds is in force.
type Mirror struct {
	decoder         Decoder
	now             func() time.Duration
	compileInterval time.Duration
	onChange        func(*Catalog, Change)

	mu     sync.Mutex // guards the fields below
	items  map[string]storedItem
	config *Config
	// bounded are the services of config whose cold upstreams have a bound; nil if there are none.
	bounded map[string]bool
	// position is the point up to which items include all changes except heartbeats;
	// confirmedAt is when the store last confirmed that position as its latest.
	position    Position
	confirmedAt time.Duration
	// eraSince is when the mirror first got content of the current era, eraStart the store's
	// revision when a VM first listed it then: later changes are not of the copy.
	eraSince time.Duration
	eraStart int64
	// doubted are the entries of the copy that contradict what the mirror knows.
	doubted map[string]Item
	// compacted is the position up to which tombstones may be missing. Changes can be
	// listed only from there on.
	compacted Position
	changed   chan struct{} // closed at the next change
	// compiled is the last catalog, nil for none, and compiledAt when it was compiled. delayed says
	// that a timer compiles the next one.
	compiled   *Catalog
	compiledAt time.Duration
	delayed    bool
}

// DefaultCompileInterval is the least time between two catalogs of one version. While
// upstreams are replaced, entries change many times a second, and compiling a catalog of some
// hundred upstreams takes a small VM tens of milliseconds.
const DefaultCompileInterval = 400 * time.Millisecond

const (
	// keepTime is how long entries that a copy lacks are kept: upstreams that live and reach the
	// store write theirs again within 2 s, and a reader gets them within minWatchInterval.
	keepTime = 2500 * time.Millisecond
	// evacuationKeepTime is how long an evacuation that a copy lacks is kept: operators may take that
	// long to publish it again.
	evacuationKeepTime = 30 * time.Second
	// doubtTime is longer than the store keeps the entry of an upstream that is gone: three
	// heartbeats after its return.
	doubtTime = 6 * time.Second
)

// storedItem is an item with its decoded entry, so that each value is decoded only once.
type storedItem struct {
	Item
	entry   Entry
	isEntry bool
	heard   heartbeat // of the entry
	// evacuates is the zone whose evacuation the item requests; empty for other items and tombstones.
	evacuates string
	err       error // why the value could not be decoded
}

// maxTombstones is several times the number of entries that a fleet of a thousand upstreams
// replaces in an hour. A VM that lags further behind gets the full content.
const maxTombstones = 4096

// Change summarizes a new catalog for the log.
type Change struct {
	Position
	Version int
	// Upstreams counts the valid entries of upstreams, Draining those of them that drain.
	Upstreams, Draining int
	// EmptyZones are the evacuated zones without upstreams, sorted.
	EmptyZones []string
	// Refused maps the key of each item that could not be decoded to the reason.
	Refused map[string]error
}

// NewMirror returns an empty mirror. It calls onChange with each new catalog, one call at
// a time and with the mirror's lock held, so onChange must not call the mirror. A catalog
// follows a change at once if the version or the set of evacuated zones is new, else at most
// compileInterval later.
func NewMirror(d Decoder, now func() time.Duration, compileInterval time.Duration, onChange func(*Catalog, Change)) *Mirror {
	return &Mirror{
		decoder: d, now: now, compileInterval: compileInterval, onChange: onChange,
		items: map[string]storedItem{}, doubted: map[string]Item{}, changed: make(chan struct{}),
	}
}

// Update is the full content of the store, or the changes after a revision.
type Update struct {
	// Position is the point up to which the update includes all changes.
	Position
	// After is the revision, of the same era, after which the items changed; 0 for the full
	// content.
	After int64
	// EraStart is the store's revision when it was first listed in the era; 0 if the update is
	// from the store itself.
	EraStart int64
	Items    []Item
	// Age is how long ago the store confirmed Position.
	Age time.Duration
}

// Apply merges an update. It reports false and changes no item in two cases: the update
// starts after the mirror's position, so changes in between would be lost, or it is full
// content older than that position.
func (m *Mirror) Apply(u Update) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.After > 0 && (u.Era != m.position.Era || u.After > m.position.Revision) || u.After == 0 && u.before(m.position) {
		return false
	}
	if at := m.now() - u.Age; !u.before(m.position) && at > m.confirmedAt {
		m.confirmedAt = at
	}
	newEra := u.Era > m.position.Era
	if newEra {
		m.eraSince, m.eraStart, m.doubted = m.now(), cmp.Or(u.EraStart, u.Revision), map[string]Item{}
	}
	changed := m.merge(u.Items, u.EraStart != 0)
	if u.After == 0 {
		changed = m.dropUnlisted(u) || changed
		m.compacted = u.Position
	}
	if m.position.before(u.Position) {
		m.position = u.Position
	}
	changed = m.endEraChange() || changed
	if changed {
		m.pruneTombstones()
		m.publish()
	}
	return true
}

// merge stores each item that is newer than the mirror's, unless only a heartbeat changed
// it. relayed says that the items are from another VM. The caller holds mu.
func (m *Mirror) merge(items []Item, relayed bool) (changed bool) {
	for _, it := range items {
		old, ok := m.items[it.Key]
		switch {
		case m.decoder.IsConfig(it.Key):
			changed = m.mergeConfig(it) || changed
			continue
		case ok && !old.before(it.Position):
			continue
		case ok && !old.Removed && !it.Removed && old.Era == it.Era && m.equivalent(old, it) &&
			!m.becameCold(old, it, relayed):
			continue
		case ok && m.contradictsCopy(old, it):
			m.doubted[it.Key] = it
			continue
		}
		delete(m.doubted, it.Key)
		m.items[it.Key] = m.decodeEntry(it)
		changed = true
	}
	return changed
}

// equivalent reports whether an item changed only in what has no effect on the catalog.
func (m *Mirror) equivalent(old storedItem, it Item) bool {
	return old.evacuates != "" || m.decoder.Equivalent(old.Value, it.Value)
}

// mergeConfig stores the configuration if it is newer than the one in force. An item of the
// same or an older version never replaces that: a store that has come back from a copy may hold
// one. The caller holds mu.
func (m *Mirror) mergeConfig(it Item) (changed bool) {
	if it.Removed {
		return false
	}
	old, known := m.items[it.Key]
	config, _, err := m.decoder.Config(it)
	switch {
	case err == nil && (m.config == nil || config.Version > m.config.Version):
		m.config, m.bounded = config, boundedServices(config)
		m.items[it.Key] = storedItem{Item: it}
		return true
	case err != nil && !known:
		m.items[it.Key] = storedItem{Item: it, err: err}
		return true
	case err != nil && old.err == nil:
		old.err = err
		m.items[it.Key] = old
		return true
	}
	return false
}

// contradictsCopy reports whether an upstream was draining or gone in an earlier era, and an item
// that may come from the copy says otherwise. The caller holds mu.
func (m *Mirror) contradictsCopy(old storedItem, it Item) bool {
	if old.Era >= it.Era || it.Removed || it.Revision > m.eraStart || m.now()-m.eraSince >= doubtTime {
		return false
	}
	if _, ok := m.decoder.Evacuation(it.Key); ok {
		return false // the zone may get requests again once the operators withdraw the evacuation
	}
	return old.Removed || old.isEntry && old.entry.Draining
}

// endEraChange drops what the copy of a new era lacks once it would be back, and gives up doubts
// about what it holds. It relies on content that the store confirmed after that time. It reports
// whether an item changed. The caller holds mu.
func (m *Mirror) endEraChange() (changed bool) {
	since := m.confirmedAt - m.eraSince
	if since >= keepTime {
		for key, it := range m.items {
			if it.Era < m.position.Era && !it.Removed && !m.decoder.IsConfig(key) && m.doubted[key].Key == "" &&
				(it.evacuates == "" || since >= evacuationKeepTime) {
				m.items[key] = storedItem{Item: Item{Position: m.position, Key: key, Removed: true}}
				changed = true
			}
		}
	}
	if since >= doubtTime {
		for key, it := range m.doubted {
			m.items[key] = m.decodeEntry(it)
			changed = true
		}
		clear(m.doubted)
	}
	return changed
}

// decodeEntry returns an item with its decoded entry.
func (m *Mirror) decodeEntry(it Item) storedItem {
	stored := storedItem{Item: it}
	if it.Removed {
		return stored
	}
	if zone, ok := m.decoder.Evacuation(it.Key); ok {
		stored.evacuates = zone
	} else {
		stored.entry, stored.isEntry, stored.err = m.decoder.Entry(it)
		stored.entry.Position, stored.entry.ReadAt = it.Position, m.now()
		stored.heard = newHeartbeat(stored.entry)
	}
	return stored
}

// pruneTombstones drops the older half of the tombstones once there are more than
// maxTombstones. The caller holds mu.
func (m *Mirror) pruneTombstones() {
	var removed []Position
	for _, it := range m.items {
		if it.Removed {
			removed = append(removed, it.Position)
		}
	}
	if len(removed) <= maxTombstones {
		return
	}
	slices.SortFunc(removed, Position.Compare)
	upTo := removed[len(removed)/2]
	for key, it := range m.items {
		if it.Removed && it.Compare(upTo) <= 0 {
			delete(m.items, key)
		}
	}
	if m.compacted.before(upTo) {
		m.compacted = upTo
	}
}

// dropUnlisted replaces each item that the full content does not list with a tombstone,
// except the configuration, items newer than that content, and those of an earlier era, which
// endEraChange drops. The caller holds mu.
func (m *Mirror) dropUnlisted(u Update) (changed bool) {
	listed := make(map[string]bool, len(u.Items))
	for _, it := range u.Items {
		listed[it.Key] = true
	}
	for key, it := range m.items {
		if listed[key] || it.Removed || it.Era != u.Era || it.Revision > u.Revision || m.decoder.IsConfig(key) {
			continue
		}
		m.items[key] = storedItem{Item: Item{Position: u.Position, Key: key, Removed: true}}
		changed = true
	}
	return changed
}

// publish closes the channel that Since returned, and compiles a catalog now or later. The
// caller holds mu.
func (m *Mirror) publish() {
	close(m.changed)
	m.changed = make(chan struct{})
	urgent := m.isUrgent()
	switch wait := m.compiledAt + m.compileInterval - m.now(); {
	case m.config == nil || m.delayed && !urgent:
	case urgent || wait <= 0:
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

// isUrgent reports whether the last catalog is of another version than the configuration, or of another
// set of evacuated zones. The caller holds mu.
func (m *Mirror) isUrgent() bool {
	return m.compiled == nil || m.compiled.Config.Version != m.config.Version || !slices.Equal(m.compiled.Evacuated, m.evacuated())
}

// evacuated returns the evacuated zones, sorted. The caller holds mu.
func (m *Mirror) evacuated() (zones []string) {
	for _, it := range m.items {
		if it.evacuates != "" {
			zones = append(zones, it.evacuates)
		}
	}
	slices.Sort(zones)
	return zones
}

// compile passes a new catalog to onChange. The caller holds mu.
func (m *Mirror) compile() {
	m.compiledAt, m.delayed = m.now(), false
	change := Change{Position: m.position, Refused: map[string]error{}}
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
	evacuated := m.evacuated()
	for _, zone := range evacuated {
		if !slices.ContainsFunc(entries, func(e Entry) bool { return e.Zone == zone }) {
			change.EmptyZones = append(change.EmptyZones, zone)
		}
	}
	c := compile(m.config, entries, evacuated, m.compiled)
	c.KeepEarlier(m.compiled)
	m.compiled = c
	m.onChange(c, change)
}

// Since returns the changes after a position that come after from in the order of position
// and key, and a channel that is closed at the next change. If tombstones after that
// position may be missing, it returns the full content. Of the full content, items removed
// while it is read page by page are listed as tombstones on the later pages. The configuration is
// listed as well if its version is newer than version. To a VM that knows a later era, it
// returns nothing.
func (m *Mirror) Since(after Position, version int, from Cursor) (Update, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := Update{Position: m.position, EraStart: m.eraStart, Age: m.now() - m.confirmedAt}
	if after.Era > m.position.Era {
		u.After = after.Revision
		return u, m.changed
	}
	if !after.before(m.compacted) {
		u.After = after.Revision
	} else {
		after = Position{}
	}
	for key, it := range m.items {
		changed := u.After == 0 && (!it.Removed || from != Cursor{}) || u.After > 0 && after.before(it.Position)
		newer := m.config != nil && m.config.Version > version && m.decoder.IsConfig(key)
		if (changed || newer) && cursorAfter(it.Item).compare(from) > 0 {
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

// State returns the mirror's position and how long ago the store confirmed it.
func (m *Mirror) State() (at Position, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position, m.now() - m.confirmedAt
}
