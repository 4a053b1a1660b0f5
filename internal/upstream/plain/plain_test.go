package plain_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/standin"
	"github.com/rattanscale/rattanscale/internal/upstream"
	"github.com/rattanscale/rattanscale/internal/upstream/plain"
)

// Guards against a call that runs twice, and against an error that proves "not run" for
// a call that ran.
func TestCallRunsAtMostOnce(t *testing.T) {
	service := standin.NewPlain(0)
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	client := plain.New(plain.Settings{})
	defer client.Close()
	address := server.Listener.Addr().String()
	call := func(key string) (upstream.PlainResponse, error) {
		request := upstream.PlainRequest{RequestID: "r-" + key, IdempotencyKey: key, Body: []byte("two bottles")}
		return client.Call(t.Context(), address, request)
	}
	require.NoError(t, client.Healthy(t.Context(), address))

	answer, err := call("k1")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.Status)
	assert.Equal(t, "two bottles", string(answer.Body))

	service.SetFault(standin.Fault{Kind: standin.FaultRefuse})
	_, err = call("k2")
	var refused *upstream.RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, http.StatusServiceUnavailable, refused.Status)

	service.SetFault(standin.Fault{Kind: standin.FaultNone})
	service.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer})
	_, err = call("k3")
	require.ErrorIs(t, err, upstream.ErrLost)
	assert.Equal(t, map[string]int{"k1": 1, "k3": 1}, service.Stats().RunsByKey)

	_, err = client.Call(t.Context(), "127.0.0.1:1", upstream.PlainRequest{IdempotencyKey: "k4"})
	assert.ErrorIs(t, err, upstream.ErrNotSent)
}

// Guards against a retry by net/http of a call with an idempotency key on an idle
// connection that the service closes without a response.
func TestCallIsNotRepeatedOnABrokenConnection(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	client := plain.New(plain.Settings{})
	defer client.Close()
	for i, body := range [][]byte{nil, []byte("x"), nil} {
		request := upstream.PlainRequest{IdempotencyKey: "k", Body: body}
		_, err := client.Call(t.Context(), server.Listener.Addr().String(), request)
		assert.Equal(t, i == 0, err == nil)
	}
	assert.EqualValues(t, 3, requests.Load())
}

// Guards against a call to an unresponsive service that stays open after its context ended.
func TestCallEndsWithItsContext(t *testing.T) {
	service := standin.NewPlain(0)
	ctx, giveUp := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		giveUp()
		service.Handler().ServeHTTP(w, r)
	}))
	defer server.Close()
	client := plain.New(plain.Settings{})
	defer client.Close()
	service.SetFault(standin.Fault{Kind: standin.FaultFreeze})
	_, err := client.Call(ctx, server.Listener.Addr().String(), upstream.PlainRequest{})
	assert.ErrorIs(t, err, context.Canceled)
	assert.ErrorIs(t, err, upstream.ErrLost)
	assert.Zero(t, service.Stats().Runs)
}
