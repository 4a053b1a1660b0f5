package ctl

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsebuffer"
	"github.com/rattanscale/rattanscale/internal/responsehead/headtest"
)

// serveRaw sends the first bytes to each request, and then the others again and again until the
// connection is closed. It returns the address.
func serveRaw(t *testing.T, first, endless string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				for _, err = io.WriteString(c, first); err == nil && endless != ""; {
					_, err = io.WriteString(c, endless)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a malformed response that an operator is shown as the state of a host.
func TestBrokenResponseIsAnError(t *testing.T) {
	for name, response := range headtest.Malformed("", `{"host":"h1"}`) {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			status := Main([]string{"where", "-addr", serveRaw(t, response, ""), "-host", "a", "-path", "/"}, &stdout, &stderr)
			require.Equal(t, 1, status, "%s", &stdout)
			require.NotEmpty(t, stderr.String())
		})
	}
}

// Guards against a command that keeps a response without end in memory.
func TestResponseWithoutEndIsAnError(t *testing.T) {
	address := serveRaw(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10))
	for _, args := range [][]string{{"status"}, {"timeline"}} {
		var stdout, stderr bytes.Buffer
		require.Equal(t, 1, Main(append(args, "-addr", address, "-key", "operator-key-0123"), &stdout, &stderr), "%v", args)
		require.Contains(t, stderr.String(), responsebuffer.ErrTooLong.Error())
	}
}
