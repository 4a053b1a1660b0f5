package storage

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// NewHTTPClient returns a client for a platform service with bounded set-up
// time and bounded idle connections.
func NewHTTPClient(dialTimeout time.Duration) *http.Client {
	const maxIdle = 16
	const idleTimeout = 30 * time.Second
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}}
}

// SendTracker tells whether any part of a request may have left this process. It is
// safe for concurrent use.
type SendTracker struct{ gotConnection atomic.Bool }

// WithTrace returns a context whose HTTP requests are watched.
func (s *SendTracker) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.gotConnection.Store(true) },
	})
}

// WriteError returns the error of a failed write: ErrUnavailable if no
// connection was made, which proves that nothing was written, else ErrOutcomeUnknown.
func (s *SendTracker) WriteError(err error) error {
	if s.gotConnection.Load() {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
