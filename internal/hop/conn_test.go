package hop

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against many hosts whose idle connections use up the connections that an upstream accepts.
func TestKeptConnectionsAreBounded(t *testing.T) {
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	arrived, together := make(chan struct{}, 6), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-together
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "answer")
	}))
	server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		if s == http.StateClosed {
			delete(open, c)
		} else {
			open[c] = true
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	pool := NewPool(idHeader, nil)
	t.Cleanup(pool.Close)
	var calls sync.WaitGroup
	for i := range 6 {
		calls.Go(func() {
			request := requestWithID(fmt.Sprint(i))
			request.MaxIdle = 2
			response, err := pool.Do(t.Context(), server.Listener.Addr().String(), request)
			if !assert.NoError(t, err) {
				return
			}
			body, err := io.ReadAll(response)
			assert.NoError(t, err)
			assert.Equal(t, "answer", string(body))
			response.Close()
		})
	}
	for range 6 {
		<-arrived
	}
	close(together)
	calls.Wait()
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(open) == 2
	}, 10*time.Second, time.Millisecond)
}
