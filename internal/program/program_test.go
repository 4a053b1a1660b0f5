package program

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that starts with invalid arguments or settings, and against
// log lines that are not written to standard output.
func TestExitStatusAndOutput(t *testing.T) {
	errRun := errors.New("address in use")
	echoProgram := Program[string]{
		Name: "rattan",
		Load: func(path string) (string, error) {
			if path == "bad" {
				return "", errors.New("bad:1: host.name")
			}
			return path, nil
		},
		Host: func(s string) string { return "host-" + s },
		Run: func(_ context.Context, s string, e Environment) error {
			e.Log.Info("ran", "file", e.SettingsFile)
			if s == "fails" {
				return errRun
			}
			return nil
		},
	}
	for _, c := range []struct {
		args           []string
		status         int
		stdout, stderr string
	}{
		{[]string{}, exitUsage, "", "usage: rattan -config FILE"},
		{[]string{"-config", "good", "more"}, exitUsage, "", "usage: "},
		{[]string{"-unknown"}, exitUsage, "", "not defined"},
		{[]string{"-config", "bad"}, exitUsage, "", "bad:1: host.name"},
		{[]string{"-config", "good", "-check"}, exitOK, "settings are valid", ""},
		{[]string{"-config", "good"}, exitOK, "msg=ran host=host-good file=good", ""},
		{[]string{"-config", "fails"}, exitFailure, `level=ERROR msg="program failed"`, ""},
	} {
		var stdout, stderr bytes.Buffer
		require.Equal(t, c.status, echoProgram.Main(c.args, &stdout, &stderr), "%v", c.args)
		require.Contains(t, stdout.String(), c.stdout, "%v", c.args)
		require.Contains(t, stderr.String(), c.stderr, "%v", c.args)
		require.Equal(t, c.stderr == "", stderr.Len() == 0, "%v: %s", c.args, &stderr)
	}
}

// Guards against a SIGHUP that ends a process while it starts or drains, when no code
// that reloads settings handles the signal. That would interrupt running streams.
func TestSIGHUPDoesNotEndProcess(t *testing.T) {
	sendHangup := func() {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(100 * time.Millisecond)
	}
	p := Program[int]{
		Name: "test",
		Load: func(string) (int, error) { return 0, nil },
		Host: func(int) string { return "h" },
		Run: func(context.Context, int, Environment) error {
			sendHangup()
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			sendHangup()
			require.Len(t, reload, 1)
			signal.Stop(reload)
			sendHangup()
			return nil
		},
	}
	require.Zero(t, p.Main([]string{"-config", "any"}, io.Discard, io.Discard))
}
