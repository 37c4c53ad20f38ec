package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)+time.Now().UnixNano()) }

// client sends requests to one VM over connections that it keeps.
type client struct {
	address string
	http    *http.Client
}

func newClient(address string) *client {
	return &client{address: address, http: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	took   time.Duration
	status int // 0 if there was no whole answer
	body   string
	header http.Header
	err    error
}

// send sends a request and waits for the answer until the client's deadline.
func (c *client) send(method, path, body string, deadline time.Duration, extra http.Header) (a answer) {
	a.id, a.sentAt = newID(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	defer func() { a.took = time.Since(a.sentAt) }()
	var from io.Reader
	if body != "" {
		from = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, from)
	if err != nil {
		a.err = err
		return a
	}
	for k, v := range extra {
		req.Header[k] = v
	}
	req.Host = standin.Host
	req.Header.Set(platform.RequestID, a.id)
	req.Header.Set(platform.Deadline, fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body, a.header = resp.StatusCode, string(text), resp.Header
	return a
}
