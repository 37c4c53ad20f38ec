// Package standin holds small stand-ins of the platform's configuration service and
// of upstream servers, for tests and for spindlebench. Each stand-in can be told to
// fail in the ways the real ones do. A Platform has one lock; each Upstream has one
// lock of its own, and the Recorder shares its counts among sharded locks.
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

// Mode says how the platform behaves towards a reader.
type Mode int

// Modes of the platform.
const (
	// Up: answers with the newest values.
	Up Mode = iota
	// Down: closes each connection without a reply.
	Down
	// Frozen: keeps answering with the values as they were when the mode was set.
	Frozen
	// Older: answers with the value before the newest one.
	Older
)

// everyReader addresses all readers that have no mode of their own.
const everyReader = ""

const maxWatch = 5 * time.Minute

type version struct {
	seq  int
	body []byte
}

type fault struct {
	mode Mode
	seq  int // last sequence number visible where the mode is Frozen
}

// Platform is the configuration service: it can only be read and watched.
type Platform struct {
	mu      sync.Mutex
	seq     int
	values  map[string][]version
	faults  map[string]fault
	changed chan struct{}
	reads   map[int64]int // by Unix second
}

// NewPlatform returns a platform without values.
func NewPlatform() *Platform {
	return &Platform{
		values:  map[string][]version{},
		faults:  map[string]fault{},
		changed: make(chan struct{}),
		reads:   map[int64]int{},
	}
}

// Set publishes a value to every reader, as the operators' pipeline does.
func (p *Platform) Set(key string, body []byte) { p.SetFor(everyReader, key, body) }

// SetFor publishes a value that only one reader sees in place of the common one.
func (p *Platform) SetFor(reader, key string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	k := reader + "\x00" + key
	p.values[k] = append(p.values[k], version{seq: p.seq, body: body})
	p.wake()
}

// SetMode sets the behaviour towards one reader, or towards all where reader is "".
func (p *Platform) SetMode(reader string, m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[reader] = fault{mode: m, seq: p.seq}
	p.wake()
}

// wake ends all waiting watches, which then look again. The lock is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reads returns how many calls came in the busiest second, and in all.
func (p *Platform) Reads() (busiest, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.reads {
		total += n
		busiest = max(busiest, n)
	}
	return busiest, total
}

func (p *Platform) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads[time.Now().Unix()]++
}

// faultOf returns the fault that applies to a reader. The lock is held.
func (p *Platform) faultOf(reader string) fault {
	common := p.faults[everyReader]
	if common.mode != Up {
		return common
	}
	return p.faults[reader]
}

// look returns the value that a reader sees, and a channel closed on the next change.
func (p *Platform) look(reader, key string) (body []byte, tag string, mode Mode, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faultOf(reader)
	vs := p.values[reader+"\x00"+key]
	if len(vs) == 0 {
		vs = p.values[everyReader+"\x00"+key]
	}
	if f.mode == Frozen {
		for len(vs) > 0 && vs[len(vs)-1].seq > f.seq {
			vs = vs[:len(vs)-1]
		}
	}
	if f.mode == Older && len(vs) > 1 {
		vs = vs[:len(vs)-1]
	}
	if len(vs) == 0 {
		return nil, "", f.mode, p.changed
	}
	v := vs[len(vs)-1]
	return v.body, strconv.Quote(strconv.Itoa(v.seq)), f.mode, p.changed
}

// Handler serves one reader. A bench gives each VM a listener of its own, so that
// faults can be told apart by reader.
func (p *Platform) Handler(reader string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", func(w http.ResponseWriter, r *http.Request) {
		p.count()
		p.serve(w, r, reader)
	})
	return mux
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, reader string) {
	ctx, cancel := context.WithTimeout(r.Context(), waitOf(r))
	defer cancel()
	for {
		body, tag, mode, changed := p.look(reader, r.PathValue("key"))
		if mode == Down {
			panic(http.ErrAbortHandler) // closes the connection without a reply
		}
		if tag != r.Header.Get("If-None-Match") {
			reply(w, body, tag)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.Header().Set("ETag", tag)
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func reply(w http.ResponseWriter, body []byte, tag string) {
	if tag == "" {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", tag)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// waitOf reads the header "Prefer: wait=SECONDS"; no header means no wait.
func waitOf(r *http.Request) time.Duration {
	v, ok := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !ok {
		return 0
	}
	s, err := strconv.Atoi(v)
	if err != nil || s < 0 {
		return 0
	}
	return min(time.Duration(s)*time.Second, maxWatch)
}

// String names the mode.
func (m Mode) String() string {
	switch m {
	case Up:
		return "up"
	case Down:
		return "down"
	case Frozen:
		return "frozen"
	case Older:
		return "older"
	}
	return fmt.Sprintf("mode %d", int(m))
}
