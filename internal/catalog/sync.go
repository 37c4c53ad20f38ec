package catalog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/policy/delegate"
	peer "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// ErrHistoryGone means that the store no longer has the changes after a revision, so the
// full content must be read.
var ErrHistoryGone = errors.New("the store's history does not reach back to the revision")

// ErrTooManyChanges means that the changes after a revision exceed what is read of one reply, so the
// full content must be read, which comes in pages.
var ErrTooManyChanges = errors.New("too many changes in one reply of the store")

var errEarlierEra = errors.New("the store replies from an earlier era")

// Source is the platform's store.
type Source interface {
	// Read returns the full content.
	Read(ctx context.Context) (Update, error)
	// Watch returns the changes after a revision. It waits up to wait for the first one. If the
	// store is in another era now, they are changes of that one.
	Watch(ctx context.Context, after int64, wait time.Duration) (Update, error)
}

// Peers are the other VMs.
type Peers interface {
	Call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error)
}

// Timeouts, intervals and bounds of synchronization.
const (
	// watchWait is how long one watch of the store waits for a change. A dead connection
	// is detected only when the watch times out, so this is well below the time within
	// which a configuration must be in force.
	watchWait = 900 * time.Millisecond
	// callSlack is how much longer than its wait a watch or pull may take.
	callSlack = 500 * time.Millisecond
	// readTimeout bounds a read of the full content.
	readTimeout = 3 * time.Second
	// minWatchInterval is the least time from the start of a watch that brought changes to
	// the next one. Heartbeats change items all the time, and each call counts against the
	// store's rate limit.
	minWatchInterval = 400 * time.Millisecond
	// pullWait is how long a peer may hold a pull while it waits for a change.
	pullWait = time.Second
	// staleAfter is the age of a reader's content at which the next source is tried. The
	// content of a reader that reaches the store is at most watchWait plus minWatchInterval
	// old, and the store may take 250 ms to reply.
	staleAfter = 1800 * time.Millisecond
	// relayedStaleAfter is the same for the content of a relay, which pulled it from a reader
	// at most pullWait ago.
	relayedStaleAfter = staleAfter + pullWait + 200*time.Millisecond
	// failedSourceTTL is how long a failed source is tried after the others. It is long
	// enough for a few updates of the membership, which remove a VM that is gone.
	failedSourceTTL = 5 * time.Second
	// retryPause is the mean pause after a failure and the least pause after changes.
	retryPause = 200 * time.Millisecond
	// A VM that knows no other VM calls the store again only aloneWait after its first read: VMs
	// that start together learn of each other sooner, and each call of the store is billed.
	aloneWait = 500 * time.Millisecond
	// For announceAfterCopy after the store came back from a copy, its reader announces the version
	// in force each announceInterval: the operators may take that long to publish it again.
	announceAfterCopy = 30 * time.Second
	announceInterval  = 4 * time.Second
	// directReadInterval is the least time between two reads or watches of the store by a
	// VM that has readers to pull from.
	directReadInterval = 1200 * time.Millisecond
)

// SyncOptions configure a Sync.
type SyncOptions struct {
	Mirror *Mirror
	Source Source
	Peers  Peers
	// Sources returns where this VM learns what the store holds.
	Sources func() delegate.Sources
	// FleetSize returns the number of live VMs.
	FleetSize func() int
	// SetStoreUnreachable is called after each access to the store with whether that failed.
	SetStoreUnreachable func(unreachable bool)
	// AnnounceVersion announces to all VMs that this one has read a newer version of the
	// configuration from the store.
	AnnounceVersion func(version int)
	Now             func() time.Duration
	Log             *log.Logger
}

// Sync keeps a mirror up to date: readers watch the store, other VMs pull from a reader, and
// all pull at once from a VM that announces a newer version of the configuration. Run must
// run in one goroutine only; Announced and Handle are safe for concurrent use.
type Sync struct {
	o            SyncOptions
	announced    announcements
	firstReadAt  time.Duration // when the store first replied; 0 if it has not
	directReadAt time.Duration // when readDirectly last accessed the store
	eraAt        time.Duration // when this VM saw that the store came back from a copy; 0 for never
	announcedAt  time.Duration // when this VM last announced a version
	lastSource   string        // for the log
	lastFailed   string        // for the log; empty once that source works again
	packer       packer
	failedAt     map[string]time.Duration
}

// NewSync returns a Sync; Run starts it.
func NewSync(o SyncOptions) *Sync {
	return &Sync{
		o: o, directReadAt: -directReadInterval, failedAt: map[string]time.Duration{},
		announced: announcements{versions: map[string]int{}},
	}
}

// Run synchronizes the mirror until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// A newer announcement ends the wait for the source in use.
		roundCtx, cancel := context.WithCancel(ctx)
		if vm, version := s.announced.newest(s.o.Mirror.Version(), cancel); vm != "" {
			s.pullAnnounced(ctx, vm, version)
		} else {
			s.syncOnce(roundCtx)
		}
		cancel()
	}
}

// syncOnce synchronizes with the store if this VM is a reader, else with another VM.
func (s *Sync) syncOnce(ctx context.Context) {
	sources := s.o.Sources()
	alone := len(sources.VMs) == 0
	if alone && s.firstReadAt > 0 && s.o.Now()-s.firstReadAt < aloneWait {
		pause.Sleep(ctx, pause.Jitter(retryPause/4))
		return
	}
	if sources.ReadsStore || alone {
		s.syncWithStore(ctx)
		if s.o.Mirror.Version() == 0 && !alone {
			// This VM started while the store is down: it serves what the others have in force.
			s.pullAny(ctx, s.orderSources(sources.VMs), staleAfter)
		}
		return
	}
	maxAge := staleAfter
	if sources.Relayed {
		maxAge = relayedStaleAfter
	}
	if !s.pullAny(ctx, s.orderSources(sources.VMs), maxAge) {
		s.readDirectly(ctx)
	}
}

