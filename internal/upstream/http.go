package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rattanscale/rattanscale/internal/responsehead"
)

// URL returns the URL of a path at an upstream. The address is IP:port, or a URL
// with a scheme.
func URL(address, path string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/") + path
	}
	return "http://" + address + path
}

// NewHTTPClient returns a client whose connections run the check of WithSendCheck and whose transport
// is a Transport.
// dialTimeout bounds connecting and the TLS handshake, each on its own. The client
// follows no redirects, because a redirected request could run on an upstream that
// the pool's owner did not choose.
func NewHTTPClient(dialTimeout time.Duration, maxIdlePerHost int) *http.Client {
	const idleTimeout = 30 * time.Second
	const maxIdle = 1024
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Client{
		Transport: &Transport{echoing: make(map[string]bool), Transport: responsehead.NewTransport(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &checkedConn{Conn: conn}, nil
			},
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConns:        maxIdle,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		})},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

type sendCheckKey struct{}

// WithSendCheck returns a context whose requests are sent only if check returns nil
// right before their first byte is written. A permission that was checked earlier
// may expire while the request waits for a connection or the process is paused.
func WithSendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// checkedConn is a connection that runs a check before the first write of each request.
type checkedConn struct {
	net.Conn
	beforeWrite atomic.Pointer[func() error]
}

func (c *checkedConn) Write(p []byte) (int, error) {
	if check := c.beforeWrite.Swap(nil); check != nil {
		if err := (*check)(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// checkedConnOf returns conn, or the connection below its TLS layer, if it is a
// checkedConn, else nil.
func checkedConnOf(conn net.Conn) *checkedConn {
	for {
		if checked, ok := conn.(*checkedConn); ok {
			return checked
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
}

// SendTracker records whether any part of one request may have left this process. It is
// valid only for requests that net/http never retries after it wrote a part of them: a
// POST without an Idempotency-Key, or one on a connection that is not reused. It is safe
// for concurrent use.
type SendTracker struct {
	connected  atomic.Bool
	checkError atomic.Pointer[error] // error of the check given to WithSendCheck
}

// WithTrace returns a context whose HTTP request the tracker observes. A retry by net/http
// counts as not connected until it gets a connection.
func (s *SendTracker) WithTrace(ctx context.Context) context.Context {
	check, _ := ctx.Value(sendCheckKey{}).(func() error)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { s.connected.Store(false) },
		GotConn: func(info httptrace.GotConnInfo) {
			s.connected.Store(true)
			conn := checkedConnOf(info.Conn)
			if check == nil || conn == nil {
				return
			}
			checkAndRecord := func() error {
				err := check()
				if err != nil {
					s.checkError.Store(&err)
				}
				return err
			}
			conn.beforeWrite.Store(&checkAndRecord)
		},
	})
}

// ClassifyError wraps an error of the transport in ErrNotSent if the request got no
// connection or the check before its first write failed, else in ErrLost.
func (s *SendTracker) ClassifyError(err error) error {
	if refusal := s.checkError.Load(); refusal != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, *refusal)
	}
	if s.connected.Load() {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}
