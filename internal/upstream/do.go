package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/sardinespindle/sardinespindle/internal/guard"
	"github.com/sardinespindle/sardinespindle/internal/policy/poison"
	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	"github.com/sardinespindle/sardinespindle/internal/replyhead"
)

// maxTries bounds the tries of an attempt, the first one included. An attempt is tried
// again if its connection failed before the first byte, or if the upstream's lease expired
// while the attempt waited for a connection.
const maxTries = 3

var (
	errTicketUsed   = errors.New("upstream: ticket was used before")
	errBeforeWrite  = errors.New("upstream: check before sending failed")
	errPastDeadline = errors.New("upstream: deadline passed before sending")
	errLeaseExpired = errors.New("upstream: lease expired before sending")
	errNotRun       = errors.New("upstream refused before it ran anything")
	errStatus       = errors.New("upstream replied with an error")
	errNotWritten   = errors.New("connection had ended before the first byte")
	contentType     = []string{"application/json"}
)

// Do makes one attempt at the ticket's replica. The attempt is never sent again after
// its first byte.
func (c *Client) Do(ctx context.Context, t *Ticket, a Attempt) Result {
	s := t.server
	if !t.used.CompareAndSwap(false, true) {
		return Result{Class: NotSent, Address: s.address, Err: errTicketUsed}
	}
	if !a.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.Deadline)
		defer cancel()
	}
	a.takenAt = t.pickedAt
	r, sentAt := c.attempt(ctx, s, &a)
	now := c.opts.Now()
	r.Address = s.address
	r.Latency = now - t.pickedAt
	lost := a.Kind == PassThrough && r.Class == Lost
	if lost {
		c.judgeLost(ctx, s, &a, &r)
	}
	if a.Kind == PassThrough {
		c.recordPassThrough(s, t, &a, &r, now, now-sentAt)
	}
	if r.Class == NotSent {
		s.returnCold(a.takenAt)
		if t.rateTaken {
			s.returnRate()
		}
	}
	if !lost {
		s.tellFate(&a, fateOf(&r), now)
	}
	s.recordResult(now, recordedClass(&r), now-sentAt, r.Latency, r.RetryAfter)
	c.recordCut(s, &r, now)
	t.metrics.count(r.Class, r.Latency)
	return r
}

// fateOf returns what the result of an attempt says of its upstream; of a lost one, see judgeLost.
func fateOf(r *Result) poison.Fate {
	if errors.Is(r.Err, readlimit.ErrNoMemory) {
		return poison.Lives // whether or not it was in time: a part of the reply is there
	}
	switch r.Class {
	case OK, Failed:
		return poison.Ran
	case Shed, NotSent, InvalidReply:
		return poison.Lives
	default:
		return poison.Unknown
	}
}

// logRefused logs that an upstream refuses connections after one was lost.
func (c *Client) logRefused(s *server, a *Attempt, ended bool) {
	if c.opts.Log != nil {
		c.opts.Log.Info("upstream refuses connections after one was lost", "id", a.PassThrough.ID, "address", s.address, "identity", s.identity,
			"ended", ended)
	}
}

// recordedClass returns the class under which the replica's state records r.
func recordedClass(r *Result) Class {
	switch {
	case errors.Is(r.Err, errNoRoom):
		return notRead
	case errors.Is(r.Err, errConnect):
		return failedConnect
	case r.Class == Failed && r.Status/100 == 4:
		return notServed
	default:
		return r.Class
	}
}

// attempt renews the lease if needed, takes a connection and sends. sentAt is the
// time of the first byte, if one was sent.
func (c *Client) attempt(ctx context.Context, s *server, a *Attempt) (r Result, sentAt time.Duration) {
	r = Result{Class: NotSent, Err: errNotWritten}
	for range maxTries {
		if err := c.ensureLease(ctx, s); err != nil {
			return Result{Class: NotSent, Err: err}, 0
		}
		if a.Kind == PassThrough && c.path.isStranded() {
			return Result{Class: NotSent, Err: ErrUnreachable}, 0
		}
		cn, err := s.pool.getFor(ctx, a)
		if err != nil {
			return Result{Class: NotSent, Err: err}, 0
		}
		if !c.hasLease(s) {
			// The lease expired while the attempt waited for a connection.
			s.pool.put(cn)
			r.Err = errLeaseExpired
			continue
		}
		if err := s.refuses(c.opts.Now()); err != nil {
			s.pool.put(cn)
			return Result{Class: NotSent, Err: err}, 0
		}
		r, sentAt = c.sendGuarded(ctx, s, cn, a)
		if !errors.Is(r.Err, errNotWritten) {
			return r, sentAt
		}
	}
	return r, 0
}

