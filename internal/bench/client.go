package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// Request is one request of a caller.
type Request struct {
	Caller   string
	Workload string
	Sharded  bool
	// Query and Limit are set for a search, Body for a request of a single workload.
	Query string
	Limit int
	Body  string
	// Nonce appears in Query or Body. Resends keep it, except those of Stream.Resend.
	Nonce    string
	Key      string
	Deadline time.Duration
}

// Attempt is what a caller saw of one attempt to send a request.
type Attempt struct {
	Request Request
	VM      string
	// Due is when the attempt should have been sent, Sent when it was, End when its
	// reply was complete or the attempt failed.
	Due, Sent, End time.Time
	// Offset is Due, measured from the start of the load.
	Offset time.Duration
	Status int
	// Reply is nil if no complete, valid reply arrived.
	Reply *caller.Reply
	Err   error
	// Refused reports that no connection could be opened.
	Refused bool
}

// Client sends callers' requests to VMs. It is safe for concurrent use.
type Client struct{ http *http.Client }

// idlePerVM bounds the idle connections to each VM.
const idlePerVM = 256

// replySlack is how long after the deadline the client still waits, so that late replies
// are seen.
const replySlack = 3 * time.Second

// NewClient returns a client with a connection pool of its own.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerVM}}}
}

// Do sends one attempt to the VM at an address.
func (c *Client) Do(ctx context.Context, address string, r Request) Attempt {
	s := Attempt{Request: r, VM: address, Sent: time.Now()}
	s.Due = s.Sent
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+replySlack)
	defer cancel()
	req, err := newRequest(ctx, address, r)
	if err != nil {
		s.Err = err
		return s
	}
	resp, err := c.http.Do(req)
	if err != nil {
		s.End = time.Now()
		s.Err = err
		s.Refused = refused(err)
		return s
	}
	defer resp.Body.Close()
	s.Status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	s.End = time.Now()
	if err != nil {
		s.Err = fmt.Errorf("read reply: %w", err)
		return s
	}
	var reply caller.Reply
	if err := json.Unmarshal(body, &reply); err != nil {
		s.Err = fmt.Errorf("decode reply: %w", err)
		return s
	}
	s.Reply = &reply
	return s
}

func newRequest(ctx context.Context, address string, r Request) (*http.Request, error) {
	path := "requests"
	body := []byte(r.Body)
	if r.Sharded {
		path = "search"
		var err error
		if body, err = json.Marshal(caller.Search{Query: r.Query, Limit: r.Limit}); err != nil {
			return nil, fmt.Errorf("encode search: %w", err)
		}
	}
	url := fmt.Sprintf("http://%s/v1/workloads/%s/%s", address, r.Workload, path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	// Without GetBody, net/http cannot resend the request by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+Token(r.Caller))
	req.Header.Set("Content-Type", "application/json")
	if r.Deadline > 0 {
		req.Header.Set("Spindle-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	return req, nil
}

// nonceWord returns the word that carries the nonce in a query or body.
func nonceWord(n string) string { return standin.NonceMark + n }

// errNoVM reports that the balancer lists no VM.
var errNoVM = errors.New("no VM listed")

// refused reports whether the error means that no connection could be opened.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
