package catalog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sardinespindle/sardinespindle/internal/pause"
	peer "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// ErrHistoryGone says that the store has forgotten what changed since a revision.
var ErrHistoryGone = errors.New("the store's history does not reach back to the revision")

// Source is the platform's store.
type Source interface {
	// Read returns the whole content.
	Read(ctx context.Context) (Update, error)
	// Watch returns what has changed after a revision, waiting for the first change.
	Watch(ctx context.Context, after int64, wait time.Duration) (Update, error)
}

// Peers are the other VMs.
type Peers interface {
	Call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error)
}

// Times of keeping a mirror up to date.
const (
	// watchWait is how long one watch of the store waits. A connection that has gone
	// silent is found out at its end, so it is well below the time in which a
	// configuration has to be in force.
	watchWait = 900 * time.Millisecond
	// callSlack is how much longer than its wait a call may take.
	callSlack = 500 * time.Millisecond
	// readTimeout bounds the reading of the whole content.
	readTimeout = 3 * time.Second
	// watchPause is the least time between two watches that brought changes: heartbeats
	// change items all the time, and each call counts against the store's rate.
	watchPause = 400 * time.Millisecond
	// pullWait is how long a peer may hold a pull for a change.
	pullWait = time.Second
	// staleAfter is the age of a peer's knowledge from which another source is asked.
	staleAfter = 2500 * time.Millisecond
	// failedFor is how long a source that failed is asked last: a few looks at the members.
	failedFor = 5 * time.Second
	// retryPause is the mean pause after a source failed, and directPause that between
	// two reads of the store by a VM that is no reader.
	retryPause  = 200 * time.Millisecond
	directPause = 1200 * time.Millisecond
	// mostItems is the most items of one message between VMs.
	mostItems = 1000
)

// SyncOptions configure a Sync.
type SyncOptions struct {
	Mirror *Mirror
	Source Source
	Peers  Peers
	// Sources returns the VMs to learn from, the preferred first, and whether this VM reads
	// the store itself.
	Sources func() (vms []string, self bool)
	// Blind is told whether the store answers this VM.
	Blind func(blind bool)
	Now   func() time.Duration
	Log   *log.Logger
}

// Sync keeps a mirror up to date: readers follow the store, and other VMs follow another
// VM. Run uses it from one goroutine.
type Sync struct {
	o        SyncOptions
	directAt time.Duration // last read of the store by a VM that is no reader
	source   string        // the last source, for the log
	failing  string        // the source that failed last, for the log
	failedAt map[string]time.Duration
}

// NewSync returns a Sync.
func NewSync(o SyncOptions) *Sync {
	return &Sync{o: o, directAt: -directPause, failedAt: map[string]time.Duration{}}
}

// Run follows the sources until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sources, self := s.o.Sources()
		if self || len(sources) == 0 {
			s.follow(ctx)
			continue
		}
		if !s.pullAny(ctx, s.order(sources)) {
			s.direct(ctx)
		}
	}
}

// direct reads the store where no reader knows enough, seldom enough for all VMs to do
// so at once.
func (s *Sync) direct(ctx context.Context) {
	if now := s.o.Now(); now-s.directAt >= directPause {
		s.directAt = now
		s.follow(ctx)
		return
	}
	pause.For(ctx, pause.Spread(retryPause))
}

// follow takes one step with the store.
func (s *Sync) follow(ctx context.Context) {
	revision, _ := s.o.Mirror.State()
	begun := s.o.Now()
	u, err := s.fetch(ctx, revision)
	if errors.Is(err, ErrHistoryGone) {
		s.o.Log.Info("history gone, reading anew", "revision", revision)
		u, err = s.read(ctx)
	}
	if err != nil {
		s.lost("store", err)
		s.o.Blind(true)
		pause.For(ctx, pause.Spread(retryPause))
		return
	}
	s.o.Blind(false)
	s.use("store", u)
	if len(u.Items) > 0 {
		pause.For(ctx, max(watchPause-(s.o.Now()-begun), retryPause))
	}
}

