package hop

import (
	"bytes"
	"fmt"
	"io"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of a response. Both are checked before
	// each read of at most readBufferBytes, so that a head may exceed them by one read.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
)

var errHeadTooLong = fmt.Errorf("upstream sent a response head of more than %d bytes or %d lines; the attempt counts as failed", maxHeadBytes, maxHeadLines)

// headLimiter limits the bytes and lines that are read for one response head, so that an
// upstream that sends a head without end cannot exhaust the memory. Outside of a head it
// does not limit anything.
type headLimiter struct {
	reader       io.Reader
	inHead       bool
	bytes, lines int
}

// begin starts the limits of a new head.
func (h *headLimiter) begin() { h.inHead, h.bytes, h.lines = true, 0, 0 }

// end lifts the limits.
func (h *headLimiter) end() { h.inHead = false }

// Read implements io.Reader.
func (h *headLimiter) Read(b []byte) (int, error) {
	if !h.inHead {
		return h.reader.Read(b)
	}
	if h.bytes > maxHeadBytes || h.lines > maxHeadLines {
		return 0, errHeadTooLong
	}
	n, err := h.reader.Read(b)
	h.bytes += n
	h.lines += bytes.Count(b[:n], []byte{'\n'})
	return n, err
}
