// Package rollout keeps the manifest in force on this VM. It learns of heads from the
// platform and from peers, fetches parts by digest from either, and puts a manifest in
// force once it is newer, complete, valid and was delayed by generation.SettleTime. A Keeper
// is safe for concurrent use: the manifest in force is an atomic pointer, and one lock
// guards the other state.
package rollout

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/platform"
	"github.com/sardinespindle/sardinespindle/internal/policy/generation"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// HeadFact is the key of the fact that holds the newest head known to a VM.
const HeadFact = "head"

const (
	headTTL             = 60 * time.Second
	headRefreshInterval = 20 * time.Second
	maxFetches          = 4  // at one time
	maxRefused          = 64 // heads recorded as invalid; the record is emptied when full
	maxAttempts         = 8
	fetchTimeout        = 4 * time.Second
	callTimeout         = time.Second
)

// Peers reaches the other VMs.
type Peers interface {
	// Call sends a request to a VM by name and waits for the reply.
	Call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error)
	// Names lists the other VMs, nearest first.
	Names() []string
	// Put publishes a fact of this VM, which expires after ttl.
	Put(key, value string, ttl time.Duration)
}

// Source reads values of the platform; platform.Client implements it.
type Source interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	Watch(ctx context.Context, key, tag string, wait time.Duration) (platform.Value, bool, error)
}

// Options configures a Keeper.
type Options struct {
	Peers  Peers
	Source Source
	// Relay reports whether this VM watches the platform and forwards to its zone.
	Relay func() bool
	// Wait is the longest time that one Watch call waits for a change.
	Wait time.Duration
	// Apply receives each manifest that comes into force, in order and under the lock
	// of the Keeper, so it must not call Handle or ReceiveFact.
	Apply func(*manifest.Manifest)
	// Unchecked accepts any valid manifest at once, also an older or a conflicting one:
	// for experiments only.
	Unchecked  bool
	Log        *log.Logger
	Registerer prometheus.Registerer
}

// Keeper keeps the manifest in force.
type Keeper struct {
	o       Options
	builder *manifest.Builder
	current atomic.Pointer[manifest.Manifest]
	metrics metrics

	mu                sync.Mutex // guards the fields below
	gate              generation.Gate
	newest            generation.Head   // highest generation learned of
	announcedConflict int               // highest generation announced as committed twice
	texts             map[string][]byte // head and parts in force, by digest
	fetching          map[generation.Head]bool
	refused           map[generation.Head]bool // found invalid
}

type metrics struct {
	generation prometheus.Gauge
	accepted   prometheus.Counter
	refused    *prometheus.CounterVec
}

// New returns a Keeper with no manifest in force.
func New(o Options) *Keeper {
	k := &Keeper{
		o:        o,
		builder:  manifest.NewBuilder(),
		texts:    make(map[string][]byte),
		fetching: make(map[generation.Head]bool),
		refused:  make(map[generation.Head]bool),
		metrics: metrics{
			generation: prometheus.NewGauge(prometheus.GaugeOpts{
				Name: "spindle_manifest_generation",
				Help: "Generation of the manifest in force; 0 for none.",
			}),
			accepted: prometheus.NewCounter(prometheus.CounterOpts{
				Name: "spindle_manifest_accepted_total",
				Help: "Manifests that came into force.",
			}),
			refused: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "spindle_manifest_refused_total",
				Help: "Manifests refused, by reason: older, conflict, invalid.",
			}, []string{"reason"}),
		},
	}
	if o.Registerer != nil {
		o.Registerer.MustRegister(k.metrics.generation, k.metrics.accepted, k.metrics.refused)
	}
	return k
}

// Current returns the manifest in force, nil for none.
func (k *Keeper) Current() *manifest.Manifest { return k.current.Load() }

// Head returns the generation and digest in force; 0 and "" for none.
func (k *Keeper) Head() (int, string) {
	m := k.Current()
	if m == nil {
		return 0, ""
	}
	return m.Generation, m.Digest
}

