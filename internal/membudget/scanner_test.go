package membudget

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// requestsOf returns the heads and the rest of each request as the scanner separates them, from
// reads of at most size bytes.
func requestsOf(data []byte, size int) (heads []string, s *Scanner) {
	s = &Scanner{}
	head := true
	for len(data) > 0 {
		inHead := s.InHead()
		n := s.Scan(data[:min(size, len(data))])
		if inHead && head {
			heads = append(heads, "")
		}
		if inHead {
			heads[len(heads)-1] += string(data[:n])
		}
		head = !inHead || s.ended
		data = data[n:]
	}
	return heads, s
}

// Guards against bodies that count as heads, and heads that hide behind bodies.
func TestScannerSeparatesRequests(t *testing.T) {
	const first = "POST /a HTTP/1.1\r\nHost: a\r\ncontent-length: 11\r\n\r\n"
	const second = "POST /b HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n"
	const third = "GET /c HTTP/1.1\nHost: c\n\n"
	data := first + "GET / HTTP/" + second + "5;x=y\r\n\r\n\r\n1\r\n0a\r\n1234567890\r\n0\r\nOdd: 1\r\n\r\n" + third
	for _, size := range []int{1, 2, 3, 7, 4096} {
		heads, s := requestsOf([]byte(data), size)
		require.Equal(t, []string{first, second, third}, heads, "reads of %d bytes", size)
		require.Equal(t, len(third), s.HeadBytes())
		require.Equal(t, int64(headBaseCost+3*lineCost+len(third)*byteCost), s.HeadCost())
	}
}

// Guards against fields after a body that do not count.
func TestScannerCountsTrailers(t *testing.T) {
	s := &Scanner{}
	head := []byte("POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
	require.Equal(t, len(head), s.Scan(head))
	before := s.HeadCost()
	trailer := []byte("0\r\n" + strings.Repeat("a:1\r\n", 100))
	require.Equal(t, len(trailer), s.Scan(trailer))
	require.True(t, s.InTrailer())
	require.Equal(t, before+100*(lineCost+5*byteCost), s.HeadCost())
}

// FuzzScanner compares the scanner with the parser of the server: for requests that this accepts,
// both must agree on where each head ends, and for any bytes the result must not depend on how
// they are divided into reads.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nT: 1\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", "\r\n\r\n\r\n", "a:\n", "POST / HTTP/1.1\n\n",
		"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n",
	} {
		f.Add([]byte(seed), byte(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, size byte) {
		whole, s := requestsOf(data, len(data)+1)
		divided, d := requestsOf(data, int(size)+1)
		require.Equal(t, whole, divided)
		require.Equal(t, s.HeadCost(), d.HeadCost())
		reader := bufio.NewReader(bytes.NewReader(data))
		for _, head := range whole {
			request, err := http.ReadRequest(reader)
			if err != nil || request.ProtoMajor != 1 || request.ProtoMinor != 1 {
				return
			}
			parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			require.NoError(t, err, "the scanner cut the head %q", head)
			require.Equal(t, request.Header, parsed.Header)
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				require.False(t, errors.Is(err, io.EOF))
				return
			}
		}
	})
}
