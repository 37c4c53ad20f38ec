package bench

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/relay"
	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// soakServer is an address at which servers run one after another.
type soakServer struct {
	s       *soak
	index   int    // of the address
	address string // published address, which is that of the relay
	link    *relay.Relay
	started int // servers started so far
	current atomic.Pointer[standin.Server]
	fault   atomic.Pointer[serverFault]
	notice  atomic.Pointer[notice] // of the server that it names; nil for none
	broken  spanLog                // while the link to the address was broken
	slots   chan struct{}          // holds an element for each running request
	again   sync.Map               // twiceReply that is due again, by the address of its connection
	dying   atomic.Pointer[string] // the id of the server that a deadly request has ended; nil for none

	stateMu sync.Mutex // guards the fields below, and that the state is published in order
	state   string     // published last; empty while no server is there
	ids     []string   // of all servers that were at the address
}

// serverFault says how a server misbehaves. The zero value is a healthy server.
type serverFault struct {
	Slow      time.Duration // added to the service time
	Fail      bool          // replies with status 500
	LoseShare float64       // share of requests whose connection is closed after they ran
	Truncate  bool          // sends half of the body
	Crossed   bool          // replies with the data of another request
	Endless   bool          // sends a body without end, until the VM closes the connection
	Doubled   bool          // replies to most requests with any status, or refuses them, and sends these replies twice
}

// Capacity, service time and reply size of a server. It publishes soakSlots and runs up to
// soakSlots+soakQueue requests at a time; it sheds the others.
const (
	soakSlots           = 4
	soakQueue           = 16
	soakServiceTime     = 4 * time.Millisecond
	soakRecordsPerReply = 2
)

func (s *soak) addServer(ctx context.Context, i int) error {
	sv := &soakServer{s: s, index: i, address: s.serverAddress(relayNet, i, upstreamPort), slots: make(chan struct{}, soakSlots+soakQueue)}
	target := s.serverAddress(serverNet, i, upstreamPort)
	var err error
	if sv.link, err = s.startRelayFrom(ctx, sv.address, target, ""); err != nil { // from the VM's address
		return err
	}
	sv.fault.Store(&serverFault{})
	s.servers = append(s.servers, sv)
	sv.startServer(i)
	return s.serve(ctx, target, sv)
}

// serverAddress returns an address of the ith server in serverNet or relayNet. Each holds 250 servers; the nets after
// both hold the next ones.
func (s *soak) serverAddress(net, i, port int) string {
	return s.address(net+2*(i/250), i%250+1, port)
}

// startServer starts the next server at the address and publishes it. Index i determines its
// service and zone.
func (sv *soakServer) startServer(i int) {
	id := sv.nextID(i)
	service := "orders"
	if i < sv.s.opts.Shards*soakReplicas {
		service = sv.s.shardNames()[i/soakReplicas]
	}
	srv := &standin.Server{
		ID: id, Service: service, Zone: fmt.Sprintf("zone-%d", i%soakZones), Slots: soakSlots, Body: func(r *http.Request) string {
			return replyBody(service, r.Header.Get(platform.RequestID))
		},
	}
	srv.Intercept(func(w http.ResponseWriter, r *http.Request) bool { return sv.intercept(srv, w, r) })
	sv.stateMu.Lock()
	sv.ids = append(sv.ids, id)
	sv.current.Store(srv)
	sv.stateMu.Unlock()
	sv.publishState("ready")
}

// nextID returns the id of the next server at the address, which runs as index i. No other server of
// the soak has it: entries in the store, drains and arrivals go by ids.
func (sv *soakServer) nextID(i int) string {
	sv.started++
	return fmt.Sprintf("i-%d-%d-%d", i, sv.index, sv.started)
}

// publishState publishes the current server with a state.
func (sv *soakServer) publishState(state string) {
	sv.stateMu.Lock()
	defer sv.stateMu.Unlock()
	sv.state = state
	sv.publishLocked()
}

func (sv *soakServer) publishLocked() {
	srv := sv.current.Load()
	sv.s.store.Put(standin.EntryKey(srv.ID), srv.Entry(sv.address, sv.state))
}

// remove removes the current server's entry.
func (sv *soakServer) remove() {
	sv.stateMu.Lock()
	defer sv.stateMu.Unlock()
	sv.state = ""
	sv.s.store.Remove(standin.EntryKey(sv.current.Load().ID))
}

// sendHeartbeats writes the current server's entry again at intervals until ctx ends.
func (sv *soakServer) sendHeartbeats(ctx context.Context, rng *rand.Rand) {
	interval := soakHeartbeat/2 + time.Duration(rng.Int64N(int64(soakHeartbeat/2)))
	for ctx.Err() == nil {
		time.Sleep(interval)
		sv.stateMu.Lock()
		if sv.state != "" {
			sv.publishLocked()
		}
		sv.stateMu.Unlock()
	}
}

