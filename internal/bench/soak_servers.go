package bench

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// soakServer is an address at which one server after the other runs.
type soakServer struct {
	s       *soak
	address string // as it is published: that of the relay
	link    *relay
	births  int
	now     atomic.Pointer[standin.Server]
	mood    atomic.Pointer[mood]
	slots   chan struct{}
}

// mood is how a server misbehaves. The zero value is a sound server.
type mood struct {
	Slow    time.Duration
	Fail    bool    // answers 500
	Lose    float64 // share of the answers that are lost after the run
	Garble  bool    // breaks the body off
	Crossed bool    // answers with what belongs to another request
}

// Work of a server.
const (
	soakSlots   = 4
	soakQueue   = 16
	soakWork    = 4 * time.Millisecond
	soakRecords = 2
)

func (s *soak) addServer(ctx context.Context, i int) error {
	sv := &soakServer{s: s, address: s.address(proxyNet, i+1, upstreamPort), slots: make(chan struct{}, soakSlots+soakQueue)}
	target := s.address(serverNet, i+1, upstreamPort)
	var err error
	if sv.link, err = s.proxy(ctx, sv.address, target); err != nil {
		return err
	}
	sv.mood.Store(&mood{})
	s.servers = append(s.servers, sv)
	sv.birth(i)
	return s.serve(ctx, target, sv)
}

// birth starts another server at the address, and publishes it.
func (sv *soakServer) birth(i int) {
	sv.births++
	service := "orders"
	if i < soakShards*soakReplicas {
		service = soakShardNames()[i/soakReplicas]
	}
	id := fmt.Sprintf("i-%d-%d", i, sv.births)
	n := &standin.Server{
		ID: id, Service: service, Zone: fmt.Sprintf("zone-%d", i%soakZones), Slots: soakSlots, Body: func(r *http.Request) string {
			return bodyOf(service, r.Header.Get(platform.RequestID))
		},
	}
	n.Instead(func(w http.ResponseWriter, r *http.Request) bool { return sv.answer(n, w, r) })
	sv.now.Store(n)
	sv.state("ready")
}

// state publishes the server's state.
func (sv *soakServer) state(state string) {
	n := sv.now.Load()
	sv.s.store.Put(standin.EntryKey(n.ID), n.Entry(sv.address, state))
}

// ServeHTTP implements http.Handler. It reads the body first, so that net/http sees the
// connection close.
func (sv *soakServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a body that breaks off has no reader either
	sv.now.Load().ServeHTTP(w, r)
}

// answer takes note of a request that is meant for n, and answers it where n is busy or
// misbehaves; false leaves that to n.
func (sv *soakServer) answer(n *standin.Server, w http.ResponseWriter, r *http.Request) bool {
	m := *sv.mood.Load()
	a := arrival{
		id: r.Header.Get(platform.RequestID), service: n.Service, server: n.ID, at: time.Now(),
		deadline: milliseconds(r.Header.Get(platform.Deadline)),
	}
	select {
	case sv.slots <- struct{}{}:
		defer func() { <-sv.slots }()
	default:
		sv.s.evidence.arrived(a)
		standin.Refuse(w, http.StatusServiceUnavailable)
		return true
	}
	a.ran, a.lasts = true, soakWork+m.Slow
	done := sv.s.evidence.arrived(a)
	defer done()
	select {
	case <-time.After(a.lasts):
	case <-r.Context().Done():
		return true // the VM has closed the connection
	}
	switch {
	case m.Fail:
		n.Sign(w, a.id)
		w.WriteHeader(http.StatusInternalServerError)
	case float64(hash(a.id+n.ID)%100) < 100*m.Lose:
		panic(http.ErrAbortHandler)
	case m.Crossed:
		n.Sign(w, "other-"+a.id)
		_, _ = w.Write([]byte(bodyOf(n.Service, "other-"+a.id))) // the VM closes the connection
	case m.Garble:
		n.Sign(w, a.id)
		body := n.Body(r)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body[:len(body)/2])) // broken off on purpose
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// bodyOf is what a service answers to a request: for a shard, records that begin with a
// place in the order and hold the request's hash and the shard.
func bodyOf(service, id string) string {
	shard, err := strconv.Atoi(strings.TrimPrefix(service, "shard-"))
	if err != nil {
		return "done " + id
	}
	records := make([]string, soakRecords)
	for i := range records {
		records[i] = fmt.Sprintf("%04d%08x%02d%02d", hash(service+id+strconv.Itoa(i))%10000, hash(id), shard, i)
	}
	slices.Sort(records)
	slices.Reverse(records)
	return strings.Join(records, "")
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s)) // never fails
	return h.Sum32()
}

func milliseconds(text string) time.Duration {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n * float64(time.Millisecond))
}
