package membudget

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// firstBodyBytes is the first buffer of a body. Each further one is growthFactor times as
	// long, up to the length of the body, so that little is held beyond what has arrived and
	// little is copied.
	firstBodyBytes, growthFactor = 64 << 10, 4
	// firstChunkedBytes is the first buffer of a body whose length is not known.
	firstChunkedBytes = 8 << 10
)

// ReadBody reads the body of a request with the Content-Length, negative if unknown, and at most
// limit bytes. It reserves the memory as the body arrives and marks the request as complete; its
// error is ErrNoRoom if there was none. Without a counted connection in ctx it reserves nothing.
func ReadBody(ctx context.Context, r io.Reader, contentLength, limit int64) ([]byte, error) {
	c := connOf(ctx)
	longest, size := limit+1, int64(firstChunkedBytes)
	if contentLength >= 0 {
		longest = min(contentLength, limit) + 1 // one more, to see the end
		size = firstBodyBytes
	}
	size = min(size, longest)
	if err := c.reserve(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, Complete(ctx)
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		grown := min(growthFactor*size, longest)
		if grown == size { // longer than announced, which the reader does not allow
			return nil, io.ErrShortBuffer
		}
		if err := c.reserve(grown); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, grown), body...)
		c.free(size)
		size = grown
	}
}

func (c *Conn) reserve(n int64) error {
	if c == nil {
		return nil
	}
	return c.options.Budget.reserve(c, n)
}

func (c *Conn) free(n int64) {
	if c != nil {
		c.options.Budget.update(func(l *ledger, _ time.Time) { l.add(&c.entry, -min(n, c.entry.held)) })
	}
}

// Complete marks the request as complete, after which it is not ended for others. Its error is
// ErrNoRoom if the request has been ended before.
func Complete(ctx context.Context) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	var err error
	c.options.Budget.update(func(_ *ledger, _ time.Time) {
		if c.entry.ended {
			err = ErrNoRoom
			return
		}
		c.entry.phase = running
	})
	return err
}

// HeadBytes returns the length of the request's head as it was sent, if known.
func HeadBytes(ctx context.Context) (n int, known bool) {
	if c := connOf(ctx); c != nil && !c.options.TLS {
		return int(c.headBytes.Load()), true
	}
	return 0, false
}

// Release frees the memory of a request that needs it no longer.
func Release(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.options.Budget.update(func(l *ledger, _ time.Time) { l.release(&c.entry) })
	}
}

// Handler reserves factor times the bytes of each body that next reads. Handlers that decode
// and encode a body hold that many copies of it.
func Handler(next http.Handler, factor int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		var held int64
		c.beginMultiplexed()
		defer c.endMultiplexed()
		defer func() { c.free(held) }() // before the connection rests, which frees all that it holds
		if r.ContentLength == 0 {
			if err := Complete(r.Context()); err != nil {
				panic(http.ErrAbortHandler)
			}
		} else {
			r.Body = &meteredBody{ReadCloser: r.Body, request: r, conn: c, factor: factor, held: &held}
		}
		next.ServeHTTP(w, r)
	})
}

// beginMultiplexed counts the requests of a connection whose bytes are not scanned.
func (c *Conn) beginMultiplexed() {
	if c.options.TLS {
		c.options.Budget.update(func(_ *ledger, _ time.Time) {
			c.multiplexed++
			c.entry.phase = running
		})
	}
}

func (c *Conn) endMultiplexed() {
	if c.options.TLS {
		c.options.Budget.update(func(l *ledger, now time.Time) {
			if c.multiplexed--; c.multiplexed == 0 {
				l.rest(&c.entry, now)
			}
		})
	}
}

type meteredBody struct {
	io.ReadCloser
	request *http.Request
	conn    *Conn
	factor  int64
	held    *int64
}

func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if reserveErr := b.conn.reserve(b.factor * int64(n)); reserveErr != nil {
		return 0, reserveErr
	}
	*b.held += b.factor * int64(n)
	if errors.Is(err, io.EOF) {
		if ended := Complete(b.request.Context()); ended != nil {
			return 0, ended
		}
	}
	return n, err
}
