package ctl

import (
	"bytes"
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
