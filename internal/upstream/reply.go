package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/readlimit"
	"github.com/sardinespindle/sardinespindle/internal/replyhead"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// Header names, in the canonical form of net/http.
const (
	headerRequestID  = "Spindle-Request-Id"
	headerShard      = "Spindle-Shard"
	headerSnapshot   = "Spindle-Snapshot"
	headerDeadline   = "Spindle-Deadline-Ms"
	headerDraining   = "Spindle-Draining"
	headerLoad       = "Spindle-Load"
	headerNotRun     = "Spindle-Not-Run"
	headerRetryAfter = "Retry-After"
	headerKey        = "Idempotency-Key"
)

const (
	// defaultReadBytes is the memory for replies that are being read, unless Options.Reads is set.
	defaultReadBytes = 256 << 20
	maxReplyBody     = 8 << 20
	maxProbeBody     = 4 << 10
	maxDocuments     = 1000
	// maxRetryAfter is longer than any process runs, and fits a time.Duration.
	maxRetryAfter = 20 * 365 * 24 * time.Hour
	maxLoad       = 1e6
)

// Errors of replies that are classified as InvalidReply.
var (
	errOtherAttempt = errors.New("reply is for another attempt")
	errOtherShard   = errors.New("reply is of another shard")
	errNoLength     = errors.New("reply has no length, so its end cannot be told from a cut")
	errInvalid      = errors.New("reply is not valid")
	errNoRoom       = errors.New("others leave no room for the reply")
)

// readBody reads a complete body of at most limit bytes and closes it.
func (c *Client) readBody(resp *http.Response, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	return c.readAll(resp.Body, resp, limit)
}

// readAll reads the body of a reply, and checks the fields after it. The error is errNoRoom if the reply has a length,
// and others leave no room for it. A reply without a length may have no end, so that its upstream is to blame.
func (c *Client) readAll(body io.Reader, resp *http.Response, limit int64) ([]byte, error) {
	b, err := c.opts.Reads.ReadAll(body, limit, resp.ContentLength)
	if resp.ContentLength >= 0 && errors.Is(err, readlimit.ErrNoMemory) && !errors.Is(err, readlimit.ErrOwnSize) {
		err = fmt.Errorf("%w: %w", errNoRoom, err)
	}
	if err == nil {
		err = replyhead.CheckNames(resp.Trailer)
	}
	return b, err
}

// wireReply has pointer fields to distinguish a missing field from a zero one.
type wireReply struct {
	RequestID *string `json:"request_id"`
	Shard     *string `json:"shard"`
	Snapshot  *struct {
		Index *int `json:"index"`
		Map   *int `json:"map"`
	} `json:"snapshot"`
	Documents     *[]gen.Document `json:"documents"`
	DocumentsHeld *int            `json:"documents_held"`
}

// decodeReply decodes one shard's reply and checks that no field is missing or out of range.
func decodeReply(body []byte) (*gen.Reply, error) {
	var w wireReply
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	if w.RequestID == nil || w.Shard == nil || w.Documents == nil || w.DocumentsHeld == nil {
		return nil, fmt.Errorf("%w: a field is missing", errInvalid)
	}
	if w.Snapshot == nil || w.Snapshot.Index == nil || w.Snapshot.Map == nil {
		return nil, fmt.Errorf("%w: snapshot is missing", errInvalid)
	}
	r := &gen.Reply{
		RequestId:     *w.RequestID,
		Shard:         *w.Shard,
		Snapshot:      gen.Snapshot{Index: *w.Snapshot.Index, Map: *w.Snapshot.Map},
		Documents:     *w.Documents,
		DocumentsHeld: *w.DocumentsHeld,
	}
	if r.Snapshot.Index < 0 || r.Snapshot.Map < 0 || r.DocumentsHeld < len(r.Documents) || len(r.Documents) > maxDocuments {
		return nil, fmt.Errorf("%w: a number is out of range", errInvalid)
	}
	for i := range r.Documents {
		if r.Documents[i].Id == "" {
			return nil, fmt.Errorf("%w: a document has no id", errInvalid)
		}
	}
	return r, nil
}

// isDraining reports whether a reply says that its upstream drains.
func isDraining(resp *http.Response) bool {
	return resp.Header.Get(headerDraining) == "true"
}

// parseLoad returns the load that a reply reports; false if it reports none.
func parseLoad(resp *http.Response) (float64, bool) {
	load, err := strconv.ParseFloat(resp.Header.Get(headerLoad), 64)
	if err != nil || !(load >= 0 && load <= maxLoad) {
		return 0, false
	}
	return load, true
}

// parseRetryAfter returns the Retry-After of a reply, at most maxRetryAfter; 0 if there is none.
func parseRetryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get(headerRetryAfter), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return min(time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)), maxRetryAfter)
}
