package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

type connKey struct{}

const maxBody = 1 << 20

// lateBy is how long after its deadline a late reply is sent.
const lateBy = 300 * time.Millisecond

// Hash64 hashes a name, to derive seeds from it.
func Hash64(s string) uint64 { return xxhash.Sum64String(s) }

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /search/{workload}", u.guard(u.search))
	mux.HandleFunc("POST /request/{workload}", u.guard(u.single))
	mux.HandleFunc("OPTIONS /search/{workload}", u.guard(u.probe))
	mux.HandleFunc("OPTIONS /request/{workload}", u.guard(u.probe))
	mux.HandleFunc("GET /healthz", u.guard(u.healthz))
	mux.HandleFunc("GET /load", u.guard(u.load))
	return mux
}

type serveFunc func(w http.ResponseWriter, r *http.Request, s state)

// guard drops requests to a dead upstream and adds the headers of every reply.
func (u *Upstream) guard(next serveFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s := u.state()
		if s.down {
			panic(http.ErrAbortHandler) // closes the connection without a reply
		}
		u.payConnection(r.Context())
		if s.Hang {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		h := w.Header()
		h.Set("Spindle-Request-Id", r.Header.Get("Spindle-Request-Id"))
		h.Set("Spindle-Load", strconv.FormatFloat(u.slots.load(), 'f', 2, 64))
		if s.Draining {
			h.Set("Spindle-Draining", "true")
		}
		next(w, r, s)
	}
}

// payConnection delays the first request of a connection by the connection's cost.
func (u *Upstream) payConnection(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*limitConn)
	if !ok || c.used.Swap(true) {
		return
	}
	pause.For(ctx, time.Duration(u.config.ConnectionCostMs*float64(time.Millisecond)))
}

func (u *Upstream) probe(w http.ResponseWriter, _ *http.Request, _ state) {
	u.rec.count(func(c *Counts) { c.Probes++ })
	w.WriteHeader(http.StatusNoContent)
}

func (u *Upstream) healthz(w http.ResponseWriter, _ *http.Request, s state) {
	if s.Draining && !s.LieHealth {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request, s state) {
	load := u.slots.load()
	if s.LieHealth {
		load = 0
	}
	_, _ = fmt.Fprintf(w, "{\"load\":%.2f}\n", load)
}

// enter waits for a slot; it replies with a refusal and reports false where there is none.
func (u *Upstream) enter(w http.ResponseWriter, r *http.Request) bool {
	u.rec.count(func(c *Counts) {
		c.Received++
		if r.Header.Get("Spindle-Shard") != "" {
			c.Searches++
		}
	})
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Spindle-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if u.slots.take(ctx) {
		return true
	}
	u.rec.count(func(c *Counts) { c.Shed++ })
	w.Header().Set("Spindle-Not-Run", "true")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "no slot", http.StatusServiceUnavailable)
	return false
}

// run records the run of a request, and crashes or works as the request and the
// behaviour say. It reports false where the request was cancelled.
func (u *Upstream) run(r *http.Request, body []byte, s state) bool {
	text := string(body)
	nonce := marked(text, NonceMark)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		u.rec.run(Run{Key: key, Nonce: nonce, Address: u.config.Address, StartNs: time.Now().UnixNano()})
	}
	u.rec.nonce(nonce)
	u.rec.count(func(c *Counts) {
		c.Ran++
		if s.drained > drainGrace {
			c.WorkAfterDrain++
		}
	})
	if word := marked(text, CrashMark); word != "" {
		u.crash(word + "/" + r.Header.Get("Spindle-Shard"))
		panic(http.ErrAbortHandler)
	}
	if pause.For(r.Context(), s.service) {
		return true
	}
	u.rec.count(func(c *Counts) { c.Canceled++ })
	return false
}

func (u *Upstream) search(w http.ResponseWriter, r *http.Request, s state) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	var q upstream.Query
	if err != nil || json.Unmarshal(body, &q) != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	shard := r.Header.Get("Spindle-Shard")
	snap, span, ok := u.choose(shard, r.Header.Get("Spindle-Snapshot"))
	if !ok {
		http.Error(w, "shard not held", http.StatusNotFound)
		return
	}
	if !u.enter(w, r) {
		return
	}
	defer u.slots.give()
	if !u.run(r, body, s) {
		return
	}
	f := u.corpus.Search(q, snap, span)
	out, err := json.Marshal(upstream.Reply{
		RequestId:     r.Header.Get("Spindle-Request-Id"),
		Shard:         shard,
		Snapshot:      snap,
		Documents:     f.Documents,
		DocumentsHeld: f.Held,
	})
	if err != nil {
		panic(fmt.Errorf("encode reply: %w", err))
	}
	u.send(w, r, s, out)
}

// SingleReply is the body of a reply of a single workload.
type SingleReply struct {
	Nonce    string `json:"nonce"`
	Upstream string `json:"upstream"`
	Run      string `json:"run"`
}

func (u *Upstream) single(w http.ResponseWriter, r *http.Request, s state) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	if !u.enter(w, r) {
		return
	}
	defer u.slots.give()
	if !u.run(r, body, s) {
		return
	}
	out, err := json.Marshal(SingleReply{Nonce: marked(string(body), NonceMark), Upstream: u.config.Address, Run: u.nextRun()})
	if err != nil {
		panic(fmt.Errorf("encode reply: %w", err))
	}
	u.send(w, r, s, out)
}

// send writes a reply, spoilt where the behaviour says so.
func (u *Upstream) send(w http.ResponseWriter, r *http.Request, s state, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	old := u.swapLast(&lastReply{id: r.Header.Get("Spindle-Request-Id"), body: body})
	if s.spoil {
		switch s.ReplyFault {
		case Truncated:
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body[:len(body)/2])
			panic(http.ErrAbortHandler)
		case Crossed:
			if old != nil {
				w.Header().Set("Spindle-Request-Id", old.id)
				body = old.body
			}
		case Late:
			ms, _ := strconv.Atoi(r.Header.Get("Spindle-Deadline-Ms"))
			time.Sleep(time.Duration(ms)*time.Millisecond + lateBy)
		}
	}
	_, _ = w.Write(body)
}
