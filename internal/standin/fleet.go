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

// Command changes the upstreams of a fleet; fields without a value change nothing.
type Command struct {
	// Workload and Addresses select the upstreams; an empty one selects all.
	Workload  string   `json:"workload"`
	Addresses []string `json:"addresses"`
	// Behaviour replaces the behaviour.
	Behaviour *Behaviour `json:"behaviour"`
	// Index makes the upstreams serve an index version, which may be a lower one; 0 for none.
	Index int `json:"index"`
	// Map makes the upstreams serve a partition map, with the Shards listed for each address.
	Map    *manifest.PartitionMap     `json:"map"`
	Shards map[string][]manifest.Name `json:"shards"`
	// SpreadMs spreads the changes of snapshot over this time: each upstream changes at a
	// random moment of it.
	SpreadMs int `json:"spread_ms"`
}

// Fleet is the upstreams that run in one process. Its lock guards rng.
type Fleet struct {
	Recorder  *Recorder
	upstreams []*Upstream
	ctx       context.Context
	cancel    context.CancelFunc
	mu        sync.Mutex
	rng       *rand.Rand
}

// NewFleet returns the upstreams that manifest parts declare.
func NewFleet(parts []manifest.Part, seed uint64) *Fleet {
	f := &Fleet{Recorder: NewRecorder(), rng: rand.New(rand.NewPCG(seed, 0))}
	f.ctx, f.cancel = context.WithCancel(context.Background())
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
	f.cancel()
	var errs []error
	for _, u := range f.upstreams {
		errs = append(errs, u.Close())
	}
	return errors.Join(errs...)
}

// Do runs a command. Changes of snapshot with SpreadMs go on in the background.
func (f *Fleet) Do(c Command) {
	for _, u := range f.upstreams {
		if c.Workload != "" && string(u.config.Workload) != c.Workload {
			continue
		}
		if len(c.Addresses) > 0 && !slices.Contains(c.Addresses, u.config.Address) {
			continue
		}
		if c.Behaviour != nil {
			u.SetBehaviour(*c.Behaviour)
		}
		if c.Map != nil {
			u.SetPartitionMap(*c.Map, c.Shards[u.config.Address])
		}
		if c.Map != nil || c.Index > 0 {
			f.spread(c.SpreadMs, func() { u.advance(c) })
		}
	}
}

// spread calls fn at a random moment within spreadMs, in the background; at once for 0.
func (f *Fleet) spread(spreadMs int, fn func()) {
	if spreadMs <= 0 {
		fn()
		return
	}
	f.mu.Lock()
	d := time.Duration(f.rng.IntN(spreadMs)) * time.Millisecond
	f.mu.Unlock()
	go func() {
		if pause.Sleep(f.ctx, d) {
			fn()
		}
	}()
}

func (u *Upstream) advance(c Command) {
	s := u.NewestSnapshot()
	if c.Index > 0 {
		s.Index = c.Index
	}
	if c.Map != nil {
		s.Map = c.Map.Version
	}
	u.SetSnapshot(s)
}

// Control returns the handler for the bench, which takes commands and returns the log.
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
