// Package readlimit reads bodies of unknown size into memory that all reads under way share, so
// that peers which send bytes without end cannot exhaust it. A Budget is safe for concurrent use.
package readlimit

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// Errors of ReadAll. The connection that the bytes came from cannot be used any more.
var (
	// ErrTooLarge: the body exceeds the limit of the read.
	ErrTooLarge = errors.New("body is too large")
	// ErrNoMemory: the reads under way leave too little memory for one of this size.
	ErrNoMemory = errors.New("too much is being read")
)

const (
	// freeBytes is what each read may use besides the budget: most bodies are smaller.
	freeBytes = 16 << 10
	// startBytes is allocated first for a body of unknown length.
	startBytes = 512
	// A read may grow to 1/shareDivisor of what the others leave. Bodies without end then stay
	// small while there are many of them, and leave room for others.
	shareDivisor = 4
)

// Budget bounds the memory of the reads under way beyond the first bytes of each.
type Budget struct {
	left atomic.Int64
}

// New returns a budget of a number of bytes.
func New(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// Left returns the number of bytes that no read uses.
func (b *Budget) Left() int64 { return b.left.Load() }

// ReadAll reads r up to its end, at most limit bytes. length is the size that was announced, or
// negative; it bounds what is allocated ahead of the bytes, not what is read.
func (b *Budget) ReadAll(r io.Reader, limit, length int64) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, length, limit)
	}
	size := int64(startBytes)
	if length >= 0 {
		size = min(length+1, freeBytes) // one more byte makes the read reach the end of the body
	}
	buf := make([]byte, 0, min(size, limit+1))
	var taken int64
	defer func() { b.left.Add(taken) }()
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		case len(buf) < cap(buf):
			continue
		}
		grown := min(2*int64(cap(buf)), limit+1)
		if n := max(grown-freeBytes, 0) - taken; n > 0 {
			if !b.take(n, grown) {
				return nil, fmt.Errorf("%w: no room for %d bytes", ErrNoMemory, grown)
			}
			taken += n
		}
		buf = append(make([]byte, 0, grown), buf...)
	}
}

// take takes n bytes for a read that then has size in all; false if that is too much of what is
// left.
func (b *Budget) take(n, size int64) bool {
	for {
		left := b.left.Load()
		if size > left/shareDivisor {
			return false
		}
		if b.left.CompareAndSwap(left, left-n) {
			return true
		}
	}
}
