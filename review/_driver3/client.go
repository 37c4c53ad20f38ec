package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

var lastID atomic.Int64

// answer is what a client got for a request; status is 0 if it got none.
type answer struct {
	id     string
	status int
	body   string
	took   time.Duration
	// retryAfter is when the client may come again; 0 if the answer does not say.
	retryAfter time.Duration
	err        error
}

// client sends requests to one VM. It keeps connections.
type client struct {
	http *http.Client
	vm   *vm
}

func newClient(v *vm, conns int) *client {
	return &client{vm: v, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: conns, DisableCompression: true,
	}}}
}

// get sends a request with a deadline, and waits for the answer for as long as wait.
func (c *client) get(ctx context.Context, path string, deadline, wait time.Duration) answer {
	return c.send(ctx, path, deadline, wait, func(string) {})
}

// send is get, and calls before with the request's id before it sends the request.
func (c *client) send(ctx context.Context, path string, deadline, wait time.Duration, before func(id string)) answer {
	a := answer{id: fmt.Sprintf("r%d", lastID.Add(1))}
	before(a.id)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.vm.callers+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = standin.Host
	req.Header.Set(platform.RequestID, a.id)
	req.Header.Set(platform.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	began := time.Now()
	resp, err := c.http.Do(req)
	a.took = time.Since(began)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	var text strings.Builder
	_, a.err = io.Copy(&text, resp.Body)
	a.took = time.Since(began)
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if a.err == nil {
		a.status, a.body = resp.StatusCode, text.String()
	}
	return a
}

// isUnanswered reports whether the time was over without an answer.
func (a answer) isUnanswered() bool { return errors.Is(a.err, context.DeadlineExceeded) }
