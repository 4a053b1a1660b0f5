package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startUpstream starts an upstream whose connections are served by serve.
func startUpstream(t testing.TB, serve func(c net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer func() { _ = c.Close() }()
				serve(c)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		conns.Wait()
	})
	return listener.Addr().String()
}

// writeEndlessly repeats text until the connection is closed.
func writeEndlessly(c net.Conn, start, text string) {
	if _, err := io.WriteString(c, start); err != nil {
		return
	}
	block := []byte(strings.Repeat(text, max((16<<10)/len(text), 1)))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// endlessResponses are bytes without end at each place of a response that the client reads
// before it returns the response.
var endlessResponses = map[string][2]string{
	"field lines":             {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
	"one field line":          {"HTTP/1.1 200 OK\r\na: ", "x"},
	"status line":             {"", "HTTP/1.1 "},
	"continued field":         {"HTTP/1.1 200 OK\r\na: b\r\n", " c\r\n"},
	"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"informational head":      {"HTTP/1.1 103 Early Hints\r\n", "a: b\r\n"},
	"bytes that are no head":  {"", "\x00\xff"},
	"blank lines":             {"", "\r\n"},
	"earlier response":        {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"earlier response, no length": {
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	"earlier chunk extension": {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"earlier trailer":         {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
}

func requestWithID(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/", Host: "a", ID: id, Header: http.Header{"Id": {id}},
	}
}

func idHeader(h http.Header) string { return h.Get("Id") }

// maxHeapGrowth is how much the heap may grow while 100 connections receive bytes without
// end; the smallest hosts have 112 MB.
const maxHeapGrowth = 32 << 20

func heapInUse() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapInuse
}

// keepConnections leaves idle connections in the pool that have carried a request, so that its
// response may come again on them.
func keepConnections(t *testing.T, pool *Pool, address, id string, count int) {
	t.Helper()
	var responses []*Response
	for range count {
		request := requestWithID(id)
		request.MaxIdle = count
		response, err := pool.Do(t.Context(), address, request)
		require.NoError(t, err)
		responses = append(responses, response)
	}
	for _, response := range responses {
		response.Drain()
	}
}

// Guards against an upstream that exhausts the memory of its callers by bytes without end.
func TestEndlessResponsesAreBounded(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			address := startUpstream(t, func(c net.Conn) {
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if r.Header.Get("Id") != "other" {
						writeEndlessly(c, response[0], response[1])
						return
					}
					answer(c, "other", "x")
				}
			})
			pool := NewPool(idHeader, nil)
			defer pool.Close()
			keepConnections(t, pool, address, "other", 100)
			runtime.GC()
			before, highest := heapInUse(), uint64(0)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var calls sync.WaitGroup
			for i := range 100 {
				calls.Go(func() {
					started := time.Now()
					var failed *Error
					// A connection may time out while the upstream accepts 100 at once; then the
					// upstream has sent nothing yet.
					for failed == nil || failed.Progress == NotSent && ctx.Err() == nil {
						_, err := pool.Do(ctx, address, requestWithID(fmt.Sprint(i)))
						if !assert.ErrorAs(t, err, &failed) {
							return
						}
					}
					assert.Equal(t, Sent, failed.Progress)
					assert.NoError(t, ctx.Err(), "ended by its bound, not by its time")
					assert.Less(t, time.Since(started), 30*time.Second)
				})
			}
			done := make(chan struct{})
			go func() { calls.Wait(); close(done) }()
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(5 * time.Millisecond):
				}
				highest = max(highest, heapInUse())
			}
			t.Logf("heap grew by %d KB", (int64(highest)-int64(before))>>10)
			assert.Less(t, int64(highest)-int64(before), int64(maxHeapGrowth))
		})
	}
}

// Guards against a limit on heads that also cuts long bodies.
func TestLongBodyAfterHead(t *testing.T) {
	body := strings.Repeat("line\n", 200<<10)
	address := startUpstream(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		answer(c, "a", body)
	})
	pool := NewPool(idHeader, nil)
	defer pool.Close()
	response, err := pool.Do(t.Context(), address, requestWithID("a"))
	require.NoError(t, err)
	defer response.Close()
	got, err := io.ReadAll(response)
	require.NoError(t, err)
	assert.Len(t, got, len(body))
}

