package bench

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// In one of twiceSeeds seeds, all servers send some replies twice, one in twiceEvery, while there are faults.
const (
	twiceSeeds = 2
	twiceEvery = 6
)

// Ends of the signatures of replies that are no parts of a search, and of parts without records.
const (
	failureMark = "-failed"
	emptyMark   = "-empty"
)

// twiceStatuses are the statuses of replies that a server sends twice, beside its refusals.
var twiceStatuses = []int{200, 204, 206, 301, 400, 404, 409, 413, 429, 500, 502, 503, 504}

// twiceDelays are how long after such a reply it is sent again if the connection carries no other request.
var twiceDelays = []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 3 * time.Second}

// twiceReply is a reply that a server sends twice.
type twiceReply struct {
	status              int
	id, signature, body string
	notRun              bool
	isCopy              bool // sent again, in place of the reply to a request that runs
}

// dueTwice returns the reply to a request if it is one that is sent twice, or the copy of an earlier one of the connection.
func (sv *soakServer) dueTwice(fault serverFault, srv *standin.Server, a arrival, r *http.Request) (reply twiceReply, ok bool) {
	if earlier, ok := sv.again.LoadAndDelete(r.RemoteAddr); ok {
		reply = earlier.(twiceReply)
		reply.isCopy = true
		return reply, true
	}
	if fault.Doubled {
		return sv.chooseTwice(srv, a, 2)
	}
	if sv.s.doublesSome.Load() && hash("some"+a.id+srv.ID)%twiceEvery == 0 {
		return sv.chooseTwice(srv, a, 4)
	}
	return twiceReply{}, false
}

// chooseTwice returns the reply to a request: one in refuseEvery is refused, with or without a signature, and most of
// the others get any status; ok is false for the rest.
func (sv *soakServer) chooseTwice(srv *standin.Server, a arrival, refuseEvery uint32) (reply twiceReply, ok bool) {
	h := hash("twice" + a.id + srv.ID)
	reply = twiceReply{id: a.id, status: twiceStatuses[int(h/64)%len(twiceStatuses)]}
	signed := h/32%2 == 0
	switch {
	case h%refuseEvery == 0:
		reply.status, reply.notRun = []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest}[h/4%2], true
	case h/8%4 == 0:
		return twiceReply{}, false
	case srv.Service == "orders" && (reply.status == http.StatusNotFound || reply.status == http.StatusBadRequest || reply.status == http.StatusRequestEntityTooLarge):
		reply.status = http.StatusConflict // callers would get these of a route that is missing
	}
	reply.body = strings.Repeat("~", 2*recordSize) // greater than all records
	mark := failureMark
	switch {
	case reply.status == http.StatusNoContent:
		reply.body, mark = "", emptyMark
	case reply.status/100 == 2 && signed:
		reply.body, mark = replyBody(srv.Service, a.id), ""
	}
	if signed {
		reply.signature = "stamp-" + srv.ID + mark
	}
	return reply, true
}

// bytes returns the reply as it is sent.
func (t twiceReply) bytes() string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n", t.status, http.StatusText(t.status), platform.RequestID, t.id)
	if t.signature != "" {
		head += fmt.Sprintf("%s: %s\r\n", platform.UpstreamHeaders.Signature, t.signature)
	}
	if t.notRun {
		head += platform.UpstreamHeaders.NotRun + ": 1\r\n"
	}
	if t.status != http.StatusNoContent {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(t.body))
	}
	return head + "\r\n" + t.body
}

// sendTwice sends a reply that comes twice on its connection, or its copy: refusals and half of the others are sent again in
// place of the reply to the next request, the rest after one of twiceDelays.
func (sv *soakServer) sendTwice(reply twiceReply, w http.ResponseWriter, r *http.Request) {
	if reply.isCopy {
		sv.sendRaw(w, "doubled reply", reply.bytes(), 0)
		return
	}
	if reply.notRun || hash("when"+reply.id)%2 == 0 {
		sv.again.Store(r.RemoteAddr, reply)
		if reply.signature != "" {
			w.Header().Set(platform.UpstreamHeaders.Signature, reply.signature)
		}
		if reply.notRun {
			w.Header().Set(platform.UpstreamHeaders.NotRun, "1")
		}
		w.WriteHeader(reply.status)
		_, _ = w.Write([]byte(reply.body)) // fails only if the VM has closed the connection, or without a body
		return
	}
	sv.sendRaw(w, "doubled reply", reply.bytes(), 0, twiceDelays[int(hash("delay"+reply.id))%len(twiceDelays)])
}

// sendRaw sends the bytes of a reply after each of the delays, closes the connection and counts it as a fault.
func (sv *soakServer) sendRaw(w http.ResponseWriter, fault, reply string, delays ...time.Duration) {
	sv.s.evidence.countFault(fault)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	go func() {
		defer conn.Close()
		for _, d := range delays {
			time.Sleep(d)
			_, _ = conn.Write([]byte(reply)) // fails only if the VM has closed the connection
		}
		time.Sleep(soakServiceTime)
	}()
}
