// Package peer implements remote procedure calls between daemons: JSON-RPC 2.0 over
// TCP, with one connection for each pair of daemons. In the handshake both ends
// prove that they hold the shared peer key. Every message carries a timestamp of
// the hybrid logical clock.
//
// A message frame consists of a 4-byte big-endian length of the rest of the frame,
// an 8-byte big-endian timestamp and one JSON-RPC 2.0 object.
package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

const (
	lengthBytes    = 4
	timestampBytes = 8
	headerBytes    = lengthBytes + timestampBytes

	// DefaultMaxMessageBytes is the default limit of a message's length. The longest
	// messages are change log deltas with large service texts.
	DefaultMaxMessageBytes = 16 << 20
	// writeTimeout limits how long a write blocks when the peer does not read.
	writeTimeout = 2 * time.Second
)

var errBadFrame = errors.New("malformed message")

// encodeFrame encodes object as JSON and writes its frame to buf, which must be empty.
func encodeFrame(buf *bytes.Buffer, object any, now timeline.Timestamp, maxBytes int) error {
	var header [headerBytes]byte
	buf.Write(header[:])
	if err := json.NewEncoder(buf).Encode(object); err != nil {
		return err
	}
	length := buf.Len() - lengthBytes
	if length > maxBytes {
		return failure.NotRun(failure.BodyTooLarge, "peer message of %d bytes exceeds the limit of %d bytes", length, maxBytes)
	}
	frame := buf.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(length))
	binary.BigEndian.PutUint64(frame[lengthBytes:], uint64(now))
	return nil
}

// decodeFrame reads one frame and decodes its object into v. It allocates memory for
// the bytes received, not for the length in the frame, which may be false.
func decodeFrame(r io.Reader, maxBytes int, v any) (timeline.Timestamp, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < timestampBytes || int64(length) > int64(maxBytes) {
		return 0, fmt.Errorf("%w: frame length %d is out of range", errBadFrame, length)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(length)-timestampBytes); err != nil {
		return 0, errors.Join(io.ErrUnexpectedEOF, err)
	}
	if err := json.Unmarshal(body.Bytes(), v); err != nil {
		return 0, fmt.Errorf("%w: %w", errBadFrame, err)
	}
	return timeline.Timestamp(binary.BigEndian.Uint64(header[lengthBytes:])), nil
}

// stream is the jsonrpc2.ObjectStream of one connection.
type stream struct {
	conn                        net.Conn
	reader                      *bufio.Reader
	options                     *Options
	localAddress, remoteAddress string

	writeMu sync.Mutex
	buf     bytes.Buffer

	received receiveTime
}

func newStream(conn net.Conn, options *Options, remote string) *stream {
	s := &stream{conn: conn, options: options, localAddress: options.Address, remoteAddress: remote}
	s.reader = bufio.NewReader(io.TeeReader(conn, &s.received))
	return s
}

// receiveTime is a writer that records when it was last written to.
type receiveTime struct{ at atomic.Pointer[time.Time] }

func (r *receiveTime) Write(p []byte) (int, error) {
	now := time.Now()
	r.at.Store(&now)
	return len(p), nil
}

// maxRetainedBufferBytes is the largest write buffer that is reused for the next
// message; a larger one is released.
const maxRetainedBufferBytes = 64 << 10

// WriteObject writes one message. For an oversized message it returns an error and
// sends nothing, so the connection stays usable.
func (s *stream) WriteObject(object any) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.buf.Reset()
	if s.buf.Cap() > maxRetainedBufferBytes {
		s.buf = bytes.Buffer{}
	}
	if err := encodeFrame(&s.buf, object, s.options.Clock.Now(), s.options.MaxMessageBytes); err != nil {
		return err
	}
	if s.options.Faults.isBlocked(s.localAddress, s.remoteAddress) {
		return nil
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.conn.Write(s.buf.Bytes()); err != nil {
		_ = s.conn.Close() // part of the frame may have been sent
		return err
	}
	return nil
}

// ReadObject reads the next message and advances the clock to its timestamp.
func (s *stream) ReadObject(v any) error {
	timestamp, err := decodeFrame(s.reader, s.options.MaxMessageBytes, v)
	if err != nil {
		return err
	}
	s.options.Clock.Observe(timestamp)
	return nil
}

// lastReceived returns when the latest bytes were received. A long message that is still
// arriving counts.
func (s *stream) lastReceived() time.Time {
	if at := s.received.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (s *stream) Close() error { return s.conn.Close() }
