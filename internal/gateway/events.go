package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rattanscale/rattanscale/internal/responsebuffer"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 64 << 10

var (
	errEventTooLong = errors.New("an event of the stream is longer than the limit")
	// errPartialEvent reports a stream that ended inside an event.
	errPartialEvent = errors.New("the stream ended within an event")
)

// event is one event of a stream in its encoded form.
type event struct {
	raw []byte
	// id is the identifier of the event, -1 if it has none.
	id int64
	// hasData is set if the event has more than comments.
	hasData bool
}

// eventReader splits a stream into events, so that only complete ones are forwarded.
type eventReader struct {
	buffer *bufio.Reader
	// room is for long events.
	room *responsebuffer.Buffer
	// holdsRoom is set while a long event is held.
	holdsRoom bool
}

func newEventReader(r io.Reader, room *responsebuffer.Buffer) *eventReader {
	return &eventReader{buffer: bufio.NewReaderSize(r, 4<<10), room: room}
}

// release frees the room of the latest event, which must not be used afterwards.
func (e *eventReader) release() {
	if e.holdsRoom {
		e.room.Release(maxEventBytes)
		e.holdsRoom = false
	}
}

// extend appends a part of a line to an event. An event longer than UncountedBytes takes the room
// of the longest. The buffer doubles: append grows it in so many steps that streams which are read at
// once leave more behind than the collector keeps up with.
func (e *eventReader) extend(raw, part []byte) ([]byte, error) {
	length := len(raw) + len(part)
	if length <= cap(raw) {
		return append(raw, part...), nil
	}
	size := min(max(2*cap(raw), length), responsebuffer.UncountedBytes)
	if length > responsebuffer.UncountedBytes {
		if e.holdsRoom = e.room.Reserve(maxEventBytes); !e.holdsRoom {
			return raw, responsebuffer.ErrFull
		}
		size = maxEventBytes + e.buffer.Size() // also for the part that shows that it is too long
	}
	return append(append(make([]byte, 0, size), raw...), part...), nil
}

// next returns the next complete event and releases the one before. It returns io.EOF only if the
// stream ends between events.
func (e *eventReader) next() (event, error) {
	e.release()
	out := event{id: -1}
	lineStart := 0 // of the current line in out.raw
	// isBlank is set while all lines are blank: no event ends there, and none is cut off.
	isBlank := true
	for {
		line, err := e.buffer.ReadSlice('\n')
		var roomErr error
		if out.raw, roomErr = e.extend(out.raw, line); roomErr != nil {
			return out, roomErr
		}
		if errors.Is(err, bufio.ErrBufferFull) && len(out.raw) <= maxEventBytes {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && (!isBlank || len(bytes.TrimSpace(out.raw[lineStart:])) > 0) {
				return out, errPartialEvent
			}
			return out, err
		}
		if len(out.raw) > maxEventBytes {
			return out, errEventTooLong
		}
		trimmed := bytes.TrimRight(out.raw[lineStart:], "\r\n")
		lineStart = len(out.raw)
		if len(trimmed) == 0 {
			if isBlank {
				continue
			}
			return out, nil
		}
		isBlank = isBlank && len(bytes.TrimSpace(trimmed)) == 0
		if trimmed[0] != ':' {
			out.hasData = true
		}
		if value, found := bytes.CutPrefix(trimmed, []byte("id:")); found {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				out.id = id
			}
		}
	}
}

// buffered reports whether more of the stream can be read without waiting for the
// upstream.
func (e *eventReader) buffered() bool { return e.buffer.Buffered() > 0 }
