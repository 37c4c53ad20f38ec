package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// server is a stand-in of a server. It serves one request at a time on a connection, runs up to
// slots requests, queues a few more and refuses the others.
type server struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	records           int // in the body of an answer
	// sendsTwice decides whether an answer is sent a second time, late: where the next answer on the
	// connection is expected. It may be nil.
	sendsTwice func() bool

	c       *cluster
	address string
	running chan struct{}
	held    atomic.Int64 // requests running or queued

	mu       sync.Mutex // guards the fields below
	state    string
	sequence int
	runs     map[string]int    // by id of the request
	stamps   map[string]string // id of the request by signature of a success
}

// addServer starts a server and publishes it.
func (c *cluster) addServer(s *server) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.c, s.address, s.state, s.running = c, l.Addr().String(), "ready", make(chan struct{}, s.slots)
	s.runs, s.stamps = map[string]int{}, map[string]string{}
	c.mu.Lock()
	c.servers[s.id] = s
	c.mu.Unlock()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	s.publish()
	return nil
}

// addShards starts two servers of each shard in one zone, the zones by turns.
func (c *cluster) addShards(shards []string, zones ...string) error {
	for i, shard := range shards {
		for n := range 2 {
			s := &server{
				id: fmt.Sprintf("i-%s-%d", shard, n), service: shard, zone: zones[i%len(zones)], slots: 2, queue: 12,
				work: 5 * time.Millisecond, records: 25,
			}
			if err := c.addServer(s); err != nil {
				return err
			}
		}
	}
	return nil
}

// publish writes the server's entry into the store, unless it has left.
func (s *server) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return
	}
	s.sequence++
	s.c.store.Put(standin.EntryKey(s.id), map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "warmupLeftMs": 0, "sequence": s.sequence, "born": 1764900000000,
	})
}

// beat publishes all servers at each heartbeat.
func (c *cluster) beat() {
	for range time.Tick(heartbeat) {
		for _, s := range c.serversOf("") {
			s.publish()
		}
	}
}

// serversOf returns the servers of a service, or all if it is empty.
func (c *cluster) serversOf(service string) (out []*server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		if service == "" || s.service == service {
			out = append(out, s)
		}
	}
	return out
}

// drain has the servers of some services report that they drain. They go on serving for drainTime and
// a little longer, then their entries are removed.
func (c *cluster) drain(services []string) {
	setState := func(state string) {
		for _, service := range services {
			for _, s := range c.serversOf(service) {
				s.mu.Lock()
				s.state = state
				s.mu.Unlock()
				if state == "" {
					c.store.Remove(standin.EntryKey(s.id))
				} else {
					s.publish()
				}
			}
		}
	}
	setState("draining")
	time.AfterFunc(drainTime+time.Second, func() { setState("") })
}

// reply is an answer of a server.
type reply struct {
	status int
	notRun bool
	id     string // of the request
	stamp  string
	body   []byte
}

func (s *server) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	var extra *reply
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(platform.RequestID)
		if extra != nil {
			s.c.rec.add("server %s: second answer (status %d) to %s, sent where the answer to %s is expected", s.id, extra.status, extra.id, id)
			if err := s.write(nc, extra); err != nil {
				return
			}
			extra = nil
		}
		r := s.run(req, id)
		if err := s.write(nc, &r); err != nil {
			return
		}
		if s.sendsTwice != nil && s.sendsTwice() {
			extra = &r
		}
	}
}

// write writes an answer. Each echoes the id of its request.
func (s *server) write(nc net.Conn, r *reply) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: %d\r\n", r.status, http.StatusText(r.status), platform.RequestID, r.id, len(r.body))
	if r.notRun {
		fmt.Fprintf(&b, "%s: 1\r\n", platform.UpstreamHeaders.NotRun)
	}
	if r.stamp != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", platform.UpstreamHeaders.Signature, r.stamp)
	}
	running := len(s.running)
	fmt.Fprintf(&b, "%s: %d,%d,%d\r\n\r\n", platform.UpstreamHeaders.Load, running, max(int(s.held.Load())-running, 0), s.slots)
	b.Write(r.body)
	_, err := nc.Write(b.Bytes())
	return err
}

// run runs a request, or refuses it.
func (s *server) run(req *http.Request, id string) reply {
	if want := req.Header.Get(platform.UpstreamHeaders.Identity); want != "" && want != s.id {
		return reply{status: http.StatusMisdirectedRequest, notRun: true, id: id}
	}
	if s.held.Add(1) > int64(s.slots+s.queue) {
		s.held.Add(-1)
		s.c.rec.add("server %s: refused %s", s.id, id)
		return reply{status: http.StatusServiceUnavailable, notRun: true, id: id}
	}
	defer s.held.Add(-1)
	s.running <- struct{}{}
	defer func() { <-s.running }()
	stamp := s.recordRun(id)
	time.Sleep(s.work)
	return reply{status: http.StatusOK, id: id, stamp: stamp, body: records(s.service, id, s.records)}
}

// recordRun records that a request runs, and returns the signature of its answer.
func (s *server) recordRun(id string) (stamp string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	stamp = fmt.Sprintf("%s.%d", s.id, len(s.stamps))
	s.stamps[stamp] = id
	return stamp
}

// runsOf returns the servers at which a request ran, each as often as it ran there.
func (c *cluster) runsOf(id string) (out []string) {
	for _, s := range c.serversOf("") {
		s.mu.Lock()
		for range s.runs[id] {
			out = append(out, s.id)
		}
		s.mu.Unlock()
	}
	return out
}

// stampOf returns the service and the request of a signature; false if no server issued it.
func (c *cluster) stampOf(stamp string) (service, id string, ok bool) {
	server := stamp[:max(strings.LastIndexByte(stamp, '.'), 0)]
	c.mu.Lock()
	s := c.servers[server]
	c.mu.Unlock()
	if s == nil {
		return "", "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok = s.stamps[stamp]
	return s.service, id, ok
}

const recordBytes = 16

// records returns n records of a shard's part for a request, in no order.
func records(service, id string, n int) []byte {
	out := make([]byte, 0, recordBytes*n)
	for i := range n {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", service, id, i))
		binary.BigEndian.PutUint32(sum[recordBytes-4:], uint32(i))
		out = append(out, sum[:recordBytes]...)
	}
	return out
}
