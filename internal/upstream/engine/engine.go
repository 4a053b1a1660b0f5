// Package engine implements upstream.Engine over HTTP: completions with server-sent
// events in the format of the OpenAI API, and the engine-specific calls to resume and
// cancel requests, to read load reports and cache events, and to send orders.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

const (
	maxResponseBytes = 4 << 20
	maxErrorBytes    = 4 << 10
)

// Settings configures a Client. Zero values select the defaults.
type Settings struct {
	// TokenTimeout bounds the wait for the response and for each token of a stream (default 5 s).
	TokenTimeout time.Duration
	// CallTimeout bounds each call that opens no stream (default 2 s).
	CallTimeout time.Duration
	// DialTimeout bounds connecting to an engine (default 500 ms).
	DialTimeout time.Duration
	// IdlePerHost is the maximum number of idle connections to one engine (default 16).
	IdlePerHost int
	// Credentials maps upstream addresses to bearer keys for orders.
	Credentials map[string]string
	// HTTP replaces the default HTTP client in tests.
	HTTP *http.Client
}

func (s *Settings) setDefaults() {
	setDefault(&s.TokenTimeout, 5*time.Second)
	setDefault(&s.CallTimeout, 2*time.Second)
	setDefault(&s.DialTimeout, 500*time.Millisecond)
	setDefault(&s.IdlePerHost, 16)
	if s.HTTP == nil {
		s.HTTP = upstream.NewHTTPClient(s.DialTimeout, s.IdlePerHost)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Client implements upstream.Engine. It is safe for concurrent use. Call Close to
// release its idle connections; streams are closed separately.
type Client struct {
	settings Settings
}

var _ upstream.Engine = (*Client)(nil)

func New(settings Settings) *Client {
	settings.setDefaults()
	return &Client{settings: settings}
}

func (c *Client) Close() { c.settings.HTTP.CloseIdleConnections() }

type completionRequest struct {
	upstream.GenerateRequest
	Stream bool `json:"stream"`
}

// Generate starts a generation. The context bounds the whole stream. ErrNotSent and
// *RefusedError prove that the request did not run; after ErrLost it may have run.
func (c *Client) Generate(
	ctx context.Context, address string, request upstream.GenerateRequest,
) (upstream.TokenStream, error) {
	return c.openStream(ctx, address, "/v1/completions", completionRequest{request, true}, "", 0)
}

type resumeRequest struct {
	RequestID  string `json:"request_id"`
	Generation string `json:"generation"`
	Offset     int    `json:"offset"`
}

// Resume continues the generation at the offset. It returns ErrUnknownGeneration if the
// engine no longer holds the generation.
func (c *Client) Resume(
	ctx context.Context, address, requestID, generation string, offset int,
) (upstream.TokenStream, error) {
	s, err := c.openStream(ctx, address, "/v1/resume", resumeRequest{requestID, generation, offset}, generation, offset)
	var refused *upstream.RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil, upstream.ErrUnknownGeneration
	}
	return s, err
}

// openStream posts the body and returns the token stream of the response.
func (c *Client) openStream(
	ctx context.Context, address, path string, body any, generation string, offset int,
) (upstream.TokenStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stream{cancel: cancel, tokenTimeout: c.settings.TokenTimeout}
	s.silenceTimer = time.AfterFunc(s.tokenTimeout, func() { cancel(errTokenTimeout) })
	response, err := c.send(ctx, http.MethodPost, address, path, body, "")
	s.silenceTimer.Stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	s.body = response.Body
	s.ctx = ctx
	s.parser = newParser(response.Body, generation, offset)
	return s, nil
}

// Cancel cancels the request at the engine. It succeeds if the engine does not know the
// request.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	return c.call(ctx, http.MethodPost, address, "/v1/cancel", struct {
		RequestID string `json:"request_id"`
	}{requestID}, "", nil)
}

func (c *Client) ReadLoadReport(ctx context.Context, address string) (upstream.Report, error) {
	var report upstream.Report
	err := c.call(ctx, http.MethodGet, address, "/v1/load", nil, "", &report)
	return report, err
}

// CacheEvents returns the events with a sequence number above after. Events arrive late
// and some are missing.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]upstream.CacheEvent, error) {
	var response struct {
		Events []upstream.CacheEvent `json:"events"`
	}
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	err := c.call(ctx, http.MethodGet, address, "/v1/cache-events?"+query.Encode(), nil, "", &response)
	return response.Events, err
}

// Order sends an order with its fencing token, authenticated by the order's credential
// or, if it has none, by that of the address. It returns ErrStaleOrder if the engine
// refuses the token as old.
func (c *Client) Order(ctx context.Context, address string, order upstream.Order) error {
	key := order.Credential
	if key == "" {
		key = c.settings.Credentials[address]
	}
	err := c.call(ctx, http.MethodPost, address, "/v1/orders", order, key, nil)
	var refused *upstream.RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		return upstream.ErrStaleOrder
	}
	return err
}

// call sends one request within CallTimeout and decodes the response into result, unless
// that is nil.
func (c *Client) call(ctx context.Context, method, address, path string, body any, key string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	response, err := c.send(ctx, method, address, path, body, key)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", upstream.ErrLost, err)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	return nil
}

// send sends one request. If it returns no error, the response has a 2xx status and the
// caller must close its body.
func (c *Client) send(
	ctx context.Context, method, address, path string, body any, key string,
) (*http.Response, error) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
		}
		payload = bytes.NewReader(data)
	}
	var tracker upstream.SendTracker
	request, err := http.NewRequestWithContext(tracker.WithTrace(ctx), method, upstream.URL(address, path), payload)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := c.settings.HTTP.Do(request)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, tracker.ClassifyError(err)
	}
	return checkStatus(response)
}

// checkStatus returns the response if its status is 2xx. Otherwise it closes the body and
// returns a *RefusedError for status 4xx and 503, which engines send before they start a
// generation, and ErrLost for any other status.
func checkStatus(response *http.Response) (*http.Response, error) {
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	_ = response.Body.Close()
	if response.StatusCode/100 == 4 || response.StatusCode == http.StatusServiceUnavailable {
		return nil, &upstream.RefusedError{Status: response.StatusCode, Message: strings.TrimSpace(string(message))}
	}
	return nil, fmt.Errorf("%w: status %d: %s", upstream.ErrLost, response.StatusCode, message)
}
