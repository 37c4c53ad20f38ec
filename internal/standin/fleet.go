package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// Command changes upstreams of a fleet.
type Command struct {
	// Workload and Addresses choose the upstreams; empty ones choose all.
	Workload  string   `json:"workload"`
	Addresses []string `json:"addresses"`
	// Behaviour replaces the behaviour.
	Behaviour *Behaviour `json:"behaviour"`
	// Index makes the upstreams go to an index version, also to a lower one.
	Index int `json:"index"`
	// Map hands out a partition map and makes the upstreams go to it; Shards are the
	// shards served, by address.
	Map    *manifest.PartitionMap     `json:"map"`
	Shards map[string][]manifest.Name `json:"shards"`
	// SpreadMs spreads the change of snapshot over this time, upstream by upstream.
	SpreadMs int `json:"spread_ms"`
}

// Fleet is many upstreams in one process. Its lock guards the random numbers.
type Fleet struct {
	Recorder  *Recorder
	upstreams []*Upstream
	ctx       context.Context
	stop      context.CancelFunc
	mu        sync.Mutex
	rng       *rand.Rand
}

// NewFleet returns the upstreams that manifest parts declare.
func NewFleet(parts []manifest.Part, seed uint64) *Fleet {
	f := &Fleet{Recorder: NewRecorder(), rng: rand.New(rand.NewPCG(seed, 0))}
	f.ctx, f.stop = context.WithCancel(context.Background())
	corpora := map[manifest.Name]*Corpus{}
	maps := map[manifest.Name][]manifest.PartitionMap{}
	for _, p := range parts {
		for _, w := range p.Workloads {
			corpora[w.Name] = NewCorpus(string(w.Name))
		}
		for _, m := range p.PartitionMaps {
			maps[m.Workload] = append(maps[m.Workload], m)
		}
	}
	for _, p := range parts {
		for _, u := range p.Upstreams {
			f.upstreams = append(f.upstreams, NewUpstream(u, corpora[u.Workload], maps[u.Workload], f.Recorder, seed))
		}
	}
	return f
}

// Start makes every upstream listen.
func (f *Fleet) Start(ctx context.Context) error {
	for _, u := range f.upstreams {
		if err := u.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close stops every upstream.
func (f *Fleet) Close() error {
	f.stop()
	var errs []error
	for _, u := range f.upstreams {
		errs = append(errs, u.Close())
	}
	return errors.Join(errs...)
}

// Do carries a command out; changes of snapshot go on in the background.
func (f *Fleet) Do(c Command) {
	for _, u := range f.upstreams {
		if c.Workload != "" && string(u.config.Workload) != c.Workload {
			continue
		}
		if len(c.Addresses) > 0 && !slices.Contains(c.Addresses, u.config.Address) {
			continue
		}
		if c.Behaviour != nil {
			u.Set(*c.Behaviour)
		}
		if c.Map != nil {
			u.Repartition(*c.Map, c.Shards[u.config.Address])
		}
		if c.Map != nil || c.Index > 0 {
			f.later(c.SpreadMs, func() { u.advance(c) })
		}
	}
}

// later calls fn once, at a random time within the spread.
func (f *Fleet) later(spreadMs int, fn func()) {
	if spreadMs <= 0 {
		fn()
		return
	}
	f.mu.Lock()
	d := time.Duration(f.rng.IntN(spreadMs)) * time.Millisecond
	f.mu.Unlock()
	go func() {
		if pause.For(f.ctx, d) {
			fn()
		}
	}()
}

func (u *Upstream) advance(c Command) {
	s := u.Newest()
	if c.Index > 0 {
		s.Index = c.Index
	}
	if c.Map != nil {
		s.Map = c.Map.Version
	}
	u.Hold(s)
}

// Control serves the bench: commands and the log.
func (f *Fleet) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/command", func(w http.ResponseWriter, r *http.Request) {
		var c Command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(w, fmt.Sprintf("command: %v", err), http.StatusBadRequest)
			return
		}
		f.Do(c)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /v1/log", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f.Recorder.Log())
	})
	return mux
}
