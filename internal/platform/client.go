// Package platform reads and watches the platform's configuration service. It writes
// nothing, and each call has a time limit. A Client is safe for concurrent use: its one
// mutable field, the index of the address in use, is atomic.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sardinespindle/sardinespindle/internal/replyhead"
)

// Keys of the values that the platform publishes.
const (
	HeadKey = "manifest/head"
	VMsKey  = "vms"
)

// PartKey returns the key of a manifest part.
func PartKey(digest string) string { return "manifest/parts/" + digest }

const (
	maxValueBytes  = 1_000_000
	maxHeaderBytes = 16 << 10
	dialTimeout    = time.Second
	readTimeout    = 3 * time.Second
	watchMargin    = 2 * time.Second // beyond the wait, for the reply to arrive
	idleTimeout    = 90 * time.Second
)

// ErrNotFound means that the platform holds no value under the key.
var ErrNotFound = errors.New("platform: no such value")

// Value is a value and its ETag.
type Value struct {
	Body []byte
	ETag string
}

// Options configures a Client.
type Options struct {
	// Addresses of the configuration service, as IP:port. After a failed call, later calls
	// use the next address.
	Addresses []string
	// LocalIP is the source address of connections; nil for any.
	LocalIP net.IP
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// Client reads the configuration service.
type Client struct {
	addrs     []string
	addrIndex atomic.Uint32
	http      *http.Client
	reads     *prometheus.CounterVec
}

// New returns a Client.
func New(o Options) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if o.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.LocalIP}
	}
	transport := &http.Transport{
		DialContext:            replyhead.Dial(dialer.DialContext),
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    4,
	}
	c := &Client{
		addrs: o.Addresses,
		http:  &http.Client{Transport: transport},
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "spindle_platform_reads_total",
			Help: "Calls to the platform's configuration service, by kind and result.",
		}, []string{"kind", "result"}),
	}
	if o.Registerer != nil {
		o.Registerer.MustRegister(c.reads)
	}
	return c
}

// Get reads a value.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v, _, err := c.call(ctx, "get", key, "", 0)
	return v, err
}

// Watch waits, for at most wait, until the value's ETag differs from tag, and reports whether
// the ETag differs. With an empty tag it returns the value at once.
func (c *Client) Watch(ctx context.Context, key, tag string, wait time.Duration) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	return c.call(ctx, "watch", key, tag, wait)
}

// call makes one call to the address in use. After a failure, other than a missing value,
// later calls use the next address.
func (c *Client) call(ctx context.Context, kind, key, tag string, wait time.Duration) (Value, bool, error) {
	i := c.addrIndex.Load()
	addr := c.addrs[int(i)%len(c.addrs)]
	v, changed, err := c.roundTrip(ctx, addr, key, tag, wait)
	if err != nil && !errors.Is(err, ErrNotFound) {
		c.addrIndex.CompareAndSwap(i, i+1)
		c.reads.WithLabelValues(kind, "error").Inc()
		return Value{}, false, fmt.Errorf("platform %s %s: %w", kind, key, err)
	}
	c.reads.WithLabelValues(kind, "ok").Inc()
	return v, changed, err
}

func (c *Client) roundTrip(ctx context.Context, addr, key, tag string, wait time.Duration) (Value, bool, error) {
	u := url.URL{Scheme: "http", Host: addr, Path: "/v1/values/" + key}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Value{}, false, err
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	if wait > 0 {
		req.Header.Set("Prefer", "wait="+strconv.Itoa(int(wait.Seconds())))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, false, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{ETag: tag}, false, nil
	case http.StatusNotFound:
		return Value{}, false, ErrNotFound
	default:
		return Value{}, false, fmt.Errorf("HTTP status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, false, fmt.Errorf("read value: %w", err)
	}
	if len(body) > maxValueBytes {
		return Value{}, false, fmt.Errorf("value exceeds the limit of %d bytes", maxValueBytes)
	}
	return Value{Body: body, ETag: resp.Header.Get("ETag")}, true, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
