// Package responsehead checks the heads of HTTP/1.1 responses while they are read, and the ends of
// those that state no length. The standard library accepts heads that are no response: statuses below
// 100, names of fields with blanks, and lines that begin with a blank, which it joins to the line
// before. The field in such a line is lost, and if it states the length, so is the end of the body. It
// also takes a connection that was reset while the request was written for one that ended in order.
package responsehead

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

const (
	// MaxBytes and MaxLines bound the head of a response, with the informational ones before it.
	MaxBytes = 32 << 10
	MaxLines = 256
)

// ErrMalformed is wrapped by the errors about malformed bytes.
var ErrMalformed = errors.New("malformed response; the attempt counts as failed")

var (
	errTooLong    = fmt.Errorf("%w: its head has more than %d bytes or %d lines", ErrMalformed, MaxBytes, MaxLines)
	errStatusLine = fmt.Errorf("%w: the status line is not that of HTTP/1.0 or HTTP/1.1 with a status from 100 to 599 other than 101", ErrMalformed)
	errFieldName  = fmt.Errorf("%w: a line of its head has no field name before a colon, or one with a blank or a byte that names cannot have", ErrMalformed)
	errFieldValue = fmt.Errorf("%w: a field value or the reason holds a control byte", ErrMalformed)
	errTrailer    = fmt.Errorf("%w: what follows its body is no trailer, so the body may not be complete", ErrMalformed)
	errFraming    = fmt.Errorf("%w: its head states a length or an encoding that this kind of response cannot have", ErrMalformed)
)

// state is the part of a head to which the next byte belongs.
type state int

const (
	statusLine state = iota
	reason
	lineStart
	fieldName
	fieldValue
	// lineFeed and lastLineFeed follow the carriage return of a line and of the empty line.
	lineFeed
	lastLineFeed
)

// statusForm is the form of a status line up to its status, where 0 stands for any digit.
const statusForm = "HTTP/1.0 000"

// The positions in statusForm of the minor version and of the status.
const (
	minorVersionAt = len("HTTP/1.")
	statusAt       = len("HTTP/1.0 ")
)

// The fields that state where the body ends, in lower case.
const (
	lengthField   = "content-length"
	encodingField = "transfer-encoding"
)

// Scanner checks the head of a response, and those of the informational responses before it, from
// its first byte to the empty line. After the head it checks nothing until Begin is called. Its
// zero value is at the end of a head.
type Scanner struct {
	active bool
	state  state
	err    error
	// bytes and lines count all heads since Begin.
	bytes, lines int
	// start holds the status line up to the status.
	start []byte
	// name holds the name of the current field in lower case, up to the length of the longest
	// that matters.
	name                         []byte
	statesLength, statesEncoding bool
}

// Begin expects the head of a response with the next byte.
func (s *Scanner) Begin() {
	s.active, s.bytes, s.lines = true, 0, 0
	s.beginResponse()
}

func (s *Scanner) beginResponse() {
	s.state, s.start = statusLine, s.start[:0]
	s.statesLength, s.statesEncoding = false, false
}

// EndsWithConnection reports whether the head is over and states neither a length nor an encoding, so
// that a body, if there is one, ends with the connection.
func (s *Scanner) EndsWithConnection() bool {
	return !s.active && s.err == nil && !s.statesLength && !s.statesEncoding
}

// HeadBytes returns the length of the head so far, or of the latest one, with the informational
// ones before it.
func (s *Scanner) HeadBytes() int { return s.bytes }

// Err returns the error of the first malformed byte, nil without one.
func (s *Scanner) Err() error { return s.err }

// Scan checks the next bytes of the connection, which may go beyond the head. With an error it
// returns the number of bytes before the one that is malformed. Errors are final.
func (s *Scanner) Scan(b []byte) (int, error) {
	for i := 0; i < len(b) && s.active && s.err == nil; i++ {
		if s.err = s.scanByte(b[i]); s.err != nil {
			return i, s.err
		}
	}
	if s.err != nil {
		return 0, s.err
	}
	return len(b), nil
}

func (s *Scanner) scanByte(c byte) error {
	if s.bytes++; s.bytes > MaxBytes {
		return errTooLong
	}
	switch s.state {
	case statusLine:
		return s.scanStatusLine(c)
	case reason, fieldValue:
		switch {
		case c == '\r':
			s.state = lineFeed
		case c == '\n':
			return s.endLine()
		case c < ' ' && c != '\t' || c == 0x7f:
			return errFieldValue
		}
	case lineStart:
		switch {
		case c == '\r':
			s.state = lastLineFeed
		case c == '\n':
			return s.endHead()
		case !isTokenByte[c]:
			return errFieldName
		default:
			s.state, s.name = fieldName, append(s.name[:0], lower(c))
		}
	case fieldName:
		switch {
		case c == ':':
			s.endName()
		case !isTokenByte[c]:
			return errFieldName
		case len(s.name) <= len(encodingField):
			s.name = append(s.name, lower(c))
		}
	case lineFeed, lastLineFeed:
		if c != '\n' {
			return errFieldValue
		}
		if s.state == lastLineFeed {
			return s.endHead()
		}
		return s.endLine()
	}
	return nil
}

func (s *Scanner) scanStatusLine(c byte) error {
	at := len(s.start)
	if at == len(statusForm) {
		switch c {
		case ' ':
			s.state = reason
		case '\r':
			s.state = lineFeed
		case '\n':
			return s.endLine()
		default:
			return errStatusLine
		}
		return nil
	}
	s.start = append(s.start, c)
	matches := c == statusForm[at]
	switch {
	case at == minorVersionAt:
		matches = c == '0' || c == '1'
	case at == statusAt:
		matches = '1' <= c && c <= '5'
	case at > statusAt:
		matches = '0' <= c && c <= '9'
	}
	complete := len(s.start) == len(statusForm)
	if !matches || complete && string(s.start[statusAt:]) == switchingProtocols {
		return errStatusLine
	}
	return nil
}

// switchingProtocols is the status after which a connection no longer speaks HTTP. No request asks
// for that.
const switchingProtocols = "101"

func (s *Scanner) endName() {
	s.state = fieldValue
	switch string(s.name) {
	case lengthField:
		s.statesLength = true
	case encodingField:
		s.statesEncoding = true
	}
}

func (s *Scanner) endLine() error {
	s.state = lineStart
	if s.lines++; s.lines > MaxLines {
		return errTooLong
	}
	return nil
}

func (s *Scanner) endHead() error {
	informational := s.start[statusAt] == '1'
	version10 := s.start[minorVersionAt] == '0'
	// Informational responses have no body, and recipients of HTTP/1.0 know no encodings.
	if informational && (s.statesLength || s.statesEncoding) || version10 && s.statesEncoding {
		return errFraming
	}
	if informational {
		s.lines++
		s.beginResponse()
		return nil
	}
	s.active = false
	return nil
}

// isTokenByte holds the bytes of which names of fields are made.
var isTokenByte = func() (out [256]bool) {
	for c := range out {
		out[c] = 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return out
}()

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// CheckTrailer checks the names of the fields after the last chunk of a body. A body whose end was
// misread has other bytes there.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r > 0x7f || !isTokenByte[byte(r)] }) {
			return errTrailer
		}
	}
	return nil
}
