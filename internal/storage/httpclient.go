package storage

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rattanscale/rattanscale/internal/responsehead"
)

// NewHTTPClient returns an HTTP client for a platform service. dialTimeout limits the
// dial and the TLS handshake, each by itself; idle connections are limited too.
func NewHTTPClient(dialTimeout time.Duration) *http.Client {
	const maxIdle = 16
	const idleTimeout = 30 * time.Second
	return &http.Client{Transport: responsehead.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	})}
}

// SendTracker records whether any part of a request may have been sent. It is safe for
// concurrent use.
type SendTracker struct{ gotConnection atomic.Bool }

// WithTrace returns a context whose HTTP requests the tracker observes.
func (s *SendTracker) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.gotConnection.Store(true) },
	})
}

// ClassifyError wraps the error of a failed write: with ErrUnavailable if the request got
// no connection, which proves that nothing was written, else with ErrOutcomeUnknown.
func (s *SendTracker) ClassifyError(err error) error {
	if s.gotConnection.Load() {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