// answer writes a complete response.
func answer(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against a late second copy of a response that reaches the next caller on the same
// connection. In each case the second request gets its own response or an error.
func TestLateCopyDoesNotReachTheNextRequest(t *testing.T) {
	copies := map[string]func(c net.Conn){
		"with the earlier identifier": func(c net.Conn) { answer(c, "first", "body of first") },
		"twice":                       func(c net.Conn) { answer(c, "first", "body of first"); answer(c, "first", "body of first") },
		"without an identifier": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nbody of first")
		},
		"not run, without an identifier": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 no\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"with a longer body than stated": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 4\r\n\r\nbody of first")
		},
		"with a shorter body than stated": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 40\r\n\r\nbody of first")
		},
		"that ends with its connection": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: first\r\n\r\nbody of first") },
		"only of its body":              func(c net.Conn) { _, _ = io.WriteString(c, "body of first") },
		"of its last chunk":             func(c net.Conn) { _, _ = io.WriteString(c, "0\r\n\r\n") },
	}
	for name, sendCopy := range copies {
		for _, when := range []string{"while idle", "before the second request", "after the second request"} {
			t.Run(name+" "+when, func(t *testing.T) {
				idle, sent := make(chan struct{}), make(chan struct{})
				address := startUpstream(t, func(c net.Conn) {
					reader := bufio.NewReader(c)
					for {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						id := r.Header.Get("Id")
						if id == "second" && when == "after the second request" {
							sendCopy(c)
						}
						answer(c, id, "body of "+id)
						if id == "first" && when != "after the second request" {
							<-idle
							sendCopy(c)
							close(sent)
						}
					}
				})
				pool := NewPool(idHeader, nil)
				defer pool.Close()
				read := func(id string) (string, error) {
					ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
					defer cancel()
					response, err := pool.Do(ctx, address, requestWithID(id))
					if err != nil {
						return "", err
					}
					defer response.Close()
					body, err := io.ReadAll(response)
					return string(body), err
				}
				body, err := read("first")
				require.NoError(t, err)
				require.Equal(t, "body of first", body)
				switch when {
				case "while idle":
					close(idle)
					<-sent
					time.Sleep(20 * time.Millisecond) // the bytes arrive over loopback
				case "before the second request":
					go func() { close(idle) }()
				}
				if body, err = read("second"); err == nil {
					require.Equal(t, "body of second", body)
				}
				if body, err = read("third"); err == nil {
					require.Equal(t, "body of third", body)
				}
			})
		}
	}
}

// Guards against a late copy that cannot be told apart because the same request was sent
// on the connection before.
func TestSameRequestUsesAnotherConnection(t *testing.T) {
	var mu sync.Mutex
	opened := 0
	address := startUpstream(t, func(c net.Conn) {
		mu.Lock()
		opened++
		mu.Unlock()
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
	for _, id := range []string{"a", "b", "b", "c", "d", "b"} {
		response, err := pool.Do(t.Context(), address, requestWithID(id))
		require.NoError(t, err)
		response.Drain()
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, 3, opened)
}

// Guards against connections that outlive their pool.
func TestClosedPoolKeepsNoConnection(t *testing.T) {
	closed := make(chan struct{})
	address := startUpstream(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		if r, err := http.ReadRequest(reader); err == nil {
			answer(c, r.Header.Get("Id"), "x")
		}
		_, _ = reader.ReadByte()
		close(closed)
	})
	pool := NewPool(idHeader, nil)
	response, err := pool.Do(t.Context(), address, requestWithID("a"))
	require.NoError(t, err)
	pool.Close()
	response.Drain()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection in use was kept")
	}
	_, err = pool.Do(t.Context(), address, requestWithID("b"))
	var failed *Error
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, NotSent, failed.Progress)
}

// Guards against a response whose head was cut anywhere and that is taken for a complete one, with
// an empty or a short body.
func TestCutHeadIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 8000\r\nX-Signature: abc\r\nX-Folded: a\r\n b\r\n\r\n"
	for _, framing := range []string{"Content-Length: 8000", "Transfer-Encoding: chunked", "Connection: close"} {
		full := strings.Replace(head, "Content-Length: 8000", framing, 1)
		for _, text := range []string{full, strings.ReplaceAll(full, "\r\n", "\n")} {
			cut := 0
			address := startUpstream(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text[:cut])
				}
			})
			pool := NewPool(idHeader, nil)
			for cut = range len(text) {
				response, err := pool.Do(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "r1"})
				if err == nil {
					response.Close()
				}
				require.Error(t, err, "cut after %q", text[:cut])
			}
			pool.Close()
		}
	}
}
