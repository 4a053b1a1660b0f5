package membudget

import (
	"bytes"
	"math"
	"strconv"
)

const (
	// The cost of a head once parsed and forwarded, which for short lines is far above its bytes:
	// a field is two strings, an entry of a map and a slice, and a copy of them for the upstream.
	headBaseCost, lineCost, byteCost = 1 << 10, 384, 4
	// maxLinePrefix is the part of a line that is compared with the names of framing fields.
	maxLinePrefix = 64
	// maxChunkLineBytes bounds the line with the size of a chunk.
	maxChunkLineBytes = 4 << 10
)

type scanState uint8

const (
	inHead scanState = iota
	// inBody has a known number of bytes left in the body.
	inBody
	inChunkLine
	// inChunk has a known number of bytes left in the chunk, with its line end.
	inChunk
	inTrailer
)

// Scanner follows the requests on a connection: where their heads end, how many lines these
// have, and where their bodies end. It changes no bytes and rejects nothing, since the server
// parses them; bytes that it does not understand count as a head, which is the costly kind. The
// zero value is ready for use.
type Scanner struct {
	state scanState
	// bytes and lines count the current head and its trailer.
	bytes, lines int
	// left is the number of bytes left in inBody and inChunk.
	left int64

	prefix       [maxLinePrefix]byte
	lineLength   int
	contentBytes int64
	chunked      bool
	// started is set once a line of the head was not empty, and ended after a request until
	// the next one begins.
	started, ended bool
}

// InHead reports whether the next byte belongs to a head.
func (s *Scanner) InHead() bool { return s.state == inHead }

// HeadEnded reports whether the latest head is complete.
func (s *Scanner) HeadEnded() bool { return s.state != inHead || s.ended }

// InTrailer reports whether the next byte belongs to the fields after a body in chunks.
func (s *Scanner) InTrailer() bool { return s.state == inTrailer }

// HeadBytes is the length of the current or latest head so far.
func (s *Scanner) HeadBytes() int { return s.bytes }

// HeadCost estimates the memory of the current or latest head once parsed.
func (s *Scanner) HeadCost() int64 {
	return headBaseCost + int64(s.lines)*lineCost + int64(s.bytes)*byteCost
}

// Scan follows the bytes up to the end of the current head or body, and returns how many these
// are. The rest is to be scanned by the next call.
func (s *Scanner) Scan(p []byte) int {
	for n := 0; n < len(p); {
		switch s.state {
		case inBody, inChunk:
			step := int(min(s.left, int64(len(p)-n)))
			n += step
			if s.left -= int64(step); s.left > 0 {
				break
			}
			if s.state == inBody {
				s.nextRequest()
				return n
			}
			s.state, s.lineLength = inChunkLine, 0
		default:
			if s.ended {
				s.bytes, s.lines, s.ended = 0, 0, false
			}
			before := s.state
			step, ended := s.scanLine(p[n:])
			n += step
			if before != inChunkLine {
				s.bytes += step
			}
			if ended && s.endLine() {
				return n
			}
		}
	}
	return len(p)
}

// scanLine reads up to the end of the line and keeps its first bytes.
func (s *Scanner) scanLine(p []byte) (n int, ended bool) {
	if s.state == inChunkLine {
		p = p[:min(len(p), maxChunkLineBytes-s.lineLength)]
	}
	n = len(p)
	if i := bytes.IndexByte(p, '\n'); i >= 0 {
		n, ended = i+1, true
	}
	if s.lineLength < maxLinePrefix {
		copy(s.prefix[s.lineLength:], p[:n])
	}
	s.lineLength += n
	return n, ended || s.state == inChunkLine && s.lineLength == maxChunkLineBytes
}

// endLine handles a complete line and reports whether a head or a whole request has ended.
func (s *Scanner) endLine() bool {
	line := bytes.TrimRight(s.prefix[:min(s.lineLength, maxLinePrefix)], "\r\n")
	empty := len(line) == 0
	s.lineLength = 0
	switch s.state {
	case inChunkLine:
		return !s.beginChunk(line)
	case inTrailer:
		if s.lines++; empty {
			s.nextRequest()
			return true
		}
	case inHead:
		s.lines++
		if !empty {
			s.started = true
			s.readFraming(line)
			return false
		}
		if s.started {
			s.beginBody()
			return true
		}
	}
	return false
}

// readFraming takes the length of the body from a field.
func (s *Scanner) readFraming(line []byte) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return
	}
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		if n, err := strconv.ParseInt(string(value), 10, 64); err == nil && n >= 0 {
			s.contentBytes = n
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.chunked = s.chunked || bytes.EqualFold(value, []byte("chunked"))
	}
}

func (s *Scanner) beginBody() {
	switch {
	case s.chunked:
		s.state = inChunkLine
	case s.contentBytes > 0:
		s.state, s.left = inBody, s.contentBytes
	default:
		s.nextRequest()
	}
}

// beginChunk reads the size of a chunk, and reports whether the line has one. The line end after
// the data counts as part of the chunk.
func (s *Scanner) beginChunk(line []byte) bool {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 64)
	switch {
	case err != nil || n < 0 || n > math.MaxInt64-2:
		s.nextRequest()
		return false
	case n == 0:
		s.state = inTrailer
	default:
		s.state, s.left = inChunk, n+int64(len("\r\n"))
	}
	return true
}

// nextRequest expects the head of another request. The counts of the latest one stay until that
// begins.
func (s *Scanner) nextRequest() { *s = Scanner{bytes: s.bytes, lines: s.lines, ended: true} }