func (s *Sync) fetch(ctx context.Context, revision int64) (Update, error) {
	if revision == 0 {
		return s.read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callSlack)
	defer cancel()
	return s.o.Source.Watch(ctx, revision, watchWait)
}

func (s *Sync) read(ctx context.Context) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.o.Source.Read(ctx)
}

// order puts the sources last that failed of late: one that is silent costs a whole wait.
func (s *Sync) order(sources []string) []string {
	now := s.o.Now()
	for vm, at := range s.failedAt {
		if now-at > failedFor {
			delete(s.failedAt, vm)
		}
	}
	sound, failed := []string{}, []string{}
	for _, vm := range sources {
		if _, ok := s.failedAt[vm]; ok {
			failed = append(failed, vm)
		} else {
			sound = append(sound, vm)
		}
	}
	return append(sound, failed...)
}

// pullAny pulls from the first source that answers and is up to date.
func (s *Sync) pullAny(ctx context.Context, sources []string) bool {
	for _, vm := range sources {
		u, err := s.pull(ctx, vm)
		if err != nil {
			s.lost(vm, err)
			s.failedAt[vm] = s.o.Now()
			continue
		}
		if u.Revision > 0 {
			s.use(vm, u)
		}
		if u.Revision > 0 && u.Age < staleAfter {
			return true
		}
	}
	return false
}

func (s *Sync) pull(ctx context.Context, vm string) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, pullWait+callSlack)
	defer cancel()
	revision, _ := s.o.Mirror.State()
	reply, err := s.o.Peers.Call(ctx, vm, &peer.Message{Pull: &peer.Pull{
		After: int(revision), WaitMs: int(pullWait.Milliseconds()),
	}})
	if err != nil {
		return Update{}, err
	}
	if reply.Pulled == nil {
		return Update{}, fmt.Errorf("pull from %s: reply of another kind", vm)
	}
	return fromPulled(reply.Pulled), nil
}

// use takes an update in and logs a change of source.
func (s *Sync) use(source string, u Update) {
	if s.source != source || s.failing == source {
		s.o.Log.Info("following", "source", source, "revision", u.Revision, "age_ms", u.Age.Milliseconds())
		s.source, s.failing = source, ""
	}
	if !s.o.Mirror.Take(u) {
		s.o.Log.Debug("update not used", "source", source, "after", u.After, "revision", u.Revision)
	}
}

func (s *Sync) lost(source string, err error) {
	if s.failing == source {
		return
	}
	s.failing = source
	_, age := s.o.Mirror.State()
	s.o.Log.Warn("source lost", "source", source, "age_ms", age.Milliseconds(), "err", err)
}

// Handle answers the pulls of other VMs.
func (s *Sync) Handle(ctx context.Context, _ string, m *peer.Message) *peer.Message {
	if m.Pull == nil {
		return nil
	}
	wait := min(time.Duration(m.Pull.WaitMs)*time.Millisecond, pullWait)
	u, changed := s.o.Mirror.Since(int64(m.Pull.After))
	if len(u.Items) == 0 && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		u, _ = s.o.Mirror.Since(int64(m.Pull.After))
	}
	return &peer.Message{Pulled: toPulled(u)}
}

func toPulled(u Update) *peer.Pulled {
	p := &peer.Pulled{
		After: int(u.After), Revision: int(u.Revision), AgeMs: int(u.Age.Milliseconds()),
		Items: make([]peer.Published, 0, len(u.Items)),
	}
	for _, it := range u.Items {
		if len(p.Items) == mostItems {
			break
		}
		p.Items = append(p.Items, peer.Published{
			Key: it.Key, Revision: int(it.Revision), Value: string(it.Value), Removed: it.Removed,
		})
	}
	return p
}

func fromPulled(p *peer.Pulled) Update {
	u := Update{
		After: int64(p.After), Revision: int64(p.Revision), Age: time.Duration(p.AgeMs) * time.Millisecond,
		Items: make([]Item, 0, len(p.Items)),
	}
	for _, it := range p.Items {
		u.Items = append(u.Items, Item{
			Key: it.Key, Revision: int64(it.Revision), Value: []byte(it.Value), Removed: it.Removed,
		})
	}
	return u
}
