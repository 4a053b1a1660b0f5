package gateway

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsebuffer"
)

func testRoom() *responsebuffer.Buffer {
	return responsebuffer.New(maxBufferedResponseBytes, sharedBufferBytes)
}

// Guards against an event that is forwarded in part, changed or without a bound, whatever
// an engine sends and however its bytes are divided.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 0\ndata: a\n\n: comment\n\nid: 1\r\ndata: b\r\n\r\n"), true)
	f.Add([]byte("id: 99999999999999999999\n\ndata"), false)
	f.Add(bytes.Repeat([]byte("\n"), 100), true)
	f.Add(bytes.Repeat([]byte("x"), 70<<10), false)
	f.Fuzz(func(t *testing.T, data []byte, oneByte bool) {
		var source io.Reader = bytes.NewReader(data)
		if oneByte {
			source = iotest.OneByteReader(source)
		}
		reader := newEventReader(source, testRoom())
		var forwarded []byte
		for {
			e, err := reader.next()
			if err != nil {
				if errors.Is(err, io.EOF) {
					require.Empty(t, bytes.TrimSpace(data[len(forwarded):]), "bytes were left out")
				}
				return
			}
			require.LessOrEqual(t, len(e.raw), maxEventBytes)
			forwarded = append(forwarded, e.raw...)
			require.True(t, bytes.HasPrefix(data, forwarded), "the events are not the bytes of the engine")
		}
	})
}

// Guards against the end of a long line that is taken for the end of its event: the line
// fills the reader's buffer, and its rest is only the line break.
func TestLineOfTheSizeOfTheBuffer(t *testing.T) {
	for size := 4<<10 - 8; size < 4<<10+8; size++ {
		text := "data: " + strings.Repeat("x", size) + "\nid: 7\n\n"
		e, err := newEventReader(strings.NewReader(text), testRoom()).next()
		require.NoError(t, err)
		require.Equal(t, text, string(e.raw))
		require.EqualValues(t, 7, e.id)
		require.True(t, e.hasData)
	}
}

// Guards against an engine whose blank lines keep the processor busy: the cost of each must not grow
// with what came before.
func TestBlankLinesAreCheap(t *testing.T) {
	const streams, bound = 10, 5 * time.Second
	for _, blank := range []string{"\n", "\r\n", " \n"} {
		startedAt := time.Now()
		for range streams {
			_, err := newEventReader(strings.NewReader(strings.Repeat(blank, maxEventBytes+1)), testRoom()).next()
			require.ErrorIs(t, err, errEventTooLong)
		}
		require.Less(t, time.Since(startedAt), bound, "%d streams of %q", streams, blank)
	}
}

// Guards against blank lines that are lost, or taken for an event, or for its end.
func TestBlankLinesBelongToTheNextEvent(t *testing.T) {
	events := newEventReader(strings.NewReader("\n\r\n \n\ndata: 1\n \n\n\nid: 2\ndata: 2\n\n\n"), testRoom())
	first, err := events.next()
	require.NoError(t, err)
	require.Equal(t, "\n\r\n \n\ndata: 1\n \n\n", string(first.raw))
	second, err := events.next()
	require.NoError(t, err)
	require.Equal(t, "\nid: 2\ndata: 2\n\n", string(second.raw))
	_, err = events.next()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against long events of many streams that together hold more than their room, and against
// room that is lost with them.
func TestLongEventsShareTheirRoom(t *testing.T) {
	room := testRoom()
	long := "data: " + strings.Repeat("x", maxEventBytes-100) + "\n\n"
	var streams []*eventReader
	for range sharedBufferBytes / maxEventBytes {
		events := newEventReader(strings.NewReader(long+"data: y\n\n"), room)
		_, err := events.next()
		require.NoError(t, err)
		streams = append(streams, events)
	}
	refused := newEventReader(strings.NewReader(long), room)
	_, err := refused.next()
	require.ErrorIs(t, err, responsebuffer.ErrFull)
	refused.release()
	short := newEventReader(strings.NewReader("data: "+strings.Repeat("x", responsebuffer.UncountedBytes/2)+"\n\n"), room)
	_, err = short.next()
	require.NoError(t, err, "short events need no room")
	_, err = streams[0].next() // frees the room of the event before
	require.NoError(t, err)
	_, err = newEventReader(strings.NewReader(long), room).next()
	require.NoError(t, err)
}

// Guards against events whose reading allocates many times their length. The collector lags behind
// when many of them are read at once.
func TestEventsAreReadInFewBuffers(t *testing.T) {
	const repeats, maxCopies = 20, 3
	for _, size := range []int{8 << 10, responsebuffer.UncountedBytes - 1, maxEventBytes - 1} {
		for name, text := range map[string]string{"one line": strings.Repeat("x", size), "many lines": strings.Repeat(":\n", size/2)} {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range repeats {
				events := newEventReader(strings.NewReader(text), testRoom())
				_, err := events.next()
				require.Error(t, err, "the event is not complete")
				events.release()
			}
			runtime.ReadMemStats(&after)
			assert.LessOrEqual(t, int(after.TotalAlloc-before.TotalAlloc)/repeats, maxCopies*size, "%d bytes in %s", size, name)
		}
	}
}
