// Package standin holds stand-ins of the platform's configuration service and of upstream
// servers, for tests and for spindlebench. Each can be made to fail in the ways the real ones
// do. Platform, Fleet, Upstream, Corpus and Recorder are safe for use by several goroutines;
// each has a lock of its own.
package standin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is the platform's behaviour towards a reader.
type Mode int

// Modes of the platform.
const (
	// Up replies with the newest value.
	Up Mode = iota
	// Down closes each connection without a reply.
	Down
	// Frozen replies with the values as they were when the mode was set.
	Frozen
	// Previous replies with the value before the newest one.
	Previous
)

// allReaders stands for every reader. A reader without a value of its own gets the value of
// allReaders. A mode of allReaders other than Up overrides the modes of all readers.
const allReaders = ""

const maxWatchTime = 5 * time.Minute

// value is one published value of a key.
type value struct {
	seq  int
	body []byte
}

type readerFault struct {
	mode Mode
	seq  int // last sequence number visible in mode Frozen
}

// Platform is a stand-in of the configuration service, which readers can read and watch. One
// lock guards its state.
type Platform struct {
	mu      sync.Mutex
	seq     int
	values  map[string][]value     // by reader, a NUL byte and key; the newest last
	faults  map[string]readerFault // by reader
	changed chan struct{}          // closed at the next change
	reads   map[int64]int          // by Unix second
}

// NewPlatform returns a platform without values.
func NewPlatform() *Platform {
	return &Platform{
		values:  map[string][]value{},
		faults:  map[string]readerFault{},
		changed: make(chan struct{}),
		reads:   map[int64]int{},
	}
}

// Set publishes a value to every reader, as the operators' pipeline does.
func (p *Platform) Set(key string, body []byte) { p.SetFor(allReaders, key, body) }

// SetFor publishes a value that one reader sees in place of the common one.
func (p *Platform) SetFor(reader, key string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	k := reader + "\x00" + key
	p.values[k] = append(p.values[k], value{seq: p.seq, body: body})
	p.notifyWatches()
}

// SetMode sets the behaviour towards one reader, or towards all where reader is "".
func (p *Platform) SetMode(reader string, m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[reader] = readerFault{mode: m, seq: p.seq}
	p.notifyWatches()
}

// notifyWatches makes all waiting watches read their value again. The lock is held.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reads returns the number of calls in the busiest second and in total.
func (p *Platform) Reads() (busiest, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.reads {
		total += n
		busiest = max(busiest, n)
	}
	return busiest, total
}

func (p *Platform) countRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads[time.Now().Unix()]++
}

// faultOf returns the fault that applies to a reader. The lock is held.
func (p *Platform) faultOf(reader string) readerFault {
	common := p.faults[allReaders]
	if common.mode != Up {
		return common
	}
	return p.faults[reader]
}

// lookUp returns the value that a reader sees, its ETag ("" if there is no value), the mode
// towards the reader, and a channel that is closed at the next change.
func (p *Platform) lookUp(reader, key string) (body []byte, etag string, mode Mode, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faultOf(reader)
	values := p.values[reader+"\x00"+key]
	if len(values) == 0 {
		values = p.values[allReaders+"\x00"+key]
	}
	if f.mode == Frozen {
		for len(values) > 0 && values[len(values)-1].seq > f.seq {
			values = values[:len(values)-1]
		}
	}
	if f.mode == Previous && len(values) > 1 {
		values = values[:len(values)-1]
	}
	if len(values) == 0 {
		return nil, "", f.mode, p.changed
	}
	v := values[len(values)-1]
	return v.body, strconv.Quote(strconv.Itoa(v.seq)), f.mode, p.changed
}

// Handler returns the handler for one reader. The bench gives each VM a listener of its own,
// so that faults can be set by reader.
func (p *Platform) Handler(reader string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", func(w http.ResponseWriter, r *http.Request) {
		p.countRead()
		p.serve(w, r, reader)
	})
	return mux
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, reader string) {
	ctx, cancel := context.WithTimeout(r.Context(), watchTime(r))
	defer cancel()
	for {
		body, etag, mode, changed := p.lookUp(reader, r.PathValue("key"))
		if mode == Down {
			panic(http.ErrAbortHandler) // closes the connection without a reply
		}
		if etag != r.Header.Get("If-None-Match") {
			writeValue(w, body, etag)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.Header().Set("ETag", etag)
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func writeValue(w http.ResponseWriter, body []byte, etag string) {
	if etag == "" {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// watchTime returns the wait that the header "Prefer: wait=SECONDS" asks for, at most
// maxWatchTime; 0 without the header.
func watchTime(r *http.Request) time.Duration {
	v, ok := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !ok {
		return 0
	}
	s, err := strconv.Atoi(v)
	if err != nil || s < 0 {
		return 0
	}
	return min(time.Duration(s)*time.Second, maxWatchTime)
}

// String returns the name of the mode.
func (m Mode) String() string {
	switch m {
	case Up:
		return "up"
	case Down:
		return "down"
	case Frozen:
		return "frozen"
	case Previous:
		return "older"
	}
	return fmt.Sprintf("mode %d", int(m))
}
