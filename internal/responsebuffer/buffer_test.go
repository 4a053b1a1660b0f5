package responsebuffer

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testMax    = 1 << 20
	testShared = 4 << 20
)

// endless is a body without end.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// Guards against responses that are cut, passed on in part, or turned away below the limit.
func TestResponsesUpToTheLimitAreWhole(t *testing.T) {
	b := New(testMax, testShared)
	for _, n := range []int{0, 1, firstBytes, UncountedBytes - 1, UncountedBytes, UncountedBytes + 1, testMax - 1, testMax} {
		want := bytes.Repeat([]byte("x"), n)
		for name, r := range map[string]io.Reader{
			"plain": bytes.NewReader(want), "end with the last bytes": iotest.DataErrReader(bytes.NewReader(want)), "halves": iotest.HalfReader(bytes.NewReader(want)),
		} {
			got, release, err := b.Read(r)
			require.NoError(t, err, "%d bytes, %s", n, name)
			require.Equal(t, want, got)
			release()
		}
	}
	for name, r := range map[string]io.Reader{
		"plain": bytes.NewReader(make([]byte, testMax+1)), "end with the last bytes": iotest.DataErrReader(bytes.NewReader(make([]byte, testMax+1))),
	} {
		body, release, err := b.Read(r)
		require.ErrorIs(t, err, ErrTooLong, name)
		require.Empty(t, body)
		release()
	}
	body, release, err := b.Read(io.MultiReader(bytes.NewReader(make([]byte, 100)), iotest.ErrReader(io.ErrUnexpectedEOF)))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Empty(t, body)
	release()
	require.Zero(t, b.used.Load())
}

// Guards against responses without end that hold more than their share, or keep it, and against
// short responses that find no room beside them.
func TestResponsesWithoutEndAreBounded(t *testing.T) {
	b := New(testMax, testShared)
	var held []func()
	for range testShared / testMax {
		_, release, err := b.Read(bytes.NewReader(make([]byte, testMax)))
		require.NoError(t, err)
		held = append(held, release)
	}
	var readers sync.WaitGroup
	for range 50 {
		readers.Go(func() {
			body := &endless{}
			_, release, err := b.Read(body)
			assert.Error(t, err)
			assert.LessOrEqual(t, body.read, testMax+1)
			release()
			got, release, err := b.Read(bytes.NewReader(make([]byte, UncountedBytes-1)))
			assert.NoError(t, err)
			assert.Len(t, got, UncountedBytes-1)
			release()
		})
	}
	readers.Wait()
	assert.LessOrEqual(t, b.used.Load(), int64(testShared))
	for _, release := range held {
		release()
		release() // once is enough
	}
	require.Zero(t, b.used.Load())
}
