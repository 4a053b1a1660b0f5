package hop

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a connection that is used again although it has received bytes, or its end, while
// it was idle.
func TestSpoiltConnectionIsNotUsedAgain(t *testing.T) {
	for name, spoil := range map[string]func(c net.Conn){
		"bytes": func(c net.Conn) { _, _ = io.WriteString(c, "H") },
		"end":   func(c net.Conn) { _ = c.Close() },
		"reset": func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			accepted := make(chan net.Conn, 2)
			address := startUpstream(t, func(c net.Conn) {
				accepted <- c
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					answer(c, r.Header.Get("Id"), "x")
				}
			})
			pool := NewPool(idHeader, nil)
			defer pool.Close()
			c, err := pool.dial(t.Context(), address)
			require.NoError(t, err)
			defer func() { _ = c.Conn.Close() }()
			assert.True(t, c.atBoundary())
			spoil(<-accepted)
			require.Eventually(t, func() bool { return !c.atBoundary() }, 10*time.Second, time.Millisecond)
			pool.putIdle(c, time.Now(), 1)
			response, err := pool.Do(t.Context(), address, requestWithID("a"))
			require.NoError(t, err)
			response.Drain()
			assert.Len(t, accepted, 1, "the request uses another connection")
		})
	}
}

// Guards against the start of a second answer to an earlier request that becomes the head of the
// next answer: it arrives after the request was sent, cut after any byte.
func TestBrokenOffCopyIsNotTheHeadOfTheNextResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nDate: Sun, 06 Dec 2026 07:00:00 GMT\r\nNot-Run: 1\r\nId: first\r\nContent-Length: 4\r\n\r\nfull"
	cut := 0
	address := startUpstream(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if r.Header.Get("Id") == "second" {
				_, _ = io.WriteString(c, refusal[:cut])
				answer(c, "second", "body of second")
				return
			}
			answer(c, "first", "body of first")
		}
	})
	for cut = 1; cut <= len(refusal); cut++ {
		pool := NewPool(idHeader, nil)
		keepConnections(t, pool, address, "first", 1)
		response, err := pool.Do(t.Context(), address, requestWithID("second"))
		if err == nil {
			assert.Equal(t, http.StatusOK, response.Status, "after %q", refusal[:cut])
			assert.Empty(t, response.Header.Get("Not-Run"), "after %q", refusal[:cut])
			response.Close()
		}
		pool.Close()
	}
}

// Guards against a response that is counted although it names no request or another one.
func TestResponseCountsOnlyWithItsIdentifier(t *testing.T) {
	for _, kept := range []bool{false, true} {
		for _, echoed := range []string{"", "Id: other\r\n", "Id: \r\n"} {
			address := startUpstream(t, func(c net.Conn) {
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if r.Header.Get("Id") == "first" {
						answer(c, "first", "x")
						continue
					}
					_, _ = io.WriteString(c, "HTTP/1.1 503 full\r\nNot-Run: 1\r\n"+echoed+"Content-Length: 0\r\n\r\n")
				}
			})
			pool := NewPool(idHeader, nil)
			if kept {
				keepConnections(t, pool, address, "first", 1)
			}
			_, err := pool.Do(t.Context(), address, requestWithID("second"))
			var failed *Error
			require.ErrorAs(t, err, &failed, "%q, kept connection %t", echoed, kept)
			assert.Equal(t, Sent, failed.Progress)
			pool.Close()
		}
	}
}

// Guards against calls without an identifier whose responses can not be told apart.
func TestRequestsWithoutIdentifierUseDifferentConnections(t *testing.T) {
	opened := 0
	address := startUpstream(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answer(c, r.Header.Get("Id"), "x")
		}
	})
	pool := NewPool(idHeader, func() { opened++ })
	defer pool.Close()
	for _, id := range []string{"a", "", "b", "", "c"} {
		response, err := pool.Do(t.Context(), address, requestWithID(id))
		require.NoError(t, err)
		response.Drain()
	}
	assert.Equal(t, 2, opened)
}
