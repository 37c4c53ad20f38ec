package standin

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxRuns bounds the runs of keyed requests that are kept one by one.
const maxRuns = 1 << 20

const nonceShards = 32

// maxNonces bounds the nonces counted in each shard of the table.
const maxNonces = 1 << 16

// Run is one run of a request with an Idempotency-Key at an upstream.
type Run struct {
	Key     string `json:"key"`
	Nonce   string `json:"nonce"`
	Address string `json:"address"`
	// StartNs is in Unix nanoseconds.
	StartNs int64 `json:"start_ns"`
}

// Counts sums up what the upstreams saw.
type Counts struct {
	Received       int `json:"received"`         // requests but probes
	Searches       int `json:"searches"`         // requests for a shard's part
	Ran            int `json:"ran"`              // requests that got a slot
	Shed           int `json:"shed"`             // refused before they ran
	Canceled       int `json:"canceled"`         // given up by the VM while they ran
	Probes         int `json:"probes"`           // OPTIONS requests
	Connections    int `json:"connections"`      // connections accepted
	ConnectionOver int `json:"connection_over"`  // connections beyond the limit
	WorkAfterDrain int `json:"work_after_drain"` // runs accepted too long after drain began
	Crashes        int `json:"crashes"`          // upstreams crashed by a request
}

type nonceShard struct {
	mu  sync.Mutex
	ran map[string]int
}

// Recorder keeps what upstreams ran, for the checker. The table of nonces is in
// shards, each under its own lock; counts and runs have one lock.
type Recorder struct {
	mu      sync.Mutex
	counts  Counts
	crashes map[string]int // by the crash word and shard of the request
	runs    []Run
	nonces  [nonceShards]nonceShard
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	r := &Recorder{crashes: map[string]int{}}
	for i := range r.nonces {
		r.nonces[i].ran = map[string]int{}
	}
	return r
}

func (r *Recorder) count(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

func (r *Recorder) run(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) < maxRuns {
		r.runs = append(r.runs, run)
	}
}

func (r *Recorder) crash(word string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Crashes++
	r.crashes[word]++
}

func (r *Recorder) shard(nonce string) *nonceShard {
	return &r.nonces[xxhash.Sum64String(nonce)%nonceShards]
}

func (r *Recorder) nonce(n string) {
	s := r.shard(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ran[n]; ok || len(s.ran) < maxNonces {
		s.ran[n]++
	}
}

// Log is everything recorded so far.
type Log struct {
	Counts Counts `json:"counts"`
	// Crashes by the crash word of the request, and the shard after a slash.
	Crashes map[string]int `json:"crashes"`
	Runs    []Run          `json:"runs"`
	// Nonces counts the runs of each request by its nonce.
	Nonces map[string]int `json:"nonces"`
}

// Log returns a copy of everything recorded so far.
func (r *Recorder) Log() Log {
	l := Log{Crashes: map[string]int{}, Nonces: map[string]int{}}
	r.mu.Lock()
	l.Counts = r.counts
	l.Runs = append(l.Runs, r.runs...)
	for k, n := range r.crashes {
		l.Crashes[k] = n
	}
	r.mu.Unlock()
	for i := range r.nonces {
		s := &r.nonces[i]
		s.mu.Lock()
		for k, n := range s.ran {
			l.Nonces[k] = n
		}
		s.mu.Unlock()
	}
	return l
}
