package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against writing a request whose permission expired while it waited for a
// connection, on a new connection and on a reused one.
func TestSendCheckRunsBeforeFirstWrite(t *testing.T) {
	for name, newServer := range map[string]func(http.Handler) *httptest.Server{
		"plain": httptest.NewServer, "tls": httptest.NewTLSServer,
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int32
			server := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				served.Add(1)
				w.Header().Set(HeaderExchange, r.Header.Get(HeaderExchange))
				_, _ = io.Copy(w, r.Body)
			}))
			t.Cleanup(server.Close)
			client := NewHTTPClient(time.Second, 4)
			t.Cleanup(client.CloseIdleConnections)
			if certificates := server.Client().Transport.(*http.Transport).TLSClientConfig; certificates != nil {
				client.Transport.(*Transport).TLSClientConfig = certificates
			}
			errEnded := errors.New("permission ended")
			post := func(check func() error) error {
				var sent SendTracker
				ctx := sent.WithTrace(WithSendCheck(context.Background(), check))
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", 100_000)))
				require.NoError(t, err)
				response, err := client.Do(request)
				if err != nil {
					return sent.ClassifyError(err)
				}
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				return response.Body.Close()
			}
			for range 2 { // the second round may reuse an idle connection
				err := post(func() error { return errEnded })
				require.ErrorIs(t, err, ErrNotSent)
				require.ErrorIs(t, err, errEnded)
				require.Zero(t, served.Swap(0))
				checks := 0
				require.NoError(t, post(func() error { checks++; return nil }))
				require.Equal(t, 1, checks)
				require.EqualValues(t, 1, served.Swap(0))
			}
		})
	}
}
