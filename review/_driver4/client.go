package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sardinespindle/sardinespindle/platform"
	"github.com/sardinespindle/sardinespindle/platform/standin"
)

// answer is what a client got for a request.
type answer struct {
	status    int // 0 for none
	signature string
	body      string

	took time.Duration
	err  error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d after %d ms, signature %q, body %q", a.status, a.took.Milliseconds(), a.signature, a.body)
}

// request is one request of a client.
type request struct {
	method, target, id string
	deadline           string        // as the client states it, in milliseconds
	wait               time.Duration // for which the client really waits
}

// send sends a request on a new connection and reads the answer.
func send(to string, q request) answer {
	nc, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer nc.Close()
	return exchange(nc, bufio.NewReader(nc), q)
}

// exchange sends a request on a connection and reads the answer.
func exchange(nc net.Conn, r *bufio.Reader, q request) (a answer) {
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	_ = nc.SetDeadline(start.Add(q.wait)) // fails if the connection is closed
	_, err := fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n\r\n",
		q.method, q.target, standin.Host, platform.RequestID, q.id, platform.Deadline, q.deadline)
	if err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, signature: resp.Header.Get(platform.UpstreamHeaders.Signature), body: string(body),
		err: err,
	}
}