// removeEarlier removes the entries of earlier servers at the address, which a copy of the store
// may hold: without heartbeats, they lapse.
func (sv *soakServer) removeEarlier() {
	sv.stateMu.Lock()
	defer sv.stateMu.Unlock()
	for _, id := range sv.ids {
		if id != sv.current.Load().ID || sv.state == "" {
			sv.s.store.Remove(standin.EntryKey(id))
		}
	}
}

// ServeHTTP implements http.Handler. It reads the body first, since net/http notices a
// closed connection only once the body is read.
func (sv *soakServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // if the body is cut short, nobody waits for the reply
	sv.current.Load().ServeHTTP(w, r)
}

// intercept records a request that is meant for srv, and replies if srv has no
// free slot or misbehaves; false leaves the reply to srv.
func (sv *soakServer) intercept(srv *standin.Server, w http.ResponseWriter, r *http.Request) bool {
	sv.interceptDeadly(srv.ID, r)
	fault := *sv.fault.Load()
	a := arrival{
		id: r.Header.Get(platform.RequestID), service: srv.Service, server: srv.ID, zone: srv.Zone, at: time.Now(),
		deadline: parseMilliseconds(r.Header.Get(platform.Deadline)), vm: sourceVM(r),
	}
	tell := func() {}
	if n := sv.notice.Load(); n != nil && n.server == srv.ID {
		n.setHeaders(w.Header())
		tell = func() { n.recordTold(a.vm) }
		if n.pause > 0 {
			sv.s.evidence.recordArrival(a)
			tell()
			standin.ReplyNotRun(w, http.StatusServiceUnavailable)
			return true
		}
	}
	select {
	case sv.slots <- struct{}{}:
		defer func() { <-sv.slots }()
	default:
		sv.s.evidence.recordArrival(a)
		tell()
		standin.ReplyNotRun(w, http.StatusServiceUnavailable)
		return true
	}
	reply, twice := sv.dueTwice(fault, srv, a, r)
	a.ran, a.workTime = !reply.notRun || reply.isCopy, soakServiceTime+fault.Slow
	done := sv.s.evidence.recordArrival(a)
	defer done()
	if twice {
		sv.sendTwice(reply, w, r)
		return true
	}
	select {
	case <-time.After(a.workTime):
	case <-r.Context().Done():
		return true // the VM has closed the connection
	}
	losesReply := float64(hash(a.id+srv.ID)%100) < 100*fault.LoseShare
	if !losesReply && !fault.Truncate { // a truncated body may be lost with its head
		tell()
	}
	if losesReply && !fault.Fail {
		panic(http.ErrAbortHandler)
	}
	if sv.s.breaksSome.Load() && hash("broken"+a.id+srv.ID)%brokenEvery == 0 {
		sv.sendBroken(a, w)
		return true
	}
	return sv.misbehave(fault, srv, a, w, r)
}

// misbehave replies to a request that ran as the fault says; false leaves the reply to srv.
func (sv *soakServer) misbehave(fault serverFault, srv *standin.Server, a arrival, w http.ResponseWriter, r *http.Request) bool {
	switch {
	case fault.Fail:
		srv.SetReplyHeaders(w, a.id)
		w.WriteHeader(http.StatusInternalServerError)
	case fault.Crossed:
		srv.SetReplyHeaders(w, "other-"+a.id)
		_, _ = w.Write([]byte(replyBody(srv.Service, "other-"+a.id))) // the VM closes the connection
	case fault.Truncate:
		srv.SetReplyHeaders(w, a.id)
		body := srv.Body(r)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body[:len(body)/2])) // truncated on purpose
		panic(http.ErrAbortHandler)
	case fault.Endless:
		srv.SetReplyHeaders(w, a.id)
		sv.sendEndless(w, a)
	default:
		return false
	}
	return true
}

// endlessBlock is sent again and again by a server whose bodies have no end. The VM has to close the
// connection within endlessSlack of the request's deadline.
const (
	endlessBlock = 32 << 10
	endlessSlack = time.Second
)

// sendEndless sends bytes until the VM closes the connection.
func (sv *soakServer) sendEndless(w http.ResponseWriter, a arrival) {
	block := make([]byte, endlessBlock)
	start := time.Now()
	for {
		if _, err := w.Write(block); err != nil {
			panic(http.ErrAbortHandler)
		}
		if time.Since(start) > a.deadline+endlessSlack {
			sv.s.evidence.recordViolation(endlessRead, "%s reads a body without end of %s for over %v", a.vm, a.server, time.Since(start).Round(time.Millisecond))
			panic(http.ErrAbortHandler)
		}
	}
}

// sourceVM returns the IP address of the VM that sent a request.
func sourceVM(r *http.Request) string {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr) // always a valid address
	return ip
}

// replyBody returns a service's reply to a request. A shard replies with records in descending
// order, each made of a rank, the request's hash, the shard and the record's number.
func replyBody(service, id string) string {
	shard, err := strconv.Atoi(strings.TrimPrefix(service, "shard-"))
	if err != nil {
		return "done " + id
	}
	records := make([]string, soakRecordsPerReply)
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

func parseMilliseconds(text string) time.Duration {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n * float64(time.Millisecond))
}
