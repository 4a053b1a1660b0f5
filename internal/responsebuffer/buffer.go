// Package responsebuffer bounds the memory of the responses of upstreams that a host holds whole.
// It answers upstreams that send long bodies, or bodies without end, on many connections at once.
package responsebuffer

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

var (
	// ErrTooLong reports a response that is longer than any may be.
	ErrTooLong = errors.New("the response is too long; it is not passed on")
	// ErrFull reports that other responses hold the room.
	ErrFull = errors.New("too many long responses are being read at the same time; the response is not passed on")
)

const (
	// firstBytes is the first buffer of a response; each further one is twice as long.
	firstBytes = 1 << 10
	// UncountedBytes is the part of each response that needs no shared room, so that long responses
	// of some upstreams do not affect short ones.
	UncountedBytes = 32 << 10
)

// Buffer gives out the room for responses. It is safe for concurrent use.
type Buffer struct {
	maxBytes, sharedBytes int64
	used                  atomic.Int64
}

// New returns a buffer for responses of at most maxBytes, which hold at most sharedBytes together
// beside the first 32 KB of each.
func New(maxBytes, sharedBytes int64) *Buffer {
	return &Buffer{maxBytes: maxBytes, sharedBytes: sharedBytes}
}

// Reserve takes room for n bytes and reports whether there was enough. Release gives it back.
func (b *Buffer) Reserve(n int64) bool {
	if b.used.Add(n) <= b.sharedBytes {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release gives back room that was reserved.
func (b *Buffer) Release(n int64) { b.used.Add(-n) }

// Read reads a complete body. release must be called once the body is no longer needed, also after
// an error.
func (b *Buffer) Read(r io.Reader) (body []byte, release func(), err error) {
	var reserved int64
	release = func() {
		b.Release(reserved)
		reserved = 0
	}
	body = make([]byte, 0, firstBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > b.maxBytes:
			return nil, release, fmt.Errorf("%w: more than %d bytes", ErrTooLong, b.maxBytes)
		case errors.Is(err, io.EOF):
			return body, release, nil
		case err != nil:
			return nil, release, err
		case len(body) < cap(body):
			continue
		}
		// One byte more than the longest response shows that a response is longer.
		size := min(2*int64(cap(body)), b.maxBytes+1)
		if growth := size - max(int64(cap(body)), UncountedBytes); growth > 0 {
			if !b.Reserve(growth) {
				return nil, release, ErrFull
			}
			reserved += growth
		}
		body = append(make([]byte, 0, size), body...)
	}
}
