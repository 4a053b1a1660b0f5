package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

// pipeListener accepts the server ends of in-memory connections.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// timeUntilClosed waits until the server closes the connection and returns how long that took.
func timeUntilClosed(conn net.Conn) time.Duration {
	began := time.Now()
	_, _ = io.Copy(io.Discard, conn)
	return time.Since(began)
}

// Guards against idle and header time-outs that keep their values from the start of the process
// after the configuration has changed.
func TestIdleAndHeaderTimesFollowTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limits atomic.Pointer[catalog.Limits]
		limits.Store(&catalog.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
		accepted := make(pipeListener)
		server := &http.Server{
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
			ReadHeaderTimeout: time.Minute, IdleTimeout: time.Hour, ConnState: onConnState,
		}
		go func() { _ = server.Serve(callerListener{accepted, func() catalog.Limits { return *limits.Load() }}) }()
		defer func() { close(accepted); _ = server.Close() }()
		connect := func() net.Conn {
			client, remote := net.Pipe()
			accepted <- remote
			return client
		}
		sendRequest := func(conn net.Conn) {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNoContent, response.StatusCode)
		}

		silent := connect()
		require.Equal(t, 3*time.Second, timeUntilClosed(silent), "no header")

		kept := connect()
		sendRequest(kept)
		time.Sleep(15*time.Second - time.Millisecond)
		sendRequest(kept)
		require.Equal(t, 15*time.Second+idleGrace, timeUntilClosed(kept), "idle")

		slow := connect()
		sendRequest(slow)
		time.Sleep(10 * time.Second)
		_, err := io.WriteString(slow, "GET / HTTP/1.1\r\n")
		require.NoError(t, err)
		require.Equal(t, 3*time.Second, timeUntilClosed(slow), "half a header on a kept connection")

		changed := connect()
		sendRequest(changed)
		limits.Store(&catalog.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 2 * time.Second})
		sendRequest(changed)
		require.Equal(t, 2*time.Second+idleGrace, timeUntilClosed(changed), "after a new configuration")
	})
}
