package callerapi

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// Guards against a response that broke off and looks complete to the caller because the
// handler's panic was recovered, and against a panic that ends the process.
func TestBrokenResponsesDoNotLookComplete(t *testing.T) {
	s := &Server{Log: logr.Discard()}
	for name, c := range map[string]struct {
		value   any
		started bool
	}{
		"panic before the response":   {"fault", false},
		"panic within the response":   {"fault", true},
		"aborted within the response": {http.ErrAbortHandler, true},
		"aborted before the response": {http.ErrAbortHandler, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(s.recoverPanics(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.started {
					_, _ = io.WriteString(w, "first half ")
					_ = http.NewResponseController(w).Flush()
				}
				panic(c.value)
			})))
			defer server.Close()
			response, err := server.Client().Get(server.URL)
			if name == "panic before the response" {
				require.NoError(t, err)
				defer func() { _ = response.Body.Close() }()
				require.Equal(t, http.StatusInternalServerError, response.StatusCode)
				return
			}
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			require.Error(t, err, "the caller cannot tell that the response broke off")
		})
	}
}