// hasLease reports whether the lease allows new work.
func (c *Client) hasLease(s *server) bool {
	return !c.rules.drain || s.verdict(c.opts.Now()) == readyVerdict
}

// sendGuarded is send, but a panic ends as an invalid reply and closes the connection.
func (c *Client) sendGuarded(ctx context.Context, s *server, cn *conn, a *Attempt) (r Result, sentAt time.Duration) {
	defer guard.Catch(func(err error) {
		cn.drop()
		r = Result{Class: InvalidReply, Err: err}
		if c.opts.Log != nil {
			c.opts.Log.Error("attempt failed inside this VM", append(guard.LogFields(err), "address", s.address)...)
		}
	})
	return c.send(ctx, s, cn, a)
}

// send makes the attempt on one connection and puts the connection back or closes it.
// It also returns the time of the first byte, if one was sent.
func (c *Client) send(ctx context.Context, s *server, cn *conn, a *Attempt) (Result, time.Duration) {
	req := c.newAttemptRequest(ctx, s, a)
	a.reused, cn.carried = cn.carried, true
	cn.sock.startAttempt(func() error { return c.checkBeforeWrite(ctx, s, a) })
	resp, err := cn.roundTrip(req) //nolint:bodyclose // readBody and readPassThrough close it
	if err != nil {
		wrote, read, sent := cn.sock.endAttempt()
		return s.discardLost(ctx, cn, err, wrote, read), sent
	}
	read := c.readBody
	if a.Kind == PassThrough {
		c.recordReplyHead(s, a, resp, cn.sock.attemptSentAt())
		read = c.readPassThrough
	}
	body, err := read(resp, cmp.Or(a.MaxReplyBytes, maxReplyBody))
	received := c.opts.Now()
	_, _, sent := cn.sock.endAttempt()
	if err != nil {
		return s.discardLost(ctx, cn, err, true, true), sent
	}
	if a.Kind != PassThrough && c.rules.echo && resp.Header.Get(headerRequestID) != a.RequestID {
		cn.drop()
		return Result{Class: InvalidReply, Status: resp.StatusCode, Err: errOtherAttempt}, sent
	}
	r := c.classify(a, resp, body)
	if r.Class == InvalidReply {
		cn.drop()
		return r, sent
	}
	s.pool.clearSaturation()
	if a.Kind == PassThrough && !c.canCarryAnother(cn, a, resp, r.Class) {
		cn.drop()
	} else {
		s.pool.put(cn)
	}
	if a.Kind == PassThrough {
		r.load = c.passThroughLoad(resp.Header)
		return r, sent
	}
	c.recordHeaders(s, resp, sent, received)
	return r, sent
}

// canCarryAnother reports whether a connection can carry another request after a reply to a pass-through one.
// A copy of a reply without an id could not be told from the next reply.
func (c *Client) canCarryAnother(cn *conn, a *Attempt, resp *http.Response, class Class) bool {
	if c.rules.echo && resp.Header.Get(c.opts.Headers.RequestID) == "" {
		return false
	}
	return class != Shed || cn.recordRefusal(a.PassThrough.ID)
}

// checkBeforeWrite returns an error if the attempt must not be sent any more. It runs
// right before the first byte is written.
func (c *Client) checkBeforeWrite(ctx context.Context, s *server, a *Attempt) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return errPastDeadline
	}
	if !c.hasLease(s) {
		return errLeaseExpired
	}
	if s.removed.Load() {
		return fmt.Errorf("%w: %w", errBeforeWrite, ErrNoReplica)
	}
	now := c.opts.Now()
	if err := s.refuses(now); err != nil {
		return fmt.Errorf("%w: %w", errBeforeWrite, err)
	}
	if a.Kind == PassThrough {
		if err := c.writeCold(s, a); err != nil {
			return err
		}
	}
	if a.BeforeWrite != nil {
		if err := a.BeforeWrite(); err != nil {
			return fmt.Errorf("%w: %w", errBeforeWrite, err)
		}
	}
	if a.Watcher != nil && a.watched == nil {
		a.watched = a.Watcher.Sending(s, a.Shard, now)
	}
	if a.Kind == PassThrough {
		c.countSent(s, now)
	}
	s.recordAsked(now)
	return nil
}