func (k *Keeper) inForce() generation.Head {
	n, digest := k.Head()
	return generation.Head{Generation: n, Digest: digest}
}

// ParseHeadFact decodes the value of a head fact.
func ParseHeadFact(value string) (generation.Head, bool) {
	number, digest, ok := strings.Cut(value, " ")
	if !ok {
		return generation.Head{}, false
	}
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || len(digest) != 64 {
		return generation.Head{}, false
	}
	return generation.Head{Generation: n, Digest: digest}, true
}

// ReceiveFact processes a head fact of a peer.
func (k *Keeper) ReceiveFact(ctx context.Context, from, value string) {
	h, ok := ParseHeadFact(value)
	if !ok {
		return
	}
	k.offer(ctx, h, nil, from)
}

// receiveHead processes a head as the platform published it.
func (k *Keeper) receiveHead(ctx context.Context, text []byte) {
	head, err := manifest.ParseHead(text)
	if err != nil {
		k.metrics.refused.WithLabelValues("invalid").Inc()
		k.o.Log.Error("head refused", "reason", err)
		return
	}
	k.offer(ctx, generation.Head{Generation: head.Generation, Digest: manifest.Digest(text)}, text, "")
}

// offer decides on a head and, if it is new, fetches and applies it in the background.
// An empty from stands for the platform.
func (k *Keeper) offer(ctx context.Context, h generation.Head, text []byte, from string) {
	if !k.admit(h, from == "") {
		return
	}
	go func() {
		defer k.endFetch(h)
		for range maxAttempts {
			err := k.fetchAndApply(ctx, h, text, from)
			if err == nil || !k.worthRetrying(h) {
				return
			}
			k.o.Log.Warn("manifest not taken", "generation", h.Generation, "digest", h.Digest, "reason", err)
			pause.Sleep(ctx, pause.Jitter(minBackoff))
		}
	}()
}

// worthRetrying reports whether a head that was not applied may be applied later: it must be
// newer than the one in force and not known to be invalid, and its generation must not be
// committed twice.
func (k *Keeper) worthRetrying(h generation.Head) bool {
	if generation.Decide(k.inForce(), h) != generation.Newer {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.refused[h] && !k.gate.Conflicting(h.Generation)
}

// admit reports whether a head is worth fetching, and marks it as being fetched. A
// head from the platform is announced to the other VMs; one from a peer is not, since
// gossip already spreads that peer's fact to all.
func (k *Keeper) admit(h generation.Head, fromPlatform bool) bool {
	verdict := generation.Decide(k.inForce(), h)
	if k.o.Unchecked && verdict != generation.Same {
		verdict = generation.Newer
	}
	if verdict == generation.Conflict {
		k.reportConflict(h)
	}
	if verdict == generation.Older {
		k.metrics.refused.WithLabelValues("older").Inc()
	}
	if verdict != generation.Newer {
		return false
	}
	conflicting, announce := k.recordHead(h)
	if announce && fromPlatform {
		k.announce(h)
	}
	if conflicting && !k.o.Unchecked {
		k.reportConflict(h)
		return false
	}
	return k.startFetch(h)
}

// recordHead records a head at the gate. It reports whether the generation was committed with
// two digests, and whether to announce the head. The newest head is announced. The second
// digest of a generation is announced once, since other VMs may know only the first.
func (k *Keeper) recordHead(h generation.Head) (conflicting, announce bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	conflicting = k.gate.Offer(clock.Boot(), h)
	if h.Generation > k.newest.Generation {
		k.newest = h
		return conflicting, true
	}
	if conflicting && h.Generation > k.announcedConflict {
		k.announcedConflict = h.Generation
		return conflicting, true
	}
	return conflicting, false
}

func (k *Keeper) startFetch(h generation.Head) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.refused[h] || k.fetching[h] || len(k.fetching) >= maxFetches {
		return false
	}
	k.fetching[h] = true
	return true
}

