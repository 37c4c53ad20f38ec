package forward

import (
	"errors"
	"fmt"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/replyhead"
	"github.com/sardinespindle/sardinespindle/internal/single"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

var errUnexpectedReply = errors.New("reply does not fit the request")

// checkDelegated returns an error unless a VM's reply can be the outcome of the request. An earlier build
// does not say by which version it ran the request; its reply to a single request is whole by any.
func (q *request) checkDelegated(d *gen.Delegated) error {
	switch {
	case !d.Taken:
		return nil
	case d.Version != q.catalog.Config.Version && (q.route.Sharded() || d.Version != 0):
		return fmt.Errorf("%w: run by version %d, not %d", errUnexpectedReply, d.Version, q.catalog.Config.Version)
	case q.route.Sharded() && d.Status != 0:
		return fmt.Errorf("%w: a single service's reply, status %d, to a search", errUnexpectedReply, d.Status)
	case !q.route.Sharded() && (d.Shards != 0 || len(d.Signatures) > 0):
		return fmt.Errorf("%w: a search of %d shards to a request to a single service", errUnexpectedReply, d.Shards)
	}
	switch caller.Outcome(d.Outcome) {
	case caller.OutcomeNotRun, caller.OutcomeUnknown:
		return nil
	case caller.OutcomeAnswered:
		return q.checkAnswered(d)
	default:
		return fmt.Errorf("%w: outcome %q", errUnexpectedReply, d.Outcome)
	}
}

// checkAnswered returns an error unless a VM's answer covers the request's own shards or, to a request to
// a single service, has a status.
func (q *request) checkAnswered(d *gen.Delegated) error {
	if !q.route.Sharded() {
		if d.Status < minStatus || d.Status > maxStatus {
			return fmt.Errorf("%w: status %d", errUnexpectedReply, d.Status)
		}
		return nil
	}
	if total := q.totalShards(); d.Shards != total || d.Covered < 0 || d.Covered > total || len(d.Signatures) != d.Covered {
		return fmt.Errorf("%w: %d signatures, %d of %d shards covered, of %d searched", errUnexpectedReply, len(d.Signatures), d.Covered, d.Shards, total)
	}
	return nil
}

// Statuses of final replies in HTTP.
const (
	minStatus = 200
	maxStatus = 599
)

func toDelegated(o *outcome.Outcome) *gen.Delegated {
	d := &gen.Delegated{
		Taken: true, Outcome: string(o.Kind), Reason: string(o.Reason), Detail: o.Detail,
		RetryAfterUs: int(o.RetryAfter.Microseconds()), Records: string(o.Result), Signatures: o.Signatures,
		Sent: o.Cost.Sent, Shed: o.Cost.Shed, Status: o.ResultStatus, Headers: toHeaders(o.Header),
	}
	if d.Signatures == nil {
		d.Signatures = []string{}
	}
	if o.Coverage != nil {
		d.Shards, d.Covered = o.Coverage.ShardsTotal, o.Coverage.ShardsCovered
	}
	return d
}

func fromDelegated(d *gen.Delegated) outcome.Outcome {
	o := outcome.Outcome{
		Kind: caller.Outcome(d.Outcome), Reason: outcome.Reason(d.Reason), Detail: d.Detail,
		RetryAfter: time.Duration(d.RetryAfterUs) * time.Microsecond,
		Result:     []byte(d.Records), Signatures: d.Signatures,
		Cost: outcome.Cost{Sent: d.Sent, Shed: d.Shed},
	}
	if d.Status != 0 {
		o.ResultStatus, o.Header = d.Status, fromHeaders(d.Headers)
	}
	if d.Shards > 0 {
		o.Coverage = &caller.Coverage{
			ShardsTotal: d.Shards, ShardsCovered: d.Covered, Complete: d.Covered == d.Shards,
		}
	}
	return o
}

// outcomeOf returns the outcome of a request by a VM's reply that checkDelegated accepts. A VM of an earlier build takes
// replies of upstreams that have an invalid head. One that names no version takes a late copy of a refusal for that of a
// later order, and passes on statuses that promise callers that an order has not run; such an order may have run.
func (q *request) outcomeOf(d *gen.Delegated) outcome.Outcome {
	o := fromDelegated(d)
	if err := replyhead.CheckNames(o.Header); err != nil {
		return unknownUpstream(&o, "a VM of an earlier build took the reply: "+err.Error())
	}
	if d.Version == q.catalog.Config.Version || q.route.Sharded() || q.route.Idempotent {
		return o
	}
	refused := o.Kind == caller.OutcomeNotRun && o.Cost.Sent > 0
	if !refused && (o.Kind != caller.OutcomeAnswered || !single.PromisesNotRun(o.ResultStatus)) {
		return o
	}
	return unknownUpstream(&o, "a VM of an earlier build can't tell whether the order ran: "+o.Detail)
}

// unknownUpstream returns the outcome for a request that cost what o did, of which no upstream's reply can be used.
func unknownUpstream(o *outcome.Outcome, detail string) outcome.Outcome {
	unknown := outcome.Unknown(outcome.UpstreamError, detail, o.RetryAfter)
	unknown.Cost = o.Cost
	return unknown
}
