package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sampleLog = `time=2026-12-04T10:00:00Z level=INFO msg=draining host=h1 active=1
not a line of ours
time=2026-12-04T10:00:02.9Z level=INFO msg="request ended" host=h1 request=r1 outcome=refused status=503 ms=0 reason="the host is stopping"
time=2026-12-04T10:00:03Z level=INFO msg="request ended" host=h1 request=r2 outcome="caller gone" status=0 ms=2000 reason="the caller closed its connection"
`

func run(t *testing.T, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	status = Main(args, &out, &errs)
	return status, out.String(), errs.String()
}

// Guards against exit statuses and outputs of explain that scripts cannot rely on.
func TestExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "h1.log")
	require.NoError(t, os.WriteFile(file, []byte(sampleLog), 0o600))
	status, out, errs := run(t, "explain", "r1", file)
	assert.Zero(t, status)
	assert.Contains(t, out, "likely cause (host-stopping)")
	assert.Contains(t, out, "begun to drain 2.9s before")
	assert.Contains(t, errs, "1 lines of other programs")

	status, out, _ = run(t, "explain", "-output", "json", "r1", file)
	assert.Zero(t, status)
	var parsed struct {
		Result struct{ Cause struct{ Kind string } }
		Lines  int
	}
	require.NoError(t, json.Unmarshal([]byte(out), &parsed))
	assert.Equal(t, "host-stopping", parsed.Result.Cause.Kind)
	assert.Equal(t, 4, parsed.Lines)

	status, out, _ = run(t, "explain", "-window", "1s,", file)
	assert.Zero(t, status)
	assert.Contains(t, out, "2 requests without an answer")
	status, out, _ = run(t, "explain", "-window", ",2026-12-04T10:00:02.95Z", file)
	assert.Zero(t, status)
	assert.Contains(t, out, "1 requests without an answer")

	status, out, _ = run(t, "explain", "absent", file)
	assert.Equal(t, 1, status)
	assert.Contains(t, out, "no line has this request")
	status, _, errs = run(t, "explain", "r1", file, file+".missing")
	assert.Equal(t, 1, status)
	assert.Contains(t, errs, "missing")
	for _, args := range [][]string{{"explain"}, {"explain", "-output", "xml", "r1"}, {"explain", "-window", "yesterday", file}} {
		status, _, errs = run(t, args...)
		assert.Equal(t, 2, status, args)
		assert.NotEmpty(t, errs)
	}
}
