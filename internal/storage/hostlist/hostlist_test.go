package hostlist

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsehead/headtest"
	"github.com/rattanscale/rattanscale/internal/storage"
)

// Guards against a malformed response that is taken for a list of hosts.
func TestBrokenResponseIsNoHostList(t *testing.T) {
	const list = `[{"name":"h1","address":"192.0.2.1:7000"}]`
	for name, response := range headtest.Malformed("", list) {
		t.Run(name, func(t *testing.T) {
			hosts, err := New(serveRaw(t, response)).Hosts(t.Context())
			require.ErrorIs(t, err, storage.ErrUnavailable)
			require.Empty(t, hosts)
		})
	}
	hosts, err := New(serveRaw(t, headtest.Proper("", list)["length"])).Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, []storage.ListedHost{{Name: "h1", Address: "192.0.2.1:7000"}}, hosts)
}

// serveRaw sends the bytes to one request and leaves the connection open. It returns the base URL.
func serveRaw(t *testing.T, response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if _, err := io.WriteString(c, response); err == nil {
			_ = c.SetReadDeadline(time.Now().Add(3 * callTimeout))
			_, _ = io.Copy(io.Discard, c)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return "http://" + listener.Addr().String()
}
