package callers

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/outcome"
	"github.com/sardinespindle/sardinespindle/internal/policy/once"
	"github.com/sardinespindle/sardinespindle/internal/validate"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// Headers of a caller's request.
const (
	deadlineHeader     = "Spindle-Deadline-Ms"
	keyHeader          = "Idempotency-Key"
	firstAttemptHeader = "Spindle-First-Attempt"
)

const (
	maxSearchBytes = 16 << 10 // even if the workload allows larger bodies
	maxKeyLength   = 64       // bytes
	defaultLimit   = 10
)

// input is a request that passed every check.
type input struct {
	workload     *manifest.Workload
	grant        *gen.Grant
	deadline     time.Time
	body         []byte
	fingerprint  string
	query        upstream.Query
	key          string
	firstAttempt bool
}

// rejectionError is the error of a request that did not pass a check.
type rejectionError struct {
	outcome outcome.Outcome
}

// Error returns the reason and its detail.
func (e *rejectionError) Error() string { return string(e.outcome.Reason) + ": " + e.outcome.Detail }

func reject(r outcome.Reason, format string, args ...any) error {
	return &rejectionError{outcome.Rejected(r, fmt.Sprintf(format, args...))}
}

// readInput checks identity, workload, headers and body, in this order.
func (s *Server) readInput(w http.ResponseWriter, r *http.Request, c *call, m *manifest.Manifest) (*input, error) {
	in := &input{}
	if err := authorize(r, c, m, in); err != nil {
		return nil, err
	}
	if err := in.readDeadline(r, c.start); err != nil {
		return nil, err
	}
	if err := in.readKey(r); err != nil {
		return nil, err
	}
	if err := in.readBody(w, r); err != nil {
		return nil, err
	}
	return in, nil
}

// authorize finds the caller by its token, the workload and the caller's grant for it, and
// checks that the path fits the kind of workload. The workload in c becomes a metric label, so
// it is set only to the name of a workload of the manifest.
func authorize(r *http.Request, c *call, m *manifest.Manifest, in *input) error {
	name := r.PathValue("workload")
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return reject(outcome.Unauthorized, "no bearer token")
	}
	sum := sha256.Sum256([]byte(token))
	caller, ok := m.Callers[hex.EncodeToString(sum[:])]
	if !ok {
		return reject(outcome.Unauthorized, "unknown token")
	}
	c.caller = string(caller.Name)
	w, ok := m.Workloads[name]
	if !ok {
		return reject(outcome.UnknownWorkload, "unknown workload %q", name)
	}
	c.workload = name
	grant, ok := caller.ByWorkload[c.workload]
	if !ok {
		return reject(outcome.Forbidden, "caller %s has no grant for %s", c.caller, c.workload)
	}
	if search := strings.HasSuffix(r.URL.Path, "/search"); search != w.Sharded() {
		return reject(outcome.BadRequest, "workload %s is %s", c.workload, w.Kind)
	}
	in.workload = w
	in.grant = grant
	return nil
}

// readDeadline takes the deadline of the grant, or an earlier one that the caller set.
func (in *input) readDeadline(r *http.Request, start time.Time) error {
	budget := manifest.MaxDeadline(in.grant)
	if text := r.Header.Get(deadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms < 1 {
			return reject(outcome.BadRequest, "%s: %q is no positive number of milliseconds", deadlineHeader, text)
		}
		budget = min(budget, time.Duration(ms)*time.Millisecond)
	}
	in.deadline = start.Add(budget)
	return nil
}

// readKey reads the idempotency key and whether the request is a first attempt. Only a workload
// that is not idempotent requires a valid key.
func (in *input) readKey(r *http.Request) error {
	in.key = r.Header.Get(keyHeader)
	in.firstAttempt = r.Header.Get(firstAttemptHeader) == "true"
	if in.workload.Idempotent {
		return nil
	}
	if in.key == "" {
		return reject(outcome.MissingKey, "%s is required for %s", keyHeader, in.workload.Name)
	}
	if len(in.key) > maxKeyLength {
		return reject(outcome.BadKey, "%s is longer than %d", keyHeader, maxKeyLength)
	}
	if _, err := once.Birth(in.key); err != nil {
		return reject(outcome.BadKey, "%s: %v", keyHeader, err)
	}
	return nil
}

func (in *input) readBody(w http.ResponseWriter, r *http.Request) error {
	limit := int64(in.workload.MaxBodyBytes)
	if in.workload.Sharded() {
		limit = min(limit, maxSearchBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return reject(outcome.TooLarge, "body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return reject(outcome.BadRequest, "read body: %v", err)
	}
	in.body = body
	in.fingerprint = fingerprint(string(in.workload.Name), body)
	if in.workload.Sharded() {
		return in.readQuery()
	}
	return nil
}

// searchSchema is compiled at the first search: a VM that serves a catalog needs none.
var searchSchema = sync.OnceValue(func() *validate.Schema { return validate.MustCompile("caller", "Search") })

func (in *input) readQuery() error {
	tree, err := validate.DecodeJSON(bytes.NewReader(in.body))
	if err != nil {
		return reject(outcome.BadRequest, "body: %v", err)
	}
	if err := searchSchema().Check(tree); err != nil {
		return reject(outcome.BadRequest, "body: %v", err)
	}
	if err := json.Unmarshal(in.body, &in.query); err != nil {
		return reject(outcome.BadRequest, "body: %v", err)
	}
	if in.query.Limit == 0 {
		in.query.Limit = defaultLimit
	}
	return nil
}

// fingerprint identifies requests of the same workload and body: the first 16 bytes of
// their SHA-256, in hexadecimal. A zero byte separates workload and body.
func fingerprint(workload string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(workload))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
