// Package replyhead refuses HTTP/1.1 replies with an invalid head before anything is read from them. It only adds to the
// checks of net/http, which accepts statuses that do not exist, names of fields that hold a blank and bodies with two lengths.
package replyhead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// ErrInvalid is wrapped by the errors for heads that are not valid.
var ErrInvalid = errors.New("head of the reply is not valid")

var errTwoLengths = errors.New("both Content-Length and Transfer-Encoding")

// Scanner checks the heads of the replies on one connection while their bytes arrive. The zero value expects a reply.
type Scanner struct {
	ended bool   // the head has arrived in full
	line  []byte // the start of a line that has not
	head  head
}

// Expect says that the bytes that arrive next begin another reply.
func (s *Scanner) Expect() { *s = Scanner{} }

// Scan checks bytes in the order in which they arrive, up to the end of the head. Its error means that the connection can't
// be used any more, and wraps ErrInvalid.
func (s *Scanner) Scan(p []byte) error {
	for !s.ended && len(p) > 0 {
		line, rest, complete := bytes.Cut(p, []byte("\n"))
		p = rest
		if !complete || len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		if !complete {
			return nil
		}
		ended, err := s.head.add(bytes.TrimSuffix(line, []byte("\r")))
		if err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		s.line = s.line[:0]
		if ended {
			*s = Scanner{ended: !s.head.isInterim()}
		}
	}
	return nil
}

// head is what has arrived of one head.
type head struct {
	status               int  // 0 before the first line
	hasLength, isEncoded bool // has Content-Length, Transfer-Encoding
}

// isInterim reports whether another head follows, after one that only announces it.
func (h *head) isInterim() bool {
	return h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
}

// add checks the next line, and reports whether the head ends with it. A line that begins with a blank is refused like a
// field whose name does: HTTP lets a proxy refuse lines that continue a field.
func (h *head) add(line []byte) (ended bool, err error) {
	if h.status == 0 {
		h.status, err = parseStatus(line)
		return false, err
	}
	if len(line) == 0 {
		return true, nil
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !isToken(name) {
		return false, fmt.Errorf("name of a field in %.*q", maxQuoted, line)
	}
	h.hasLength = h.hasLength || strings.EqualFold(string(name), "Content-Length")
	h.isEncoded = h.isEncoded || strings.EqualFold(string(name), "Transfer-Encoding")
	if h.hasLength && h.isEncoded {
		return false, errTwoLengths
	}
	return false, nil
}

// CheckNames returns an error that wraps ErrInvalid unless the names of all fields are valid, as those after a body.
func CheckNames(fields http.Header) error {
	for name := range fields {
		if !isToken([]byte(name)) {
			return fmt.Errorf("%w: name of a field %.*q", ErrInvalid, maxQuoted, name)
		}
	}
	return nil
}

// isToken reports whether a name is a token of HTTP, as the names of fields are.
func isToken(name []byte) bool {
	for _, c := range name {
		isLetterOrDigit := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !isLetterOrDigit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// Statuses that exist in HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// parseStatus returns the status in the first line of a head. Like net/http, it allows several blanks before it.
func parseStatus(line []byte) (int, error) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.ParseUint(string(text), 10, 16)
	if err != nil || len(text) != 3 || status < minStatus || status > maxStatus {
		return 0, fmt.Errorf("status in %.*q", maxQuoted, line)
	}
	return int(status), nil
}

// maxQuoted bounds how much of a line an error quotes, in bytes.
const maxQuoted = 80
