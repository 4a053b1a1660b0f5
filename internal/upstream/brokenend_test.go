package upstream_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsehead/headtest"
	"github.com/rattanscale/rattanscale/internal/upstream"
	"github.com/rattanscale/rattanscale/internal/upstream/engine"
	"github.com/rattanscale/rattanscale/internal/upstream/plain"
)

// brokenCalls is the number of calls for each kind of ending.
const brokenCalls = 5

// Guards against a part of a plain service's response that counts as the outcome of a call.
func TestBrokenEndOfACallIsNoOutcome(t *testing.T) {
	client := plain.New(plain.Settings{})
	t.Cleanup(client.Close)
	request := upstream.PlainRequest{RequestID: "r", IdempotencyKey: "k", Body: make([]byte, headtest.UploadBytes)}
	for name, end := range headtest.BrokenEndings() {
		t.Run(name, func(t *testing.T) {
			address := headtest.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\nboo", end)
			for range brokenCalls {
				_, err := client.Call(t.Context(), address, request)
				require.ErrorIs(t, err, upstream.ErrLost)
			}
		})
	}
	answer, err := client.Call(t.Context(), headtest.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\nbooked", headtest.EndInOrder), request)
	require.NoError(t, err)
	require.Equal(t, "booked", string(answer.Body))
}

// Guards against an order that counts as accepted although the engine's response broke off while the
// order was being sent.
func TestBrokenEndOfAnOrderIsNoOutcome(t *testing.T) {
	client := engine.New(engine.Settings{CallTimeout: 20 * time.Second})
	t.Cleanup(client.Close)
	order := upstream.Order{Model: strings.Repeat("m", headtest.UploadBytes)}
	for name, end := range headtest.BrokenEndings() {
		t.Run(name, func(t *testing.T) {
			address := headtest.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\n", end)
			for range brokenCalls {
				require.ErrorIs(t, client.Order(t.Context(), address, order), upstream.ErrLost)
			}
		})
	}
	require.NoError(t, client.Order(t.Context(), headtest.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\n", headtest.EndInOrder), order))
}
