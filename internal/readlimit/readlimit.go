// Package readlimit reads bodies of unknown size into memory that all reads under way share, so
// that peers which send bytes without end cannot exhaust it. A Budget is safe for concurrent use.
package readlimit

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Errors of ReadAll. The connection that the bytes came from cannot be used any more.
var (
	// ErrTooLarge: the body exceeds the limit of the read.
	ErrTooLarge = errors.New("body is too large")
	// ErrNoMemory: the reads under way leave too little memory for one of this size.
	ErrNoMemory = errors.New("too much is being read")
	// ErrOwnSize comes with ErrNoMemory if the read would use too much were it the only one. Otherwise the
	// other reads are the reason, and the sender of this body did nothing wrong.
	ErrOwnSize = errors.New("the body alone is more than may be read")
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

// chunk is a part of a long body that is being read.
type chunk [freeBytes]byte

// Budget bounds the memory of the reads under way beyond the first bytes of each.
type Budget struct {
	total  int64
	left   atomic.Int64
	chunks sync.Pool // of *chunk
}

// New returns a budget of a number of bytes.
func New(bytes int64) *Budget {
	b := &Budget{total: bytes}
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
	for {
		n, err := fill(r, buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		case len(buf) >= freeBytes:
			return b.readLong(r, buf, limit)
		}
		buf = append(make([]byte, 0, min(2*int64(cap(buf)), freeBytes, limit+1)), buf...)
	}
}

// fill reads until p is full or a read fails.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = r.Read(p[n:])
		n += read
	}
	return n, err
}

// readLong is ReadAll for a body that begins with head and is longer. It reads into chunks, which are used
// again: larger and larger buffers of bodies that do not end would leave garbage faster than it is
// collected.
func (b *Budget) readLong(r io.Reader, head []byte, limit int64) ([]byte, error) {
	var chunks []*chunk
	size, granted, taken := int64(len(head)), int64(len(head)), int64(0)
	defer func() {
		b.left.Add(taken)
		for _, c := range chunks {
			b.chunks.Put(c)
		}
	}()
	for {
		if size >= granted {
			granted = min(2*granted, limit+1)
			n := max(granted-freeBytes, 0) - taken
			if n > 0 && !b.take(n, granted) {
				return nil, b.noMemory(taken, granted)
			}
			taken += max(n, 0)
		}
		c, _ := b.chunks.Get().(*chunk)
		if c == nil {
			c = new(chunk)
		}
		chunks = append(chunks, c)
		n, err := fill(r, c[:])
		size += int64(n)
		switch {
		case size > limit:
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return join(head, chunks, size), nil
		case err != nil:
			return nil, err
		}
	}
}

// noMemory returns the error of a read that has taken some bytes and cannot grow to size.
func (b *Budget) noMemory(taken, size int64) error {
	if size > (b.total-taken)/shareDivisor {
		return fmt.Errorf("%w: %w: no room for %d bytes", ErrNoMemory, ErrOwnSize, size)
	}
	return fmt.Errorf("%w: no room for %d bytes", ErrNoMemory, size)
}

// join returns the first size bytes of head and the chunks, all of which are full but the last.
func join(head []byte, chunks []*chunk, size int64) []byte {
	body := append(make([]byte, 0, size), head...)
	for _, c := range chunks {
		body = append(body, c[:min(int64(len(c)), size-int64(len(body)))]...)
	}
	return body
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
