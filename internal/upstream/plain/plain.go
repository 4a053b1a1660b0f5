// Package plain implements upstream.Plain over HTTP.
package plain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rattanscale/rattanscale/internal/responsebuffer"
	"github.com/rattanscale/rattanscale/internal/responsehead"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

const (
	maxResponseBytes = 16 << 20
	// maxRefusalBytes is the part of a refusal that is read for its message.
	maxRefusalBytes = 4 << 10
	healthTimeout   = time.Second
)

// Settings configures a Client. Zero values select the defaults.
type Settings struct {
	// DialTimeout bounds connecting to a service (default 500 ms).
	DialTimeout time.Duration
	// IdlePerHost is the maximum number of idle connections to one service (default 16).
	IdlePerHost int
	// ResponseBytes is the room that all responses together may take, at least what one of them
	// may.
	ResponseBytes int64
}

// Client implements upstream.Plain. It is safe for concurrent use. Call Close to
// release its idle connections.
type Client struct {
	responses *responsebuffer.Buffer
	pooled    *http.Client
	// unpooled opens a new connection for each call with an Idempotency-Key. On a reused
	// connection net/http retries such a call when the connection breaks, although the
	// service may already have run it.
	unpooled *http.Client
}

var _ upstream.Plain = (*Client)(nil)

func New(settings Settings) *Client {
	if settings.DialTimeout == 0 {
		settings.DialTimeout = 500 * time.Millisecond
	}
	if settings.IdlePerHost == 0 {
		settings.IdlePerHost = 16
	}
	c := &Client{
		responses: responsebuffer.New(maxResponseBytes, max(settings.ResponseBytes, maxResponseBytes)),
		pooled:    upstream.NewHTTPClient(settings.DialTimeout, settings.IdlePerHost),
		unpooled:  upstream.NewHTTPClient(settings.DialTimeout, settings.IdlePerHost),
	}
	c.unpooled.Transport.(*upstream.Transport).DisableKeepAlives = true
	return c
}

func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Call posts the body once. Status 429 and 503 give *RefusedError. Every other status
// is returned as a response, because the call may have run. The context bounds the call.
func (c *Client) Call(
	ctx context.Context, address string, request upstream.PlainRequest,
) (upstream.PlainResponse, error) {
	var tracker upstream.SendTracker
	r, err := newRequest(tracker.WithTrace(ctx), address, request)
	if err != nil {
		return upstream.PlainResponse{}, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	response, err := c.clientFor(request).Do(r)
	if err != nil {
		return upstream.PlainResponse{}, tracker.ClassifyError(err)
	}
	return c.readResponse(response)
}

func (c *Client) clientFor(request upstream.PlainRequest) *http.Client {
	if request.IdempotencyKey != "" {
		return c.unpooled
	}
	return c.pooled
}

func newRequest(ctx context.Context, address string, request upstream.PlainRequest) (*http.Request, error) {
	r, err := http.NewRequestWithContext(
		ctx, http.MethodPost, upstream.URL(address, "/"), bytes.NewReader(request.Body),
	)
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Request-Id", request.RequestID)
	if request.ContentType != "" {
		r.Header.Set("Content-Type", request.ContentType)
	}
	if request.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	return r, nil
}

func (c *Client) readResponse(response *http.Response) (upstream.PlainResponse, error) {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable {
		// The status alone is the refusal; an error leaves the message short.
		message, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
		return upstream.PlainResponse{}, &upstream.RefusedError{
			Status: response.StatusCode, Message: strings.TrimSpace(string(message)),
		}
	}
	body, release, err := c.responses.Read(response.Body)
	if err == nil {
		err = responsehead.CheckTrailer(response.Trailer)
	}
	if err != nil {
		release()
		return upstream.PlainResponse{}, fmt.Errorf("%w: %w", upstream.ErrLost, err)
	}
	return upstream.PlainResponse{Status: response.StatusCode, Header: response.Header, Body: body, Release: release}, nil
}

// Healthy returns nil if the service responds to GET /healthz with status 200.
func (c *Client) Healthy(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, upstream.URL(address, "/healthz"), nil)
	if err != nil {
		return err
	}
	response, err := c.pooled.Do(r)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("health check returned status %d, not 200", response.StatusCode)
	}
	return nil
}
