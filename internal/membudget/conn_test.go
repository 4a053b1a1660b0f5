package membudget

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// serve starts a server that answers with the length of the body, and with 503 if there is no
// room for it. The limits are for one large request at a time.
func serve(t *testing.T, limits Limits) (*Budget, string) {
	t.Helper()
	budget := New(limits, "test", metrics.NewSet(), logr.Discard())
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnState: OnState, ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer Release(r.Context())
		body, err := ReadBody(r.Context(), r.Body, r.ContentLength, 4<<20)
		if errors.Is(err, ErrNoRoom) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	})}
	listener := Listen(raw, Options{Budget: budget, MaxHeadBytes: func() int { return 16 << 10 }, RefusalHeader: http.Header{"Retry-After": {"1"}}})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return budget, raw.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	return conn, bufio.NewReader(conn)
}

func requireResponse(t *testing.T, r *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(data))
	return response
}

const (
	ordinary  = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
	chunked   = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	largeHead = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n"
)

var oneLargeRequest = Limits{RequestBytes: 4 << 20, LargeBytes: 3 << 20, Connections: 1000}

// Guards against bytes that are lost or doubled where requests follow each other on a connection,
// in one piece or byte by byte, and against memory that stays reserved.
func TestRequestsInARow(t *testing.T) {
	budget, address := serve(t, oneLargeRequest)
	conn, r := dial(t, address)
	_, err := io.WriteString(conn, strings.Repeat(ordinary+chunked, 200))
	require.NoError(t, err)
	for range 200 {
		requireResponse(t, r, 200, "3")
		requireResponse(t, r, 200, "5")
	}
	for _, b := range []byte(ordinary + chunked) {
		_, err := conn.Write([]byte{b})
		require.NoError(t, err)
	}
	requireResponse(t, r, 200, "3")
	requireResponse(t, r, 200, "5")
	_ = conn.Close()
	require.Eventually(t, func() bool {
		budget.mu.Lock()
		defer budget.mu.Unlock()
		return budget.ledger.requestBytes == 0 && len(budget.ledger.entries) == 0 && len(budget.ledger.addressBytes) == 0
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against a stalled request that keeps others out, and against one that is ended and gets
// no refusal, or another one.
func TestStalledBodyIsRefusedForOthers(t *testing.T) {
	_, address := serve(t, oneLargeRequest)
	stalled, stalledReader := dial(t, address)
	_, err := io.WriteString(stalled, largeHead+strings.Repeat("x", 1_999_999))
	require.NoError(t, err)
	for served := false; !served; { // until the first one counts as stalled
		conn, r := dial(t, address)
		go func() { _, _ = io.WriteString(conn, largeHead+strings.Repeat("x", 2_000_000)) }()
		response, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		served = response.StatusCode == http.StatusOK
		require.True(t, served || response.StatusCode == http.StatusServiceUnavailable, "status %d", response.StatusCode)
		_ = conn.Close()
	}
	requireResponse(t, stalledReader, http.StatusServiceUnavailable, "")
}

// Guards against refused heads that get another status than the pages say, or none.
func TestHeadsAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		requestBytes  int64
		fields, lines int
		status        int
	}{
		"over the limit": {1 << 20, 5000, 5, http.StatusRequestHeaderFieldsTooLarge},
		"no memory":      {32 << 10, 10, 100, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := serve(t, Limits{RequestBytes: c.requestBytes, LargeBytes: c.requestBytes, Connections: 10})
			conn, r := dial(t, address)
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n"+strings.Repeat("Ab: "+strings.Repeat("x", c.fields)+"\r\n", c.lines))
			require.NoError(t, err)
			response := requireResponse(t, r, c.status, "")
			require.Equal(t, c.status == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "")
			require.True(t, response.Close)
		})
	}
}

// Guards against new connections that are refused while idle ones stay.
func TestIdleConnectionIsClosedForANewOne(t *testing.T) {
	budget, address := serve(t, Limits{RequestBytes: 1 << 20, LargeBytes: 1 << 20, Connections: 2})
	for range 20 {
		conn, r := dial(t, address)
		_, err := io.WriteString(conn, ordinary)
		require.NoError(t, err)
		requireResponse(t, r, 200, "3")
		require.Eventually(t, func() bool { // the server learns of the end of a response after the client
			budget.mu.Lock()
			defer budget.mu.Unlock()
			return lo.EveryBy(lo.Keys(budget.ledger.entries), func(e *entry) bool { return e.phase == idle })
		}, 10*time.Second, time.Millisecond)
	}
}
