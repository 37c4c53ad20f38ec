package gather

import (
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/retry"
)

// maxReports is the most losses that one search reports; after that many, the fleet
// refuses the request.
const maxReports = 2

// lossReport is the result of one run of sendReport.
type lossReport struct {
	shard     *shard // the shard whose retry asked for a permit, or nil
	permitted bool
}

// reportLoss reports a lost connection to the fleet and, if the shard awaits a permit,
// asks whether it may be retried. Both may block, so they run in their own goroutine.
func (q *query) reportLoss(sh *shard, at *attempt) {
	if !q.e.enabled.poison {
		return
	}
	notify := q.losses <= maxReports && q.e.firstLoss(q.s.Fingerprint, at.address)
	if !notify && !sh.awaitingPermit {
		return
	}
	q.e.log.Warn("connection lost while a request ran", "workload", q.workload, "address", at.address)
	q.pendingReports++
	go q.sendReport(sh, at, notify, sh.awaitingPermit)
}

// sendReport reports a loss if notify is set, and asks for a permit if ask is set.
func (q *query) sendReport(sh *shard, at *attempt, notify, ask bool) {
	if notify {
		q.e.poison.RecordLoss(q.s.Fingerprint, at.id)
	}
	r := lossReport{}
	if ask {
		r = lossReport{shard: sh, permitted: !q.e.poison.Refused(q.s.Fingerprint)}
	}
	select {
	case q.reports <- r:
	case <-q.ctx.Done():
	}
}

// handleReport retries or gives up the shard that awaited a permit.
func (q *query) handleReport(r lossReport) {
	q.pendingReports--
	sh := r.shard
	if sh == nil {
		return
	}
	sh.awaitingPermit = false
	if !r.permitted {
		q.retryDenied = true
		sh.gaveUp = true
		q.updateStatus(sh)
		return
	}
	if q.launch(sh, q.pin) {
		q.counters.retried.Inc()
	}
}

// awaitReports waits until the fleet has received the loss reports, at most until the
// deadline. A VM that gets a resend of the request then knows of these losses.
func (q *query) awaitReports() {
	if q.pendingReports == 0 {
		return
	}
	timeout := time.NewTimer(time.Until(q.s.Deadline))
	defer timeout.Stop()
	for q.pendingReports > 0 {
		select {
		case r := <-q.reports:
			q.pendingReports--
			q.retryDenied = q.retryDenied || r.shard != nil && !r.permitted
		case <-timeout.C:
			return
		}
	}
}

// suspected reports whether the request is suspected to crash upstreams.
func (q *query) suspected() bool {
	return q.e.enabled.poison && (q.retryDenied || q.losses > retry.MaxAfterLoss)
}
