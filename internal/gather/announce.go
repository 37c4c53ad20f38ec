package gather

import (
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/policy/takeover"
)

// announced is an attempt of a pass-through search that waits until it may be sent.
type announced struct {
	address string
	hedge   bool
	paid    bool      // a repeat was paid for, or none is needed
	notFrom time.Time // the attempt is sent at this time or later
}

// confirmations passes confirmed announcements from any goroutine to that of the search.
type confirmations struct {
	sequence atomic.Int64  // highest that was confirmed
	wake     chan struct{} // holds an element after sequence was raised
}

func (c *confirmations) confirm(sequence int) {
	for old := c.sequence.Load(); int64(sequence) > old; old = c.sequence.Load() {
		if c.sequence.CompareAndSwap(old, int64(sequence)) {
			break
		}
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

const (
	// A hedge is announced before it is due, by maxConfirmLead or by a part of its delay: about as
	// long as a confirmation takes.
	maxConfirmLead     = 5 * time.Millisecond
	confirmLeadDivisor = 4
)

// confirmLead returns how long before its time a hedge is announced.
func (q *query) confirmLead() time.Duration {
	if q.confirmed == nil {
		return 0
	}
	return min(maxConfirmLead, q.s.PassThrough.HedgeAfter/confirmLeadDivisor)
}

// sendOrAnnounce sends an attempt, or announces it and frees its ticket until it may be sent. It
// reports whether it did; if not, sh.repeatDenied holds the reason.
func (q *query) sendOrAnnounce(sh *shard, t Ticket, a announced) bool {
	a.address = t.Address()
	r := takeover.Hash(a.address)
	verdict := q.ledger.Decide(sh.index, r)
	if verdict == takeover.Send && !time.Now().Before(a.notFrom) {
		return q.sendRecorded(sh, t, a)
	}
	t.Cancel()
	if verdict == takeover.Never {
		sh.repeatDenied = "attempts"
		return false
	}
	if verdict == takeover.Announce {
		q.ledger.Announce(sh.index, r)
	}
	sh.announced = &a
	q.updateStatus(sh)
	if verdict == takeover.Send {
		q.wakeAt(a.notFrom)
	}
	return true
}

// sendRecorded sends an attempt that the ledger allows, unless it is a repeat that the budget does
// not allow.
func (q *query) sendRecorded(sh *shard, t Ticket, a announced) bool {
	if !a.paid && !q.s.PassThrough.TakeRepeat(string(sh.workload.Name), a.hedge) {
		t.Cancel()
		sh.repeatDenied = "budget"
		return false
	}
	q.ledger.RecordSent(sh.index, takeover.Hash(a.address))
	if a.hedge {
		q.counters.hedged.Inc()
	}
	q.send(sh, t, q.pin, a.hedge)
	return true
}

// reportAnnounced has the announcements made since the last call confirmed.
func (q *query) reportAnnounced() {
	u, sequence, ok := q.ledger.Report()
	if !ok {
		return
	}
	c := q.confirmed
	q.s.PassThrough.Announce(u, func() { c.confirm(sequence) })
}

// sendConfirmed sends the announced attempts that may be sent by now.
func (q *query) sendConfirmed(now time.Time) {
	if q.confirmed != nil {
		q.ledger.Confirm(int(q.confirmed.sequence.Load()))
	}
	for _, sh := range q.plan {
		a := sh.announced
		if a == nil || q.ledger.Decide(sh.index, takeover.Hash(a.address)) != takeover.Send {
			continue
		}
		if now.Before(a.notFrom) {
			q.wakeAt(a.notFrom)
			continue
		}
		sh.announced = nil
		if !q.sendAnnounced(sh, *a) {
			q.ledger.RecordNotRun(sh.index, takeover.Hash(a.address))
			q.updateStatus(sh)
			q.giveUpIfIdle(sh)
		}
	}
}

// sendAnnounced sends an announced attempt, if its replica takes it and its repeat is paid for.
func (q *query) sendAnnounced(sh *shard, a announced) bool {
	var others []string
	for _, u := range sh.workload.Upstreams {
		if u.Address != a.address {
			others = append(others, u.Address)
		}
	}
	t, _, err := q.e.client.PickPassThrough(sh.workload, q.workload, others)
	if err != nil {
		sh.repeatDenied = "replica"
		return false
	}
	return q.sendRecorded(sh, t, a)
}

// giveUpIfIdle gives a shard up whose announced attempt could not be sent, unless another one is
// under way.
func (q *query) giveUpIfIdle(sh *shard) {
	if sh.status != idle {
		return
	}
	sh.gaveUp, sh.missingCause = true, "no_"+sh.repeatDenied
	q.moveTrial()
	q.askLeftOut()
}
