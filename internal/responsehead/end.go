package responsehead

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxWriteStall is the time after which a response that has ended is not complete, if nothing
	// more of its request could be written.
	maxWriteStall = 3 * time.Second
	// writePieceBytes is the most that one call writes, so that the progress of a long request shows.
	writePieceBytes = 256 << 10
)

var (
	errNotWritten = errors.New("upstream ended its response before the request was written whole; the attempt counts as failed")
	errStalled    = fmt.Errorf("upstream ended its response and does not read its request; the attempt counts as failed: %w", os.ErrDeadlineExceeded)
)

// requestWrite is the state of the request that is written to a connection. The kernel reports a
// reset once: if a write takes the error, the next read returns the end of the connection as if it had
// been closed in order. An end is in order only if the request was written whole and without an error.
type requestWrite struct {
	// changed receives a value after each change of the state and each piece that was written.
	changed chan struct{}

	mu sync.Mutex
	// pending is set from BeginRequest to EndRequest.
	pending bool
	// writing counts the writes in progress. They count beside pending, since the library reports the
	// end of the request before it flushes the last bytes.
	writing int
	// err is the first error of writing the request.
	err error
}

func newRequestWrite() requestWrite { return requestWrite{changed: make(chan struct{}, 1)} }

// update changes the state and wakes a read that waits for it. err, if not nil, is an error of writing
// the request.
func (w *requestWrite) update(err error, change func()) {
	w.mu.Lock()
	change()
	if w.err == nil {
		w.err = err
	}
	w.mu.Unlock()
	w.wake()
}

func (w *requestWrite) wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// checkEnd waits until the request has been written. It returns nil if the end of the connection that
// was read is the end of a complete response.
func (w *requestWrite) checkEnd() error {
	stall := time.NewTimer(maxWriteStall)
	defer stall.Stop()
	for {
		w.mu.Lock()
		err, unfinished := w.err, w.pending || w.writing > 0
		w.mu.Unlock()
		switch {
		case err != nil:
			return fmt.Errorf("%w: %w", errNotWritten, err)
		case !unfinished:
			return nil
		}
		select {
		case <-w.changed:
			stall.Reset(maxWriteStall)
		case <-stall.C:
			return errStalled
		}
	}
}

// BeginRequest states that a request will be written. It is called before the first byte. A connection
// on which a write has failed carries no other request.
func (c *Conn) BeginRequest() {
	c.request.update(nil, func() { c.request.pending, c.request.err = true, nil })
}

// EndRequest states that the request has been written whole, or with an error that it has not.
func (c *Conn) EndRequest(err error) {
	c.request.update(err, func() { c.request.pending = false })
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.request.update(nil, func() { c.request.writing++ })
	written, err := c.writePieces(b)
	c.request.update(err, func() { c.request.writing-- })
	return written, err
}

func (c *Conn) writePieces(b []byte) (written int, err error) {
	for {
		n, err := c.Conn.Write(b[written:min(written+writePieceBytes, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
		c.request.wake()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.request.update(nil, func() {
		if c.request.pending && c.request.err == nil {
			c.request.err = net.ErrClosed
		}
	})
	return err
}
