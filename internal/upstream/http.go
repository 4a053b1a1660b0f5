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
)

// URL returns the URL of a path at an upstream's address, which is IP:port or
// has a scheme.
func URL(address, path string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/") + path
	}
	return "http://" + address + path
}

// NewHTTPClient returns a client with bounded set-up time and bounded idle
// connections. It follows no redirect, because a redirected request could run
// on an upstream that the pool's owner did not choose.
func NewHTTPClient(dialTimeout time.Duration, idlePerHost int) *http.Client {
	const idleTimeout = 30 * time.Second
	const maxIdle = 1024
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConns:        maxIdle,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Sent tells whether any part of one request may have left this process. It is
// for requests that net/http repeats only if it wrote nothing: a POST without an
// Idempotency-Key, or on a connection of its own. It is safe for concurrent use.
type Sent struct{ connected atomic.Bool }

// Trace returns a context whose HTTP request is watched. A repetition starts
// without a connection again.
func (s *Sent) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { s.connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// Error wraps the transport's error in ErrNotSent if no connection was made, else in ErrLost.
func (s *Sent) Error(err error) error {
	if s.connected.Load() {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}
