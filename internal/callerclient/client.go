// Package callerclient is a client of the caller API. It fetches the list of hosts,
// follows handovers and resumes broken streams. It checks that the tokens of an answer
// are complete, in order and from one generation.
package callerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/callerapi"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/responsebuffer"
	"github.com/rattanscale/rattanscale/internal/stream"
)

const (
	// maxResumeAttempts times resumeRetryInterval covers the time for which an engine
	// keeps a generation whose stream has broken.
	maxResumeAttempts   = 20
	resumeRetryInterval = 100 * time.Millisecond
	hostListTimeout     = 2 * time.Second
)

// ErrIncomplete reports an answer with tokens that are missing, repeated or from another
// generation.
var ErrIncomplete = errors.New("answer is not complete")

// Client sends requests to hosts. Set its fields before the first use; afterwards it is
// safe for concurrent use.
type Client struct {
	// SeedAddresses are the caller addresses of hosts that are asked for the host list, in
	// order.
	SeedAddresses []string
	Key           string
	DataCentre    string
	HTTP          *http.Client
	// Scheme is http or https.
	Scheme string
}

type Request struct {
	Service       string
	Prompt        string
	MaxTokens     int
	AcceptRestart bool
	// Address, if set, is tried before the hosts that Hosts returns.
	Address string
	// OnToken, if set, is called with each token as it arrives. After a restart the
	// tokens begin again with the first.
	OnToken func(text string)
}

// Answer holds the tokens of a generation and how they arrived. It is complete only if
// Generate returned no error.
type Answer struct {
	RequestID  string
	Generation string
	Tokens     []string
	Restarts   int
	Resumes    int
	// TimeToFirstToken is measured from the sending of the request that a host accepted.
	TimeToFirstToken time.Duration
	// TokenIntervals holds the times between consecutive tokens.
	TokenIntervals []time.Duration
}

// Hosts returns the host list of the first seed address that returns a non-empty one.
func (c *Client) Hosts(ctx context.Context) ([]callerapi.Host, error) {
	var lastErr error
	for _, seed := range c.SeedAddresses {
		hostList, err := c.fetchHosts(ctx, seed)
		if err == nil && len(hostList.Hosts) > 0 {
			return hostList.Hosts, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no host returned a host list: %w", lastErr)
}

func (c *Client) fetchHosts(ctx context.Context, address string) (callerapi.HostsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	var hostList callerapi.HostsResponse
	response, err := c.send(ctx, http.MethodGet, address, "/v1/hosts?data-centre="+c.DataCentre, nil, nil)
	if err != nil {
		return hostList, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readBody(response)
	if err != nil {
		return hostList, err
	}
	return hostList, json.Unmarshal(data, &hostList)
}

// maxResponseBytes bounds a response that is read whole; hosts pass on at most 16 MiB.
const maxResponseBytes = 32 << 20

func readBody(response *http.Response) ([]byte, error) {
	data, release, err := responsebuffer.New(maxResponseBytes, maxResponseBytes).Read(response.Body)
	defer release()
	return data, err
}

func (c *Client) send(ctx context.Context, method, address, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.Scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer func() { _ = response.Body.Close() }()
		return nil, readRefusal(response)
	}
	return response, nil
}

// Refusal is a typed failure that a host returned, as an error response or as the error
// event of a stream.
type Refusal struct{ failure.BodyError }

// Error returns the kind, the message and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (remedy: %s)", r.Kind, r.Message, r.Remedy)
}

func readRefusal(response *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	var body failure.Body
	if json.Unmarshal(data, &body) != nil || body.Error.Kind == "" {
		return fmt.Errorf("status %d without a typed failure: %.200s", response.StatusCode, data)
	}
	return &Refusal{body.Error}
}

// Generate sends a request and collects its answer. If a host cannot be reached, or
// refuses the request because of its own state, Generate tries the next known host. A
// host that a refusal names is added to the known hosts, each of which is tried once. On
// an error the answer may be nil or hold the tokens received so far.
func (c *Client) Generate(ctx context.Context, request Request) (*Answer, error) {
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(hosts)+1)
	if request.Address != "" {
		addresses = append(addresses, request.Address)
	}
	for _, h := range hosts {
		addresses = append(addresses, h.Address)
	}
	body, err := json.Marshal(map[string]any{"prompt": request.Prompt, "max_tokens": request.MaxTokens})
	if err != nil {
		return nil, err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if request.AcceptRestart {
		header.Set("Accept-Restart", "1")
	}
	for i := 0; i < len(addresses); i++ {
		sentAt := time.Now()
		response, sendErr := c.send(ctx, http.MethodPost, addresses[i], "/v1/services/"+request.Service+"/generate", header, body)
		if sendErr == nil {
			r := &streamReader{client: c, request: request, address: addresses[i], sentAt: sentAt, hostAddresses: addresses}
			r.answer.RequestID = response.Header.Get("X-Request-Id")
			return r.readAnswer(ctx, response)
		}
		err = sendErr
		if next := suggestedHost(sendErr); next != "" && !slices.Contains(addresses, next) {
			addresses = append(addresses, next)
		}
		if !mayTryOtherHost(sendErr) {
			break
		}
	}
	return nil, err
}

// suggestedHost returns the address of the host that a refusal names, or "".
func suggestedHost(err error) string {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Host
	}
	return ""
}

// mayTryOtherHost reports whether the generation may be sent to another host: the host
// gave no typed failure, or refused the request because of its own state and states that
// the request did not run.
func mayTryOtherHost(err error) bool {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		return true // no response; generate requests are always repeatable
	}
	switch refusal.Kind {
	case failure.Draining, failure.Isolated, failure.NotReady:
		return refusal.NotRun
	}
	return false
}

// CallResult is the response of a plain service, which returns one response body instead
// of a token stream.
type CallResult struct {
	RequestID string
	Status    int
	Body      []byte
	Replayed  bool
}

// Call sends a call of a plain service to the address. It never sends the call again.
func (c *Client) Call(ctx context.Context, address, service, key string, body []byte) (*CallResult, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	response, err := c.send(ctx, http.MethodPost, address, "/v1/services/"+service+"/call", header, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readBody(response)
	return &CallResult{
		RequestID: response.Header.Get("X-Request-Id"), Status: response.StatusCode, Body: data,
		Replayed: response.Header.Get("Idempotency-Replayed") == "true",
	}, err
}

// resume opens a connection to the address that continues the stream after the event
// lastEventID.
func (c *Client) resume(ctx context.Context, address string, start stream.StartData, lastEventID string) (*http.Response, error) {
	header := http.Header{"Resume-Token": {start.ResumeToken}}
	if lastEventID != "" {
		header.Set("Last-Event-ID", lastEventID)
	}
	return c.send(ctx, http.MethodGet, address, "/v1/streams/"+start.Request, header, nil)
}
