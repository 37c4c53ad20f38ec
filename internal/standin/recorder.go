package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRuns bounds the recorded runs of requests with an Idempotency-Key.
const maxRuns = 1 << 20

const nonceShards = 32

// maxNoncesPerShard bounds the nonces in each shard of the table.
const maxNoncesPerShard = 1 << 16

// Run is one run of a request with an Idempotency-Key at an upstream.
type Run struct {
	Key     string `json:"key"`
	Nonce   string `json:"nonce"`
	Address string `json:"address"`
	// StartNs is in Unix nanoseconds.
	StartNs int64 `json:"start_ns"`
}

// Counts are the totals over all upstreams that share a recorder.
type Counts struct {
	Received           int `json:"received"`         // valid requests, without probes
	Searches           int `json:"searches"`         // of these, requests for a shard
	Ran                int `json:"ran"`              // requests that got a slot
	Shed               int `json:"shed"`             // got no slot: queue full or deadline over
	Canceled           int `json:"canceled"`         // canceled by the VM while they ran
	Probes             int `json:"probes"`           // OPTIONS requests
	Connections        int `json:"connections"`      // connections accepted
	ConnectionsRefused int `json:"connection_over"`  // connections beyond the limit
	WorkAfterDrain     int `json:"work_after_drain"` // runs of requests that arrived over drainGrace after the drain started
	Crashes            int `json:"crashes"`          // crashes of upstreams caused by requests
}

type nonceShard struct {
	mu   sync.Mutex
	runs map[string]int
}

// Recorder records what upstreams ran, for the checker. The table of nonces is split into
// shards with a lock each; one lock guards the rest.
type Recorder struct {
	mu      sync.Mutex
	counts  Counts
	crashes map[string][]int64 // see Log.Crashes
	runs    []Run
	nonces  [nonceShards]nonceShard
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	r := &Recorder{crashes: map[string][]int64{}}
	for i := range r.nonces {
		r.nonces[i].runs = map[string]int{}
	}
	return r
}

func (r *Recorder) updateCounts(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

func (r *Recorder) recordRun(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) < maxRuns {
		r.runs = append(r.runs, run)
	}
}

func (r *Recorder) recordCrash(word string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Crashes++
	r.crashes[word] = append(r.crashes[word], time.Now().UnixNano())
}

func (r *Recorder) shard(nonce string) *nonceShard {
	return &r.nonces[xxhash.Sum64String(nonce)%nonceShards]
}

func (r *Recorder) recordNonce(n string) {
	s := r.shard(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.runs[n]; ok || len(s.runs) < maxNoncesPerShard {
		s.runs[n]++
	}
}

// Log is everything recorded so far.
type Log struct {
	Counts Counts `json:"counts"`
	// Crashes holds when upstreams crashed, in Unix nanoseconds, by "WORD/SHARD": the crash word and the shard of the
	// request.
	Crashes map[string][]int64 `json:"crashes"`
	Runs    []Run              `json:"runs"`
	// Nonces counts the runs of each request by its nonce.
	Nonces map[string]int `json:"nonces"`
}

// Log returns a copy of everything recorded so far.
func (r *Recorder) Log() Log {
	l := Log{Crashes: map[string][]int64{}, Nonces: map[string]int{}}
	r.mu.Lock()
	l.Counts = r.counts
	l.Runs = append(l.Runs, r.runs...)
	for k, at := range r.crashes {
		l.Crashes[k] = slices.Clone(at)
	}
	r.mu.Unlock()
	for i := range r.nonces {
		s := &r.nonces[i]
		s.mu.Lock()
		for k, n := range s.runs {
			l.Nonces[k] = n
		}
		s.mu.Unlock()
	}
	return l
}
