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

const maxBodyBytes = 1 << 20

// lateBy is how long after its deadline a late reply is sent.
const lateBy = 300 * time.Millisecond

// Hash64 hashes a name, to derive a seed from it.
func Hash64(s string) uint64 { return xxhash.Sum64String(s) }

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /search/{workload}", u.wrap(u.search))
	mux.HandleFunc("POST /request/{workload}", u.wrap(u.single))
	mux.HandleFunc("OPTIONS /search/{workload}", u.wrap(u.probe))
	mux.HandleFunc("OPTIONS /request/{workload}", u.wrap(u.probe))
	mux.HandleFunc("GET /healthz", u.wrap(u.healthz))
	mux.HandleFunc("GET /load", u.wrap(u.load))
	return mux
}

// serveFunc handles a request under the upstream's state at the request's arrival.
type serveFunc func(w http.ResponseWriter, r *http.Request, s state)

// wrap adds what all handlers share: it closes the connection while the upstream is down,
// never replies while it hangs, delays the first request of a connection, and sets the
// headers of every reply.
func (u *Upstream) wrap(next serveFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s := u.state()
		if s.down {
			panic(http.ErrAbortHandler) // closes the connection without a reply
		}
		u.payConnectionCost(r.Context())
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

// payConnectionCost delays the first request of a connection by the cost of a connection.
func (u *Upstream) payConnectionCost(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*limitConn)
	if !ok || c.costPaid.Swap(true) {
		return
	}
	pause.Sleep(ctx, time.Duration(u.config.ConnectionCostMs*float64(time.Millisecond)))
}

func (u *Upstream) probe(w http.ResponseWriter, _ *http.Request, _ state) {
	u.recorder.updateCounts(func(c *Counts) { c.Probes++ })
	w.WriteHeader(http.StatusNoContent)
}

func (u *Upstream) healthz(w http.ResponseWriter, _ *http.Request, s state) {
	if s.Draining && !s.FakeHealth {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request, s state) {
	load := u.slots.load()
	if s.FakeHealth {
		load = 0
	}
	_, _ = fmt.Fprintf(w, "{\"load\":%.2f}\n", load)
}

// acquireSlot counts a request and waits for a slot until the deadline. Without one it sheds
// the request and reports false.
func (u *Upstream) acquireSlot(w http.ResponseWriter, r *http.Request) bool {
	u.recorder.updateCounts(func(c *Counts) {
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
	if u.slots.acquire(ctx) {
		return true
	}
	u.recorder.updateCounts(func(c *Counts) { c.Shed++ })
	w.Header().Set("Spindle-Not-Run", "true")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "no slot", http.StatusServiceUnavailable)
	return false
}

// run records the run of a request, then crashes the upstream if the request has a crash word,
// or waits for the service time. It reports false if the request was canceled meanwhile.
func (u *Upstream) run(r *http.Request, body []byte, s state) bool {
	text := string(body)
	nonce := markedWord(text, NonceMark)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		u.recorder.recordRun(Run{Key: key, Nonce: nonce, Address: u.config.Address, StartNs: time.Now().UnixNano()})
	}
	u.recorder.recordNonce(nonce)
	u.recorder.updateCounts(func(c *Counts) {
		c.Ran++
		if s.drainingFor > drainGrace {
			c.WorkAfterDrain++
		}
	})
	if word := markedWord(text, CrashMark); word != "" {
		u.crash(word + "/" + r.Header.Get("Spindle-Shard"))
		panic(http.ErrAbortHandler)
	}
	if pause.Sleep(r.Context(), s.serviceTime) {
		return true
	}
	u.recorder.updateCounts(func(c *Counts) { c.Canceled++ })
	return false
}

func (u *Upstream) search(w http.ResponseWriter, r *http.Request, s state) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	var q upstream.Query
	if err != nil || json.Unmarshal(body, &q) != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	shard := r.Header.Get("Spindle-Shard")
	snap, span, ok := u.selectRange(shard, r.Header.Get("Spindle-Snapshot"))
	if !ok {
		http.Error(w, "shard not held", http.StatusNotFound)
		return
	}
	if !u.acquireSlot(w, r) {
		return
	}
	defer u.slots.release()
	if !u.run(r, body, s) {
		return
	}
	f := u.corpus.Search(q, snap, span)
	out, err := json.Marshal(upstream.Reply{
		RequestId:     r.Header.Get("Spindle-Request-Id"),
		Shard:         shard,
		Snapshot:      snap,
		Documents:     f.Documents,
		DocumentsHeld: f.DocumentsHeld,
	})
	if err != nil {
		panic(fmt.Errorf("encode reply: %w", err))
	}
	u.send(w, r, s, out)
}

// SingleReply is the body of the reply to a request of a single workload.
type SingleReply struct {
	Nonce    string `json:"nonce"`
	Upstream string `json:"upstream"`
	Run      string `json:"run"`
}

func (u *Upstream) single(w http.ResponseWriter, r *http.Request, s state) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	if !u.acquireSlot(w, r) {
		return
	}
	defer u.slots.release()
	if !u.run(r, body, s) {
		return
	}
	out, err := json.Marshal(SingleReply{Nonce: markedWord(string(body), NonceMark), Upstream: u.config.Address, Run: u.nextRun()})
	if err != nil {
		panic(fmt.Errorf("encode reply: %w", err))
	}
	u.send(w, r, s, out)
}

// send writes a reply, with the behaviour's fault if the state says so.
func (u *Upstream) send(w http.ResponseWriter, r *http.Request, s state, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	old := u.swapLast(&lastReply{id: r.Header.Get("Spindle-Request-Id"), body: body})
	if s.faultyReply {
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
