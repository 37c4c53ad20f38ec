package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// server is one server of a service. It follows the protocol, and records what it runs.
type server struct {
	e                       *env
	id, service, zone, addr string
	quiet                   bool // runs are not recorded
	runs                    atomic.Int64
	// darkUntil is until when the server is silent, in Unix milliseconds.
	darkUntil atomic.Int64
}

// slots is the number of requests that a server takes at once.
const slots = 4

// startServer starts a server and registers it in the store.
func (e *env) startServer(s *server) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.e, s.addr = e, l.Addr().String()
	e.serve(l, s)
	e.store.Put(standin.EntryKey(s.id), s.entry())
	return nil
}

func (s *server) entry() map[string]any {
	return (&standin.Server{ID: s.id, Service: s.service, Zone: s.zone, Slots: slots}).Entry(s.addr, "ready")
}

// goDark has the server lose power for a while: it answers nothing, and is silent for good on the connections on
// which it was asked meanwhile.
func (s *server) goDark(d time.Duration) {
	s.darkUntil.Store(time.Now().Add(d).UnixMilli())
	s.e.logf("server %s is dark for %v", s.id, d)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if time.Now().UnixMilli() < s.darkUntil.Load() {
		<-r.Context().Done() // the VM has closed the connection
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	id := r.Header.Get(platform.RequestID)
	h.Set(platform.RequestID, id)
	if want := r.Header.Get(platform.UpstreamHeaders.Identity); want != "" && want != s.id {
		h.Set("X-Instance-Id", s.id)
		standin.ReplyNotRun(w, http.StatusMisdirectedRequest)
		return
	}
	n := s.runs.Add(1)
	h.Set(platform.UpstreamHeaders.Signature, fmt.Sprintf("%s.%s.%d", s.id, id, n))
	h.Set(platform.UpstreamHeaders.Load, fmt.Sprintf("1,0,%d", slots))
	body := fmt.Sprintf("%s of %s ran %s\n", s.id, s.service, id)
	if !s.quiet {
		s.e.logf("server %s of %s runs %s %s, id %s", s.id, s.service, r.Method, r.RequestURI, id)
	}
	fmt.Fprint(w, body) // fails only if the VM has closed the connection
}
