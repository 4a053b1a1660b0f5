package hop

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsehead/headtest"
)

// uploadEarly sends a long request to an upstream that answers before it has read it.
func uploadEarly(t *testing.T, end func(net.Conn)) *Response {
	address := headtest.ServeEarly(t, "HTTP/1.1 503 Service Unavailable\r\nId: a\r\n\r\nbusy", end)
	pool := NewPool(idHeader, nil)
	t.Cleanup(pool.Close)
	request := requestWithID("a")
	request.Method, request.Body = http.MethodPost, make([]byte, headtest.UploadBytes)
	response, err := pool.Do(t.Context(), address, request)
	require.NoError(t, err)
	return response
}

// Guards against a request that goes to another upstream only once the one that refused it has read it.
func TestDrainDoesNotWaitForTheRequest(t *testing.T) {
	response := uploadEarly(t, func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
	})
	startedAt := time.Now()
	response.Drain()
	require.Less(t, time.Since(startedAt), time.Second)
}

// Guards against a part of a response that looks complete because its connection was reset while the
// request was written.
func TestBrokenEndIsNoEndOfABody(t *testing.T) {
	for name, end := range map[string]string{"reset": "reset after a while", "end and reset": "reset after its own end"} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				response := uploadEarly(t, headtest.BrokenEndings()[end])
				_, err := io.ReadAll(response)
				response.Close()
				require.Error(t, err)
			}
		})
	}
	response := uploadEarly(t, headtest.EndInOrder)
	defer response.Close()
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "busy", string(body))
}

// Guards against an early response that is cut because its upstream reads the request slowly: it may
// take longer than a stall as a whole, as long as it reads on.
func TestEarlyResponseOfASlowReaderIsWhole(t *testing.T) {
	t.Parallel()
	response := uploadEarly(t, func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		for {
			if _, err := io.CopyN(io.Discard, c, headtest.UploadBytes/50); err != nil {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
	defer response.Close()
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "busy", string(body))
}
