package ctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that an operator cannot read, and against a wrong address that looks like
// an empty answer.
func TestWhereCommand(t *testing.T) {
	answer := `{"host":"h1","data-centre":"a","route":"r","services":[{"service":"s","part":0.9,"priority":"1","planned":true,"leaving":{"b":0.2},` +
		`"usable":1,"all":2,"upstreams":[{"id":"i-1","data-centre":"a","chosen":1,"cost":0.5,"parts":{"load":0.5}},{"id":"i-2","excluded":"it leaves"}]}]}`
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.String()
		_, _ = w.Write([]byte(answer))
	}))
	defer server.Close()
	run := func(args ...string) (int, string, string) {
		var stdout, stderr bytes.Buffer
		status := Main(append([]string{"where", "-addr", strings.TrimPrefix(server.URL, "http://")}, args...), &stdout, &stderr)
		return status, stdout.String(), stderr.String()
	}
	status, out, _ := run("-host", "a.example", "-path", "/p/1", "-prompt", "3000")
	require.Zero(t, status)
	for _, part := range []string{"service s, 90% of the route's requests, priority 1", "1 of 2 upstreams", "20% to b", "i-1", "100%", "it leaves"} {
		require.Contains(t, out, part)
	}
	require.Contains(t, asked, "path=%2Fp%2F1")
	require.Contains(t, asked, "prompt=3000")
	status, out, _ = run("-host", "a", "-path", "/", "-output", "json")
	require.Zero(t, status)
	require.Contains(t, out, `"excluded": "it leaves"`)

	answer = "# TYPE process_cpu_seconds_total counter"
	status, _, message := run("-host", "a", "-path", "/")
	require.Equal(t, 1, status)
	require.Contains(t, message, "metrics address")
	status, _, _ = run("-host", "a")
	require.Equal(t, 2, status)
}
