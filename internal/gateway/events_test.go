package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

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
		reader := newEventReader(source)
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
		e, err := newEventReader(strings.NewReader(text)).next()
		require.NoError(t, err)
		require.Equal(t, text, string(e.raw))
		require.EqualValues(t, 7, e.id)
		require.True(t, e.hasData)
	}
}
