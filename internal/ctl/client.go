package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/operatorapi"
	"github.com/rattanscale/rattanscale/internal/responsebuffer"
	"github.com/rattanscale/rattanscale/internal/responsehead"
)

const (
	// requestTimeout bounds one request to the operator API, except watch.
	requestTimeout = 10 * time.Second
	// outcomePollInterval is the time between requests for the outcome of a change.
	outcomePollInterval = 200 * time.Millisecond
	// maxResponseBytes bounds a response of the operator API. The longest ones hold a service text
	// and the state of all hosts.
	maxResponseBytes = 64 << 20
)

// client holds the flags of all commands that send requests to a host.
type client struct {
	*environment
	address          string
	key              string
	caFile           string
	outputFormat     string
	expectedRevision uint64
	waitForOutcome   bool
	waitTimeout      time.Duration
	// connections is nil until the first request.
	connections http.RoundTripper
}

func (c *client) registerReadFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "addr", os.Getenv("RATTAN_ADDR"), "operator address of a host, IP:port (or RATTAN_ADDR)")
	f.StringVar(&c.key, "key", os.Getenv("RATTAN_KEY"), "operator key (or RATTAN_KEY)")
	f.StringVar(&c.caFile, "ca", os.Getenv("RATTAN_CA"), "file with trust roots; uses TLS (or RATTAN_CA)")
	f.StringVar(&c.outputFormat, "output", "text", "text or json")
}

func (c *client) registerChangeFlags(f *flag.FlagSet) {
	c.registerReadFlags(f)
	f.Uint64Var(&c.expectedRevision, "expect", 0, "revision that the change was made on; 0 means the current one")
	f.BoolVar(&c.waitForOutcome, "wait", false, "wait for the outcome: in force, finished or undone")
	f.DurationVar(&c.waitTimeout, "timeout", time.Minute, "longest wait")
}

func (c *client) url(path string) string {
	scheme := "http"
	if c.caFile != "" {
		scheme = "https"
	}
	return scheme + "://" + c.address + path
}

// transport returns the transport of all requests of the command.
func (c *client) transport() (http.RoundTripper, error) {
	if c.connections == nil {
		settings, err := c.transportSettings()
		if err != nil {
			return nil, err
		}
		c.connections = responsehead.NewTransport(settings)
	}
	return c.connections, nil
}

func (c *client) transportSettings() (*http.Transport, error) {
	if c.caFile == "" {
		return &http.Transport{Proxy: http.ProxyFromEnvironment}, nil
	}
	pem, err := os.ReadFile(c.caFile)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", c.caFile)
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}, nil
}

// send sends a request to the operator API and returns the response, whose body the
// caller must close. A response with an error status becomes an error.
func (c *client) send(ctx context.Context, method, path, contentType string, body []byte) (*http.Response, error) {
	if c.address == "" {
		return nil, errors.New("no host address given; use -addr IP:port or set RATTAN_ADDR")
	}
	if c.outputFormat != "text" && c.outputFormat != "json" {
		return nil, fmt.Errorf("invalid -output %q; use text or json", c.outputFormat)
	}
	transport, err := c.transport()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer func() { _ = response.Body.Close() }()
		return nil, responseError(response)
	}
	return response, nil
}

// responseError returns the typed failure in an error response, or else its status and
// text.
func responseError(response *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	var body failure.Body
	if json.Unmarshal(data, &body) == nil && body.Error.Kind != "" {
		return fmt.Errorf("%s: %s\nremedy: %s", body.Error.Kind, body.Error.Message, body.Error.Remedy)
	}
	return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(data)))
}

// getJSON decodes the JSON response of a GET request into out and returns its bytes.
func (c *client) getJSON(ctx context.Context, path string, out any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodGet, path, "", nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readBody(response)
	if err != nil {
		return nil, err
	}
	return data, json.Unmarshal(data, out)
}

func readBody(response *http.Response) ([]byte, error) {
	data, release, err := responsebuffer.New(maxResponseBytes, maxResponseBytes).Read(response.Body)
	defer release()
	return data, err
}

// submitChange sends a change and prints its identifier and outcome. With -wait it first
// waits for the outcome.
func (c *client) submitChange(ctx context.Context, method, path, contentType string, body []byte) subcommands.ExitStatus {
	if c.expectedRevision > 0 {
		path += fmt.Sprintf("?expect=%d", c.expectedRevision)
	}
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := c.send(requestCtx, method, path, contentType, body)
	if err != nil {
		return c.reportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readBody(response)
	if err != nil {
		return c.reportError(err)
	}
	var result operatorapi.ChangeResult
	if err := json.Unmarshal(data, &result); err != nil {
		return c.reportError(err)
	}
	if c.waitForOutcome {
		if result, err = c.awaitOutcome(ctx, result); err != nil {
			return c.reportError(err)
		}
	}
	c.printResult(result)
	if c.waitForOutcome && (result.Outcome == operatorapi.OutcomePending || result.Outcome == operatorapi.OutcomeUndone) {
		return exitNotInForce
	}
	return subcommands.ExitSuccess
}

// awaitOutcome polls the outcome of a change until it is no longer pending. When
// waitTimeout ends first, it returns the pending result without an error.
func (c *client) awaitOutcome(ctx context.Context, result operatorapi.ChangeResult) (operatorapi.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.waitTimeout)
	defer cancel()
	for result.Outcome == operatorapi.OutcomePending {
		select {
		case <-ctx.Done():
			return result, nil
		case <-time.After(outcomePollInterval):
		}
		var next operatorapi.ChangeResult
		if _, err := c.getJSON(ctx, "/v1/changes/"+result.ID, &next); err != nil {
			if ctx.Err() != nil {
				return result, nil
			}
			return result, err
		}
		result = next
	}
	return result, nil
}

func (c *client) printResult(r operatorapi.ChangeResult) {
	if c.outputFormat == "json" {
		c.printJSON(r)
		return
	}
	_, _ = fmt.Fprintf(c.stdout, "change=%s revision=%d outcome=%s", r.ID, r.Revision, r.Outcome)
	if r.Reason != "" {
		_, _ = fmt.Fprintf(c.stdout, " reason=%q", r.Reason)
	}
	_, _ = fmt.Fprintln(c.stdout)
}

func (c *client) printJSON(value any) {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

func (c *client) reportError(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(c.stderr, "rattanctl:", err)
	return subcommands.ExitFailure
}

func (c *client) usageError(format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(c.stderr, "rattanctl: "+format+"\n", args...)
	return subcommands.ExitUsageError
}
