// Package rollout keeps the manifest in force on this VM: it hears of heads from
// the platform and from peers, fetches parts by digest from either, and swaps a
// manifest in once it is newer, whole and settled. The manifest in force is an
// atomic pointer; one lock guards the gate, the texts and the fetches under way.
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

// HeadFact is the key of the fact that names the newest head a VM has heard of.
const HeadFact = "head"

const (
	headTTL     = 60 * time.Second
	headRefresh = 20 * time.Second
	maxFetches  = 4
	maxRefused  = 64
	maxTries    = 8
	fetchTime   = 4 * time.Second
	callTime    = time.Second
)

// Peers is what the keeper needs of the other VMs.
type Peers interface {
	// Call sends a request to a VM by name and waits for the reply.
	Call(ctx context.Context, vm string, m *peer.Message) (*peer.Message, error)
	// Names lists the other VMs, nearest first.
	Names() []string
	// Put states a fact.
	Put(key, value string, ttl time.Duration)
}

// Source is what the keeper needs of the platform.
type Source interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	Watch(ctx context.Context, key, tag string, wait time.Duration) (platform.Value, bool, error)
}

// Options configures a Keeper.
type Options struct {
	Peers  Peers
	Source Source
	// Relay reports whether this VM watches the platform for the others.
	Relay func() bool
	// Wait is the longest time of one watch.
	Wait time.Duration
	// Apply takes each manifest that comes into force, in order.
	Apply func(*manifest.Manifest)
	// Unchecked takes whatever comes, in any order: for experiments only.
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

	mu       sync.Mutex
	gate     generation.Gate
	newest   generation.Head
	toldTorn int // last torn generation that the others were told of
	texts    map[string][]byte
	fetching map[generation.Head]bool
	refused  map[generation.Head]bool
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

// Hear takes the head that a peer has heard of.
func (k *Keeper) Hear(ctx context.Context, from, value string) {
	h, ok := ParseHeadFact(value)
	if !ok {
		return
	}
	k.offer(ctx, h, nil, from)
}

// HearText takes a head as the platform published it.
func (k *Keeper) HearText(ctx context.Context, text []byte) {
	head, err := manifest.ParseHead(text)
	if err != nil {
		k.metrics.refused.WithLabelValues("invalid").Inc()
		k.o.Log.Error("head refused", "reason", err)
		return
	}
	k.offer(ctx, generation.Head{Generation: head.Generation, Digest: manifest.Digest(text)}, text, "")
}

// offer decides on a head and, where it is new, fetches it in the background.
func (k *Keeper) offer(ctx context.Context, h generation.Head, text []byte, from string) {
	if !k.admit(h, from == "") {
		return
	}
	go func() {
		defer k.done(h)
		for range maxTries {
			err := k.take(ctx, h, text, from)
			if err == nil || !k.worthRetrying(h) {
				return
			}
			k.o.Log.Warn("manifest not taken", "generation", h.Generation, "digest", h.Digest, "reason", err)
			pause.For(ctx, pause.Spread(minBackoff))
		}
	}()
}

// worthRetrying reports whether a head that was not taken may still be.
func (k *Keeper) worthRetrying(h generation.Head) bool {
	if generation.Decide(k.inForce(), h) != generation.Newer {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.refused[h] && !k.gate.Torn(h.Generation)
}

// admit reports whether a head is worth fetching, and marks it as being fetched. A
// head that the platform told of is told to the others; one that they told of is not,
// since facts reach all by themselves.
func (k *Keeper) admit(h generation.Head, fromPlatform bool) bool {
	verdict := generation.Decide(k.inForce(), h)
	if k.o.Unchecked && verdict != generation.Same {
		verdict = generation.Newer
	}
	if verdict == generation.Conflict {
		k.conflict(h)
	}
	if verdict == generation.Older {
		k.metrics.refused.WithLabelValues("older").Inc()
	}
	if verdict != generation.Newer {
		return false
	}
	torn, news := k.hear(h)
	if news && fromPlatform {
		k.announce(h)
	}
	if torn && !k.o.Unchecked {
		k.conflict(h)
		return false
	}
	return k.startFetch(h)
}

// hear notes a head. It reports whether its generation is torn, and whether the
// others are to be told: of the newest head, and once of the second digest of a torn
// generation, since they may have heard of the first only.
func (k *Keeper) hear(h generation.Head) (torn, news bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	torn = k.gate.Hear(clock.Boot(), h)
	if h.Generation > k.newest.Generation {
		k.newest = h
		return torn, true
	}
	if torn && h.Generation > k.toldTorn {
		k.toldTorn = h.Generation
		return torn, true
	}
	return torn, false
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

func (k *Keeper) conflict(h generation.Head) {
	k.metrics.refused.WithLabelValues("conflict").Inc()
	k.o.Log.Error("two manifests of one generation; commit a higher generation",
		"generation", h.Generation, "digest", h.Digest)
}

func (k *Keeper) done(h generation.Head) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.fetching, h)
}

// announce states a head to the other VMs. Watchers of facts are called on the way,
// so the lock must not be held.
func (k *Keeper) announce(h generation.Head) {
	k.o.Peers.Put(HeadFact, fmt.Sprintf("%d %s", h.Generation, h.Digest), headTTL)
}

// take fetches a head and its parts, builds the manifest, waits until it has
// settled and puts it in force.
func (k *Keeper) take(ctx context.Context, h generation.Head, text []byte, from string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
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
	if err := k.settle(ctx, h); err != nil {
		return err
	}
	k.swap(h, m, text, texts)
	return nil
}

// settle waits until the gate lets the head pass.
func (k *Keeper) settle(ctx context.Context, h generation.Head) error {
	if k.o.Unchecked {
		return nil
	}
	timer := time.NewTimer(generation.Settle)
	defer timer.Stop()
	for {
		k.mu.Lock()
		ripe, torn := k.gate.Ripe(clock.Boot(), h), k.gate.Torn(h.Generation)
		k.mu.Unlock()
		if torn {
			k.conflict(h)
			return fmt.Errorf("generation %d was committed twice", h.Generation)
		}
		if ripe {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(generation.Settle / 10)
		}
	}
}

// swap puts a manifest in force unless a newer one got there first.
func (k *Keeper) swap(h generation.Head, m *manifest.Manifest, text []byte, texts map[string][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if generation.Decide(k.inForce(), h) != generation.Newer && !k.o.Unchecked {
		return
	}
	k.keepTexts(h, text, texts)
	k.gate.Forget(h.Generation)
	k.current.Store(m)
	k.metrics.generation.Set(float64(h.Generation))
	k.metrics.accepted.Inc()
	k.o.Apply(m)
	k.o.Log.Info("manifest in force", "generation", h.Generation, "digest", h.Digest)
}

// keepTexts holds the texts of the manifest in force for peers that ask.
func (k *Keeper) keepTexts(h generation.Head, text []byte, fresh map[string][]byte) {
	kept := map[string][]byte{h.Digest: text}
	head, err := manifest.ParseHead(text)
	if err != nil {
		panic(fmt.Sprintf("rollout: head built but does not parse: %v", err))
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
