package gateway

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/rattanscale/rattanscale/internal/hop"
)

const (
	// maxBufferedResponseBytes limits the responses that are buffered completely before they
	// are forwarded. Buffering allows an idempotent request to run again if its response is
	// truncated.
	maxBufferedResponseBytes = 1 << 20
	// uncountedResponseBytes is the part of each response that needs no room in the shared
	// buffer, so that long responses of some upstreams do not affect short ones.
	uncountedResponseBytes = 32 << 10
	// sharedBufferBytes bounds what the responses of all requests hold beyond that.
	sharedBufferBytes = 4 << 20
)

var (
	errResponseTooLong = fmt.Errorf("the response is longer than %d bytes; it is not passed on", maxBufferedResponseBytes)
	errBufferFull      = errors.New("too many long responses are being read at the same time; the response is not passed on")
)

// bodyBuffer bounds the memory of the responses that a host buffers at the same time. It
// answers upstreams that send long bodies, or bodies without end, on many connections at
// once. It is safe for concurrent use.
type bodyBuffer struct{ used atomic.Int64 }

// reserve takes room for n bytes and reports whether there was enough.
func (b *bodyBuffer) reserve(n int) bool {
	if b.used.Add(int64(n)) <= sharedBufferBytes {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

func (b *bodyBuffer) release(n int) { b.used.Add(-int64(n)) }

// read reads a complete body. release must be called once the body is no longer needed,
// also after an error.
func (b *bodyBuffer) read(response *hop.Response) (body []byte, release func(), err error) {
	reserved := 0
	release = func() { b.release(reserved) }
	body = make([]byte, 0, 1<<10)
	for {
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, release, nil
		case err != nil:
			return nil, release, err
		case len(body) > maxBufferedResponseBytes:
			return nil, release, errResponseTooLong
		case len(body) < cap(body):
			continue
		}
		size := 2 * cap(body)
		if growth := size - max(cap(body), uncountedResponseBytes); growth > 0 {
			if !b.reserve(growth) {
				return nil, release, errBufferFull
			}
			reserved += growth
		}
		body = append(make([]byte, 0, size), body...)
	}
}
