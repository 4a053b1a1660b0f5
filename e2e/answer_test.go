package e2e

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/callerclient"
	"github.com/rattanscale/rattanscale/internal/permit"
)

// requireCompleteAnswer requires that the answer holds each token of one generation exactly
// once and in order.
func requireCompleteAnswer(t *testing.T, answer *callerclient.Answer, tokens int) {
	t.Helper()
	require.Len(t, answer.Tokens, tokens)
	for i, text := range answer.Tokens {
		require.Equal(t, fmt.Sprintf("%s-%d ", answer.Generation, i), text)
	}
}

// requestResult is the outcome of one request.
type requestResult struct {
	service string
	prompt  string
	tokens  int
	answer  *callerclient.Answer
	err     error
}

// refusal returns the typed failure that the host returned, or nil.
func (r requestResult) refusal() *callerclient.Refusal {
	var refusal *callerclient.Refusal
	if errors.As(r.err, &refusal) {
		return refusal
	}
	return nil
}

// sendGeneration sends one generate request to the host. Stopping a load does not cancel it.
func (c *cluster) sendGeneration(client *callerclient.Client, h *host, service, prompt string, tokens int) requestResult {
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	answer, err := client.Generate(ctx, callerclient.Request{Service: service, Prompt: prompt, AcceptRestart: true, Address: h.callerAddress})
	if err != nil {
		time.Sleep(50 * time.Millisecond) // limits the rate of retries after a refusal
	}
	return requestResult{service: service, prompt: prompt, tokens: tokens, answer: answer, err: err}
}

// waitForCapacity waits until every host reports free capacity for the number of requests
// at an upstream.
func (c *cluster) waitForCapacity(upstream string, requests int) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("free capacity for %d requests at %s", requests, upstream), func() bool {
		for _, h := range c.hosts {
			s, ok := c.status(h)
			if !ok || !slices.ContainsFunc(s.Observed.Pools, func(p permit.PoolStatus) bool {
				return slices.ContainsFunc(p.Upstreams, func(u permit.UpstreamStatus) bool {
					return u.Name == upstream && u.Reachable && u.Limit-u.Running >= requests
				})
			}) {
				return false
			}
		}
		return true
	})
}