// discardLost closes a connection that got no complete reply, and classifies the attempt.
func (s *server) discardLost(ctx context.Context, cn *conn, err error, wrote, read bool) Result {
	cn.drop()
	r := classifyLost(ctx, err, wrote, read)
	if r.Class == Canceled || r.Class == TimedOut {
		s.pool.replaceDropped()
	}
	return r
}

// classifyLost classifies an attempt that got no complete reply.
func classifyLost(ctx context.Context, err error, wrote, read bool) Result {
	switch {
	case !wrote && refusedLocally(ctx, err):
		return Result{Class: NotSent, Err: err}
	case !wrote:
		return Result{Class: NotSent, Err: fmt.Errorf("%w: %w", errNotWritten, err)}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Result{Class: TimedOut, Err: err}
	case ctx.Err() != nil:
		return Result{Class: Canceled, Err: err}
	case errors.Is(err, replyhead.ErrInvalid):
		return Result{Class: InvalidReply, Err: err}
	case read:
		return Result{Class: InvalidReply, Err: fmt.Errorf("%w: %w", errCut, err)}
	default:
		return Result{Class: Lost, Err: err}
	}
}

// refusedLocally reports whether this VM decided not to send. Otherwise the connection
// had failed, and the attempt may use another one.
func refusedLocally(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, errPastDeadline) || errors.Is(err, errLeaseExpired) || errors.Is(err, errBeforeWrite)
}

// classify classifies a complete reply.
func (c *Client) classify(a *Attempt, resp *http.Response, body []byte) Result {
	if a.Kind == PassThrough {
		return c.classifyPassThrough(a, resp, body)
	}
	status := resp.StatusCode
	r := Result{Status: status, RetryAfter: parseRetryAfter(resp)}
	answered := status/100 == 2 || status/100 == 4
	switch {
	case status == http.StatusServiceUnavailable && resp.Header.Get(headerNotRun) == "true":
		r.Class, r.Err = Shed, errNotRun
	case a.Kind == Single && answered:
		r.Class, r.Body = OK, body
	case a.Kind == Search && status == http.StatusOK:
		reply, err := decodeReply(body)
		if err == nil {
			err = c.checkReply(a, reply.RequestId, reply.Shard)
		}
		if err != nil {
			r.Class, r.Err = InvalidReply, err
			return r
		}
		r.Class, r.Reply = OK, reply
	default:
		r.Class, r.Err = Failed, fmt.Errorf("%w: status %d", errStatus, status)
		r.Body = body
	}
	return r
}

// checkReply checks that a reply is for this attempt and its shard.
func (c *Client) checkReply(a *Attempt, id, shard string) error {
	if !c.rules.echo {
		return nil
	}
	if id != a.RequestID {
		return errOtherAttempt
	}
	if shard != a.Shard {
		return errOtherShard
	}
	return nil
}

// recordHeaders records the drain state and the load that a reply reports.
func (c *Client) recordHeaders(s *server, resp *http.Response, sent, received time.Duration) {
	c.path.replied(received)
	s.recordReplied(received)
	c.recordDrainState(s, sent, received, isDraining(resp))
	if load, ok := parseLoad(resp); ok {
		s.recordLoad(received, load)
	}
}

// newAttemptRequest builds the HTTP request of an attempt.
func (c *Client) newAttemptRequest(ctx context.Context, s *server, a *Attempt) *http.Request {
	if a.Kind == PassThrough {
		return c.newPassThroughRequest(ctx, s, a)
	}
	path := "/request/" + a.Workload
	if a.Kind == Search {
		path = "/search/" + a.Workload
	}
	req := newRequest(ctx, http.MethodPost, s.address, path, a.Body)
	h := req.Header
	h["Content-Type"] = contentType
	h[headerRequestID] = []string{a.RequestID}
	if a.Shard != "" {
		h[headerShard] = []string{a.Shard}
	}
	if a.Snapshot != nil {
		h[headerSnapshot] = []string{strconv.Itoa(a.Snapshot.Index) + "." + strconv.Itoa(a.Snapshot.Map)}
	}
	if d, ok := ctx.Deadline(); ok {
		left := max(time.Until(d).Milliseconds(), 1)
		h[headerDeadline] = []string{strconv.FormatInt(left, 10)}
	}
	if a.IdempotencyKey != "" {
		h[headerKey] = []string{a.IdempotencyKey}
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
	return req
}

// newRequest returns a request without GetBody, so that net/http cannot send it again.
func newRequest(ctx context.Context, method, address, path string, body []byte) *http.Request {
	req := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: address, Path: path},
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, 8),
		Host:   address,
		Body:   http.NoBody,
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	return req.WithContext(ctx)
}
