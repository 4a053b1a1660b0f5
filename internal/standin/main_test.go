package standin

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// startSubcommand runs a subcommand and returns its base URL and a channel that
// receives its exit status.
func startSubcommand(t *testing.T, serve func(stdout io.Writer) int) (url string, status <-chan int) {
	reader, writer := io.Pipe()
	exited := make(chan int, 1)
	go func() {
		exited <- serve(writer)
		_ = writer.Close()
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	require.NoError(t, err)
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening addr=")
	require.True(t, ok, line)
	return "http://" + address, exited
}

// Guards against a subcommand that does not serve, does not accept faults or leaks
// goroutines.
func TestSubcommandsServeAndStop(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	for _, name := range []string{"engine", "plain", "table", "objects", "hostlist"} {
		ctx, cancel := context.WithCancel(t.Context())
		url, status := startSubcommand(t, func(stdout io.Writer) int {
			return run(ctx, []string{name, "-listen", "127.0.0.1:0"}, stdout, io.Discard)
		})
		for body, want := range map[string]int{
			`{"kind":"reset"}`: http.StatusNoContent, `{"kind":"freeze"}`: http.StatusNoContent,
			`{"kind":"unknown"}`: http.StatusBadRequest,
		} {
			response, err := http.Post(url+"/fault", "application/json", strings.NewReader(body))
			require.NoError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, want, response.StatusCode, name+body)
		}
		response, err := http.Get(url + "/stats")
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, http.StatusOK, response.StatusCode)
		cancel()
		assert.Zero(t, <-status, name)
	}
}

// Guards against a stand-in that ignores the signal by which the demo stops it.
func TestMainStopsOnSIGTERM(t *testing.T) {
	_, status := startSubcommand(t, func(stdout io.Writer) int {
		return Main([]string{"table"}, stdout, io.Discard)
	})
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.Zero(t, <-status)
}

// Guards against invalid arguments that are accepted without an error.
func TestInvalidArgumentsAreRejectedWithRemedy(t *testing.T) {
	var stderr bytes.Buffer
	for _, args := range [][]string{
		{"hostlist", "-hosts", "x"}, {"table", "extra"}, {"table", "-listen", "nowhere"}, {"unknown"}, {"engine", "-x"},
	} {
		assert.NotZero(t, run(t.Context(), args, io.Discard, &stderr), args)
	}
	assert.Equal(t, 3, strings.Count(stderr.String(), "remedy:"), stderr.String())
}
