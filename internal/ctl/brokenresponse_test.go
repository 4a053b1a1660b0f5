package ctl

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsebuffer"
	"github.com/rattanscale/rattanscale/internal/responsehead/headtest"
)

// Guards against a malformed response that an operator is shown as the state of a host.
func TestBrokenResponseIsAnError(t *testing.T) {
	for name, response := range headtest.Malformed("", `{"host":"h1"}`) {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			status := Main([]string{"where", "-addr", headtest.Serve(t, response, ""), "-host", "a", "-path", "/"}, &stdout, &stderr)
			require.Equal(t, 1, status, "%s", &stdout)
			require.NotEmpty(t, stderr.String())
		})
	}
}

// Guards against a command that keeps a response without end in memory.
func TestResponseWithoutEndIsAnError(t *testing.T) {
	address := headtest.Serve(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10))
	for _, args := range [][]string{{"status"}, {"timeline"}} {
		var stdout, stderr bytes.Buffer
		require.Equal(t, 1, Main(append(args, "-addr", address, "-key", "operator-key-0123"), &stdout, &stderr), "%v", args)
		require.Contains(t, stderr.String(), responsebuffer.ErrTooLong.Error())
	}
}

// Guards against a part of a response that an operator is shown as the result of a call.
func TestBrokenEndIsAnError(t *testing.T) {
	call := func(t *testing.T, end func(net.Conn)) (int, string) {
		host := headtest.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\npart of a body", end)
		list := fmt.Sprintf(`{"hosts":[{"name":"h1","address":%q}]}`, host)
		seed := headtest.Serve(t, headtest.Proper("", list)["length"], "")
		var stdout, stderr bytes.Buffer
		status := Main([]string{"request", "call", "-addr", seed, "-key", "caller-key-01234", "booking", strings.Repeat("x", headtest.UploadBytes)}, &stdout, &stderr)
		return status, stdout.String()
	}
	for name, end := range headtest.BrokenEndings() {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				status, output := call(t, end)
				require.Equal(t, 1, status, output)
			}
		})
	}
	status, output := call(t, headtest.EndInOrder)
	require.Zero(t, status)
	require.Contains(t, output, "part of a body")
}
