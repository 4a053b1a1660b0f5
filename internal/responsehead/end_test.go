package responsehead_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsehead"
	"github.com/rattanscale/rattanscale/internal/responsehead/headtest"
)

const (
	unframed = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	// uploads is the number of requests for each kind of ending; how the kernel reports a reset
	// depends on whether the write or the read asks first.
	uploads = 20
)

// upload sends a long request and returns the body of the response.
func upload(t *testing.T, client *http.Client, baseURL string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL, bytes.NewReader(make([]byte, headtest.UploadBytes)))
	require.NoError(t, err)
	response, err := client.Do(r)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		var body []byte
		if body, err = io.ReadAll(response.Body); err == nil {
			return body, nil
		}
	}
	assert.NoError(t, ctx.Err(), "the end of the connection itself ends the call")
	return nil, err
}

// startEarly starts a server that answers before it has read the request. It returns its base URL and a
// client for it.
func startEarly(t *testing.T, encrypted bool, response string, end func(net.Conn)) (string, *http.Client) {
	transport := &http.Transport{}
	if !encrypted {
		address := headtest.ServeEarly(t, response, end)
		return "http://" + address, &http.Client{Transport: responsehead.NewTransport(transport)}
	}
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS() // only for its certificate
	t.Cleanup(server.Close)
	transport.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
	address := headtest.ServeEarlyTLS(t, server.TLS, response, end)
	return "https://" + address, &http.Client{Transport: responsehead.NewTransport(transport)}
}

// Guards against a part of a response without a length that looks complete, because the write of the
// request has taken the error of the connection.
func TestBrokenEndIsNoEndOfABody(t *testing.T) {
	for name, end := range headtest.BrokenEndings() {
		for _, encrypted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, TLS %t", name, encrypted), func(t *testing.T) {
				baseURL, client := startEarly(t, encrypted, unframed+"a part of the body", end)
				complete := 0
				for range uploads {
					if _, err := upload(t, client, baseURL); err == nil {
						complete++
					}
				}
				require.Zero(t, complete, "of %d", uploads)
			})
		}
	}
}

// Guards against the same without a race: the write has taken the error before anything is read. It may
// be one after the library has reported the end of the request.
func TestResetThatAWriteHasTakenIsNoEnd(t *testing.T) {
	for name, endRequest := range map[string]func(*responsehead.Conn){
		"before the end of the request": func(*responsehead.Conn) {},
		"after the end of the request":  func(c *responsehead.Conn) { c.EndRequest(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			address := headtest.ServeEarly(t, unframed+"a part of the body", headtest.BrokenEndings()["reset"])
			raw, err := net.Dial("tcp", address)
			require.NoError(t, err)
			c := responsehead.NewConn(raw, nil)
			t.Cleanup(func() { _ = c.Close() })
			c.BeginRequest()
			require.NoError(t, c.Begin(nil))
			endRequest(c)
			_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n")
			for err == nil {
				_, err = c.Write(make([]byte, 64<<10))
			}
			c.EndRequest(nil)
			read, readErr := io.ReadAll(c)
			require.Equal(t, unframed+"a part of the body", string(read))
			require.ErrorIs(t, readErr, syscall.ECONNRESET)
		})
	}
}

// Guards against an early response that is cut, or turned away, although it ended in order.
func TestEarlyResponseThatEndsInOrderIsComplete(t *testing.T) {
	framed := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(properBody))
	for name, head := range map[string]string{"without a length": unframed, "with a length": framed} {
		for _, encrypted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, TLS %t", name, encrypted), func(t *testing.T) {
				baseURL, client := startEarly(t, encrypted, head+properBody, headtest.EndInOrder)
				for range uploads {
					body, err := upload(t, client, baseURL)
					require.NoError(t, err)
					require.Equal(t, properBody, string(body))
				}
			})
		}
	}
}

// Guards against an early response that is cut because the upstream reads the request only later.
func TestRequestMayBeReadAfterTheEndOfItsResponse(t *testing.T) {
	t.Parallel()
	baseURL, client := startEarly(t, false, unframed+properBody, func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(time.Second)
		headtest.EndInOrder(c)
	})
	body, err := upload(t, client, baseURL)
	require.NoError(t, err)
	require.Equal(t, properBody, string(body))
}

// Guards against a caller that waits until its deadline for an upstream which has ended its response
// and reads no more of the request.
func TestEndWithoutReadingTheRequestIsBounded(t *testing.T) {
	t.Parallel()
	baseURL, client := startEarly(t, false, unframed+"a body", func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
	})
	_, err := upload(t, client, baseURL)
	require.Error(t, err)
}
