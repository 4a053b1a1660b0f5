package headtest

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// UploadBytes is the length of a request of which a part cannot be written before the other side reads.
const UploadBytes = 8 << 20

// BrokenEndings are ways to end a connection on which a response without a length has been sent
// before its request was read. After each of them the response is not complete.
func BrokenEndings() map[string]func(net.Conn) {
	return map[string]func(net.Conn){
		"reset":                        reset,
		"reset after a while":          func(c net.Conn) { time.Sleep(resetDelay); reset(c) },
		"closed with bytes to be read": func(c net.Conn) { _ = c.Close() },
		"reset after its own end":      func(c net.Conn) { closeWrite(c); time.Sleep(resetDelay); reset(c) },
	}
}

// resetDelay lets the other side read the response before the connection is reset.
const resetDelay = 20 * time.Millisecond

func reset(c net.Conn) {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// EndInOrder ends the sending direction, reads what the other side sends until it closes the
// connection, and closes it too. A response without a length is then complete.
func EndInOrder(c net.Conn) {
	closeWrite(c)
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

func closeWrite(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// ServeEarly starts a server that sends the response to each request once it has read the head, and
// then ends the connection. It returns the address.
func ServeEarly(t testing.TB, response string, end func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serveEarly(t, listener, response, end)
	return listener.Addr().String()
}

// ServeEarlyTLS is ServeEarly over TLS.
func ServeEarlyTLS(t testing.TB, settings *tls.Config, response string, end func(net.Conn)) string {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", settings)
	require.NoError(t, err)
	serveEarly(t, listener, response, end)
	return listener.Addr().String()
}

func serveEarly(t testing.TB, listener net.Listener, response string, end func(net.Conn)) {
	handleEach(t, listener, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if _, err := io.WriteString(c, response); err == nil {
			end(c)
		}
	})
}