func (k *Keeper) reportConflict(h generation.Head) {
	k.metrics.refused.WithLabelValues("conflict").Inc()
	k.o.Log.Error("two manifests of one generation; commit a higher generation",
		"generation", h.Generation, "digest", h.Digest)
}

func (k *Keeper) endFetch(h generation.Head) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.fetching, h)
}

// announce publishes a head to the other VMs as a fact. Put calls the watchers of the
// fact, which may call the Keeper, so the lock must not be held.
func (k *Keeper) announce(h generation.Head) {
	k.o.Peers.Put(HeadFact, fmt.Sprintf("%d %s", h.Generation, h.Digest), headTTL)
}

// fetchAndApply fetches a head and its parts, builds the manifest, waits until the gate
// passes it and puts it in force.
func (k *Keeper) fetchAndApply(ctx context.Context, h generation.Head, text []byte, from string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if text == nil {
		var err error
		text, err = k.fetchHead(ctx, h, from)
		if err != nil {
			return err
		}
	}
	texts, err := k.fetchParts(ctx, text, from)
	if err != nil {
		return err
	}
	m, err := k.builder.Build(text, texts)
	if err != nil {
		k.refuse(h, err)
		return err
	}
	if err := k.waitUntilSettled(ctx, h); err != nil {
		return err
	}
	k.swap(h, m, text, texts)
	return nil
}

// waitUntilSettled waits until the gate has held the head for generation.SettleTime. It
// fails if a second digest of the generation arrives meanwhile.
func (k *Keeper) waitUntilSettled(ctx context.Context, h generation.Head) error {
	if k.o.Unchecked {
		return nil
	}
	timer := time.NewTimer(generation.SettleTime)
	defer timer.Stop()
	for {
		k.mu.Lock()
		settled, conflicting := k.gate.Settled(clock.Boot(), h), k.gate.Conflicting(h.Generation)
		k.mu.Unlock()
		if conflicting {
			k.reportConflict(h)
			return fmt.Errorf("generation %d was committed twice, with different digests", h.Generation)
		}
		if settled {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(generation.SettleTime / 10)
		}
	}
}

// swap puts a manifest in force unless one at least as new is in force by now.
func (k *Keeper) swap(h generation.Head, m *manifest.Manifest, text []byte, texts map[string][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if generation.Decide(k.inForce(), h) != generation.Newer && !k.o.Unchecked {
		return
	}
	k.storeTexts(h, text, texts)
	k.gate.DropBelow(h.Generation)
	k.current.Store(m)
	k.metrics.generation.Set(float64(h.Generation))
	k.metrics.accepted.Inc()
	k.o.Apply(m)
	k.o.Log.Info("manifest in force", "generation", h.Generation, "digest", h.Digest)
}

// storeTexts replaces the texts served to peers by those of the manifest in force. Parts
// that were not fetched anew are taken over from the manifest before.
func (k *Keeper) storeTexts(h generation.Head, text []byte, fresh map[string][]byte) {
	kept := map[string][]byte{h.Digest: text}
	head, err := manifest.ParseHead(text)
	if err != nil {
		panic(fmt.Sprintf("rollout: head of a built manifest does not parse: %v", err))
	}
	for _, ref := range head.Parts {
		digest := string(ref.Digest)
		if body, ok := fresh[digest]; ok {
			kept[digest] = body
		} else if body, ok := k.texts[digest]; ok {
			kept[digest] = body
		}
	}
	k.texts = kept
}

func (k *Keeper) refuse(h generation.Head, err error) {
	k.metrics.refused.WithLabelValues("invalid").Inc()
	k.o.Log.Error("manifest refused", "generation", h.Generation, "digest", h.Digest, "reason", err)
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.refused) >= maxRefused {
		clear(k.refused)
	}
	k.refused[h] = true
}
