package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a late second response, whole or broken off, that is taken for the response to the
// next request on the connection: it arrives after that request was sent.
func TestLateResponseIsNotThatOfTheNextRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Note: full\r\nX-Exchange-Id: %s\r\nContent-Length: 0\r\n\r\n"
	for name, length := range map[string]int{"whole": len(refusal), "in the status line": 20, "in a field": 45} {
		for _, echoes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, echoes %t", name, echoes), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer func() { _ = listener.Close() }()
				serve := func(c net.Conn) {
					defer func() { _ = c.Close() }()
					reader, earlier := bufio.NewReader(c), ""
					for {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						id := r.Header.Get(HeaderExchange)
						if !echoes {
							id = ""
						}
						if earlier != "" || !echoes && r.URL.Path == "/second" && !r.Close {
							late := refusal[:min(length, len(refusal))]
							if strings.Contains(late, "%s") {
								late = fmt.Sprintf(late, earlier)
							}
							_, _ = io.WriteString(c, late)
						}
						earlier = id
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Exchange-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
					}
				}
				go func() {
					for {
						c, err := listener.Accept()
						if err != nil {
							return
						}
						go serve(c)
					}
				}()
				client := NewHTTPClient(time.Second, 4)
				defer client.CloseIdleConnections()
				for _, path := range []string{"/first", "/second", "/third", "/fourth"} {
					response, err := client.Get("http://" + listener.Addr().String() + path)
					if err != nil {
						continue // the outcome is unknown, which is no wrong answer
					}
					require.Equal(t, http.StatusOK, response.StatusCode, path)
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		}
	}
}
