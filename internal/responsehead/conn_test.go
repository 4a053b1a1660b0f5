package responsehead_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsehead"
	"github.com/rattanscale/rattanscale/internal/responsehead/headtest"
)

// properBody has lines that would be malformed in a head.
var properBody = strings.Repeat(" a line that begins with a blank\n", 10_000)

// startUpstream starts an upstream that sends the response that the path names, on connections that
// stay open. It returns its address and a client for it.
func startUpstream(t *testing.T, encrypted bool, responses map[string]string) (baseURL string, client *http.Client) {
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS() // only for its certificate
	t.Cleanup(server.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	transport := &http.Transport{TLSHandshakeTimeout: 10 * time.Second}
	baseURL = "http://" + listener.Addr().String()
	if encrypted {
		transport.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
		listener, baseURL = tls.NewListener(listener, server.TLS), "https://"+listener.Addr().String()
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c, responses)
		}
	}()
	client = &http.Client{Transport: responsehead.NewTransport(transport)}
	t.Cleanup(client.CloseIdleConnections)
	return baseURL, client
}

func serve(c net.Conn, responses map[string]string) {
	defer func() { _ = c.Close() }()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response, found := responses[strings.TrimPrefix(r.URL.Path, "/")]
		if !found {
			response = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(properBody), properBody)
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

// Guards against malformed heads that an http.Transport takes for responses, on new and on kept
// connections.
func TestTransportReturnsNoMalformedResponse(t *testing.T) {
	responses := headtest.Malformed("", "text")
	for _, encrypted := range []bool{false, true} {
		baseURL, client := startUpstream(t, encrypted, responses)
		for name := range responses {
			t.Run(fmt.Sprintf("%s, TLS %t", name, encrypted), func(t *testing.T) {
				for _, keep := range []bool{false, true} {
					if keep {
						requireProper(t, client, baseURL)
					} else {
						client.CloseIdleConnections()
					}
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					r, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/"+url.PathEscape(name), strings.NewReader("x"))
					require.NoError(t, err)
					response, err := client.Do(r)
					if err == nil {
						_ = response.Body.Close()
					}
					require.Error(t, err)
					require.NoError(t, ctx.Err(), "the head itself ends the call")
				}
			})
		}
	}
}

// Guards against a check that reaches beyond heads, or turns away proper responses.
func TestTransportReturnsProperResponses(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		baseURL, client := startUpstream(t, encrypted, nil)
		for range 3 {
			requireProper(t, client, baseURL)
		}
	}
}

func requireProper(t *testing.T, client *http.Client, baseURL string) {
	t.Helper()
	response, err := client.Get(baseURL + "/proper")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, properBody, string(body))
}

// Guards against a second response to a request that counts as the one to the next request on the
// connection, without a check of its head.
func TestSpareResponsesAreNoAnswers(t *testing.T) {
	log.SetOutput(io.Discard) // the library writes a line for each connection that it closes
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	const requests = 10_000
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, spare := range map[string]string{
		"malformed": "HTTP/1.1 000 OK\r\nX Note: 1\r\nContent-Length: 0\r\n\r\n",
		"proper":    "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := headtest.Serve(t, answer+spare, "")
			client := &http.Client{Transport: responsehead.NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
			answers := 0
			for range requests {
				response, err := client.Get("http://" + address)
				if err != nil {
					continue // the spare response came first
				}
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, "ok", string(body))
				answers++
			}
			require.Greater(t, answers, requests/2)
		})
	}
}
