package gather

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/retry"
)

// maxReports is the most losses that one search reports; the fleet refuses a request
// after as many.
const maxReports = 2

// report is the end of telling the fleet about a lost connection.
type report struct {
	shard  *shard // its retry asked for permission, or nil
	permit bool
}

// lost tells the fleet of a lost connection, and asks whether the shard may be tried
// again where it waits for that. Both take time, so they run beside the search.
func (q *query) lost(sh *shard, at *attempt) {
	if !q.e.mode.poison {
		return
	}
	tell := q.losses <= maxReports && q.e.firstReport(q.s.Fingerprint, at.address)
	if !tell && !sh.asking {
		return
	}
	q.e.log.Warn("connection lost while a request ran", "workload", q.workload, "address", at.address)
	q.reporting++
	go q.tell(sh, at, tell, sh.asking)
}

func (q *query) tell(sh *shard, at *attempt, tell, ask bool) {
	if tell {
		q.e.poison.Crashed(q.s.Fingerprint, at.id)
	}
	r := report{}
	if ask {
		r = report{shard: sh, permit: !q.e.poison.Crashes(q.s.Fingerprint)}
	}
	select {
	case q.reports <- r:
	case <-q.ctx.Done():
	}
}

// reported goes on with the shard that waited for permission.
func (q *query) reported(r report) {
	q.reporting--
	sh := r.shard
	if sh == nil {
		return
	}
	sh.asking = false
	if !r.permit {
		q.denied = true
		sh.given = true
		q.touch(sh)
		return
	}
	if q.launch(sh, q.wanted) {
		q.counters.retried.Inc()
	}
}

// awaitReports holds the outcome back until the fleet knows of the losses, so that a
// resend through another VM meets what is known here; at most until the deadline.
func (q *query) awaitReports() {
	if q.reporting == 0 {
		return
	}
	timeout := time.NewTimer(time.Until(q.s.Deadline))
	defer timeout.Stop()
	for q.reporting > 0 {
		select {
		case r := <-q.reports:
			q.reporting--
			q.denied = q.denied || r.shard != nil && !r.permit
		case <-timeout.C:
			return
		}
	}
}

// suspected reports whether the request is held to crash upstreams.
func (q *query) suspected() bool {
	return q.e.mode.poison && (q.denied || q.losses > retry.AfterLoss)
}