// readDirectly reads the store when no reader is up to date. directReadInterval limits how
// often, and in a large fleet only some VMs read at a time: what one of them finds, it
// announces.
func (s *Sync) readDirectly(ctx context.Context) {
	if now := s.o.Now(); now-s.directReadAt >= directReadInterval {
		s.directReadAt = now
		if rand.Float64() < delegate.DirectReadChance(s.o.FleetSize()) {
			s.syncWithStore(ctx)
			return
		}
	}
	pause.Sleep(ctx, pause.Jitter(retryPause))
}

// syncWithStore applies one read or watch of the store, then pauses if it failed or
// brought changes.
func (s *Sync) syncWithStore(ctx context.Context) {
	at, _ := s.o.Mirror.State()
	start := s.o.Now()
	u, err := s.fetch(ctx, at)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.logLost("store", err)
		s.o.SetStoreUnreachable(true)
		pause.Sleep(ctx, pause.Jitter(retryPause))
		return
	}
	s.o.SetStoreUnreachable(false)
	if s.firstReadAt == 0 {
		s.firstReadAt = s.o.Now()
	}
	before := s.o.Mirror.Version()
	s.applyFrom("store", u)
	if at.Era > 0 && u.Era > at.Era {
		s.eraAt, s.announcedAt = s.o.Now(), 0
		s.o.Log.Warn("the store came back from a copy", "era", u.Era, "revision", u.Revision,
			"era_before", at.Era, "revision_before", at.Revision, "version", before)
	}
	s.announceVersion(before)
	if len(u.Items) > 0 {
		pause.Sleep(ctx, max(minWatchInterval-(s.o.Now()-start), retryPause))
	}
}

// announceVersion announces the version in force if it is newer than before, and at intervals for
// a while after the store came back from a copy, which may hold an older one. A first read
// is not announced: when a whole fleet starts, every VM reads the store.
func (s *Sync) announceVersion(before int) {
	now, version := s.o.Now(), s.o.Mirror.Version()
	again := s.eraAt > 0 && now-s.eraAt < announceAfterCopy && (s.announcedAt == 0 || now-s.announcedAt >= announceInterval)
	if before > 0 && (version > before || again) {
		s.announcedAt = now
		s.o.AnnounceVersion(version)
	}
}

// fetch reads or watches the store, for a VM that knows it up to a position.
func (s *Sync) fetch(ctx context.Context, at Position) (u Update, err error) {
	if at.Revision == 0 {
		return s.read(ctx)
	}
	u, err = s.watch(ctx, at.Revision)
	if errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrTooManyChanges) || err == nil && u.Era != at.Era {
		s.o.Log.Info("changes not known, reading anew", "era", at.Era, "revision", at.Revision, "watch", err)
		u, err = s.read(ctx)
	}
	if err == nil && u.Era < at.Era {
		return Update{}, fmt.Errorf("%w: %d, known %d", errEarlierEra, u.Era, at.Era)
	}
	return u, err
}

func (s *Sync) watch(ctx context.Context, after int64) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callSlack)
	defer cancel()
	return s.o.Source.Watch(ctx, after, watchWait)
}

func (s *Sync) read(ctx context.Context) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.o.Source.Read(ctx)
}

// orderSources moves the sources that failed within failedSourceTTL to the end, because a
// silent one costs a full call timeout.
func (s *Sync) orderSources(sources []string) []string {
	now := s.o.Now()
	for vm, at := range s.failedAt {
		if now-at > failedSourceTTL {
			delete(s.failedAt, vm)
		}
	}
	healthy, failed := []string{}, []string{}
	for _, vm := range sources {
		if _, ok := s.failedAt[vm]; ok {
			failed = append(failed, vm)
		} else {
			healthy = append(healthy, vm)
		}
	}
	return append(healthy, failed...)
}

// pullAny pulls from the sources in order until one replies with content younger than
// maxAge. It reports whether one did or ctx ended; stale content is applied as well.
func (s *Sync) pullAny(ctx context.Context, sources []string, maxAge time.Duration) bool {
	for _, vm := range sources {
		u, err := s.pull(ctx, vm, pullWait, maxAge)
		if ctx.Err() != nil {
			return true
		}
		if err != nil {
			s.logLost(vm, err)
			s.failedAt[vm] = s.o.Now()
			continue
		}
		if at, _ := s.o.Mirror.State(); u.Revision == 0 || u.Era < at.Era {
			continue
		}
		s.applyFrom(vm, u)
		if u.Age < maxAge {
			return true
		}
	}
	return false
}

// applyFrom applies an update and logs a change of source.
func (s *Sync) applyFrom(source string, u Update) {
	if s.lastSource != source || s.lastFailed == source {
		s.o.Log.Info("following", "source", source, "era", u.Era, "revision", u.Revision, "age_ms", u.Age.Milliseconds())
		s.lastSource, s.lastFailed = source, ""
	}
	if !s.o.Mirror.Apply(u) {
		s.o.Log.Debug("update not applied", "source", source, "era", u.Era, "after", u.After, "revision", u.Revision)
	}
}

func (s *Sync) logLost(source string, err error) {
	if s.lastFailed == source {
		return
	}
	s.lastFailed = source
	_, age := s.o.Mirror.State()
	s.o.Log.Warn("source lost", "source", source, "age_ms", age.Milliseconds(), "err", err)
}
