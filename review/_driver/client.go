package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// request is what a client sends.
type request struct {
	method, path string
	deadline     time.Duration
	body         []byte
}

// answer is what a client saw of one request.
type answer struct {
	request
	id       string
	vm       string
	sentAt   time.Time
	kept     bool // the request was not the first one on its connection
	status   int  // 0 if the connection ended without a complete answer
	err      error
	timedOut bool // the client left at its deadline
	header   http.Header
	body     []byte
}

// load is the clients of a run.
type load struct {
	c      *cluster
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu  sync.Mutex // guards all
	all []*answer
}

// startLoad starts clients at each machine. Each keeps a connection and sends one request after the
// other, with a pause between them. judge is called with each answer.
func (c *cluster) startLoad(ctx context.Context, clients int, pause time.Duration, next func(id string) request, judge func(*answer)) *load {
	l := &load{c: c}
	ctx, l.cancel = context.WithCancel(ctx)
	for i, v := range c.vms {
		for k := range clients {
			l.wg.Go(func() {
				l.runClient(ctx, v, pause, func(n int) (string, request) {
					id := fmt.Sprintf("c%d.%d-%d", i+1, k+1, n)
					return id, next(id)
				}, judge)
			})
		}
	}
	return l
}

// stop ends the clients and returns all answers.
func (l *load) stop() []*answer {
	l.cancel()
	l.wg.Wait()
	return l.all
}

func (l *load) runClient(ctx context.Context, v *vm, pause time.Duration, next func(n int) (string, request), judge func(*answer)) {
	var nc net.Conn
	var br *bufio.Reader
	defer func() {
		if nc != nil {
			_ = nc.Close()
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		kept := nc != nil
		if !kept {
			var err error
			if nc, err = net.DialTimeout("tcp", net.JoinHostPort(v.ip, callersPort), time.Second); err != nil {
				nc = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(nc)
		}
		a := &answer{vm: v.ip, sentAt: time.Now(), kept: kept}
		a.id, a.request = next(n)
		closes := a.exchange(nc, br)
		l.c.rec.add("client: %s %s %s at %s, kept=%v: status=%d err=%v after %d ms, %d bytes, missing=%q, ran at %s", a.id, a.method, a.path, a.vm, a.kept,
			a.status, a.err, time.Since(a.sentAt).Milliseconds(), len(a.body), a.header.Get(platform.CallerHeaders.Missing), describe(l.c.runsOf(a.id)))
		judge(a)
		a.body, a.request.body = nil, nil
		l.mu.Lock()
		l.all = append(l.all, a)
		l.mu.Unlock()
		if closes {
			_ = nc.Close()
			nc = nil
		}
		time.Sleep(max(pause, a.retryAfter()))
	}
}

// describe lists servers, or counts them if there are many.
func describe(servers []string) string {
	if len(servers) > 4 {
		return fmt.Sprintf("%d servers", len(servers))
	}
	return fmt.Sprint(servers)
}

// exchange sends the request and reads its answer. It reports whether the connection is used up.
func (a *answer) exchange(nc net.Conn, br *bufio.Reader) (closes bool) {
	_ = nc.SetDeadline(a.sentAt.Add(a.deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", a.method, a.path, standin.Host, platform.RequestID, a.id, platform.Deadline, a.deadline.Milliseconds())
	if a.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.request.body))
	}
	b.WriteString("\r\n")
	b.Write(a.request.body)
	var resp *http.Response
	if _, a.err = nc.Write(b.Bytes()); a.err == nil {
		resp, a.err = http.ReadResponse(br, &http.Request{Method: a.method})
	}
	if a.err == nil {
		a.body, a.err = io.ReadAll(resp.Body)
	}
	if a.err != nil {
		var ne net.Error
		a.timedOut = errors.As(a.err, &ne) && ne.Timeout()
		return true
	}
	a.status, a.header = resp.StatusCode, resp.Header
	return resp.Close
}

// retryAfter returns how long a refusal asks the client to stay away.
func (a *answer) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil || a.status != http.StatusServiceUnavailable {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// statuses counts the answers by status; 0 stands for none.
func statuses(all []*answer) map[int]int {
	out := map[int]int{}
	for _, a := range all {
		out[a.status]++
	}
	return out
}

// topology is what a configuration names for searches: the set of shards, the records of an answer and
// the least share of the shards.
type topology struct {
	shards []string
	top    int
	least  float64
}

// checkSearch returns why a success to a search is wrong; empty if it is right by one of the
// configurations that were sent before.
func (c *cluster) checkSearch(a *answer, sent []topology) string {
	var services []string
	for _, field := range a.header.Values(platform.CallerHeaders.Signatures) {
		for stamp := range strings.SplitSeq(field, ",") {
			service, id, ok := c.stampOf(strings.TrimSpace(stamp))
			switch {
			case !ok || id != a.id:
				return fmt.Sprintf("signature %q is no good answer to this request", stamp)
			case slices.Contains(services, service):
				return "two signatures of service " + service
			}
			services = append(services, service)
		}
	}
	missing, _ := strconv.Atoi(a.header.Get(platform.CallerHeaders.Missing))
	var why []string
	for _, t := range sent {
		if len(services) == 0 || len(services)+missing != len(t.shards) || slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(t.shards, s) }) {
			continue
		}
		if float64(len(services)) < t.least*float64(len(t.shards))-1e-9 {
			why = append(why, fmt.Sprintf("only %d of %d parts are in", len(services), len(t.shards)))
			continue
		}
		want := c.topRecords(services, a.id, t.top)
		if bytes.Equal(a.body, want) {
			return ""
		}
		why = append(why, fmt.Sprintf("its body of %d records is not the greatest %d of its %d parts, %d of which are absent", len(a.body)/recordBytes, t.top, len(services), absent(want, a.body)))
	}
	if why == nil {
		return fmt.Sprintf("its %d parts and the %d missing make up no set that a configuration names: %v", len(services), missing, services)
	}
	return strings.Join(why, "; ")
}

// absent counts the records of want that are not in got.
func absent(want, got []byte) (n int) {
	for i := 0; i < len(want); i += recordBytes {
		found := false
		for j := 0; j+recordBytes <= len(got); j += recordBytes {
			found = found || bytes.Equal(want[i:i+recordBytes], got[j:j+recordBytes])
		}
		if !found {
			n++
		}
	}
	return n
}

// topRecords returns the greatest records of the parts of some services for a request.
func (c *cluster) topRecords(services []string, id string, top int) []byte {
	var all [][]byte
	for _, service := range services {
		b := records(service, id, c.serversOf(service)[0].records)
		for i := 0; i < len(b); i += recordBytes {
			all = append(all, b[i:i+recordBytes])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(top, len(all))], nil)
}
