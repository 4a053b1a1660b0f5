package asynclog

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an empty write that stops the writer, so that all later lines are lost.
func TestEmptyWriteDoesNotStopTheWriter(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	for _, line := range [][]byte{[]byte("a\n"), {}, nil, []byte("b\n")} {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	w.Close()
	require.Equal(t, "a\nb\n", out.String())
}
