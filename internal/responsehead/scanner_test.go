package responsehead

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsehead/headtest"
)

const (
	testFields = "Id: a\r\n"
	testBody   = "first line\n second line\n"
)

// scanInPieces scans a text in pieces of the given size, up to the first error.
func scanInPieces(text string, size int) (scanned int, err error) {
	var s Scanner
	s.Begin()
	for scanned < len(text) && err == nil {
		var n int
		n, err = s.Scan([]byte(text[scanned:min(scanned+size, len(text))]))
		scanned += n
	}
	return scanned, err
}

// Guards against a head that is judged by where its reads begin and end.
func TestScannerDoesNotDependOnReads(t *testing.T) {
	for name, text := range headtest.Malformed(testFields, testBody) {
		whole, err := scanInPieces(text, len(text))
		require.ErrorIs(t, err, ErrMalformed, name)
		require.NotContains(t, text[:whole], "\r\n\r\n", "%s: the head is not over", name)
		for size := 1; size < len(text); size++ {
			scanned, err := scanInPieces(text, size)
			require.ErrorIs(t, err, ErrMalformed, name)
			require.Equal(t, whole, scanned, "%s in pieces of %d", name, size)
		}
	}
	for name, text := range headtest.Proper(testFields, testBody) {
		for size := 1; size <= len(text); size++ {
			_, err := scanInPieces(text, size)
			require.NoError(t, err, "%s in pieces of %d", name, size)
		}
	}
}

// Guards against a head without end that is read on and on.
func TestHeadsAreBounded(t *testing.T) {
	for name, text := range map[string]string{
		"one line":                "HTTP/1.1 200 OK\r\na: " + strings.Repeat("x", MaxBytes),
		"reason":                  "HTTP/1.1 200 " + strings.Repeat("x", MaxBytes),
		"name":                    "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", MaxBytes),
		"lines":                   "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", MaxLines),
		"informational responses": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", MaxLines),
	} {
		_, err := scanInPieces(text, 100)
		assert.ErrorIs(t, err, errTooLong, name)
	}
	long := "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", MaxLines-1) + "\r\n" + strings.Repeat("a:\r\n", MaxLines)
	_, err := scanInPieces(long, 100)
	assert.NoError(t, err, "what follows the head is not bounded")
}

// Guards against bytes that pass both the scanner and the standard library and are no response, and
// against panics of the scanner.
func FuzzScanner(f *testing.F) {
	for _, text := range headtest.Malformed(testFields, testBody) {
		f.Add(text)
	}
	for _, text := range headtest.Proper(testFields, testBody) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		scanned, err := scanInPieces(text, 7)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			require.Less(t, scanned, len(text))
			return
		}
		head := text
		for {
			reader := bufio.NewReader(strings.NewReader(head))
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			require.NotEqual(t, http.StatusSwitchingProtocols, response.StatusCode)
			require.True(t, response.StatusCode >= 100 && response.StatusCode < 600, response.Status)
			require.Equal(t, 1, response.ProtoMajor)
			require.NoError(t, CheckTrailer(response.Header), "names of fields")
			for name, values := range response.Header {
				if name == "Cache-Control" {
					continue // the library adds it beside Pragma
				}
				require.Contains(t, strings.ToLower(head), strings.ToLower(name))
				for _, value := range values {
					require.Contains(t, head, value, "lines are not joined")
				}
			}
			if response.StatusCode >= http.StatusOK {
				return
			}
			rest, err := io.ReadAll(reader)
			require.NoError(t, err)
			head = string(rest)
		}
	})
}
