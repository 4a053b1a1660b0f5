package e2e

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/callerclient"
	"github.com/rattanscale/rattanscale/internal/ctl"
	"github.com/rattanscale/rattanscale/internal/daemon"
	"github.com/rattanscale/rattanscale/internal/tlsconf/tlstest"
)

// Guards against a recorded trace that cannot be replayed.
func TestRecordedTraceReplays(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "recorded.jsonl")
	c := newClusterWithSettings(t, func(*host) string { return "trace-file: " + file + "\n" }, "praha-1")
	c.startEngine("praha-1-e1")
	c.applyServiceText(c.serviceText(warmLimits))
	c.waitReady()
	client := c.newClient(c.hosts[0])
	for range 3 {
		c.generate(client, "restart", 50)
	}
	c.eventually("the requests are in the trace", func() bool {
		data, err := os.ReadFile(file)
		return err == nil && bytes.Count(data, []byte(`"kind":"arrival"`)) == 3
	})
	var out bytes.Buffer
	require.Zero(t, ctl.Main([]string{"replay", "-seeds", "1", file}, &out, &out), out.String())
	require.Contains(t, out.String(), "rattanscale")
}

// Guards against listeners for callers, operators or peers that accept plain HTTP when
// TLS is configured.
func TestTLSForCallersOperatorsAndPeers(t *testing.T) {
	cert, key := tlstest.WriteCertificate(t, t.TempDir(), 1)
	c := newClusterWithSettings(t, func(*host) string {
		return fmt.Sprintf("tls: {cert: %s, key: %s, ca: %s}\n", cert, key, cert)
	}, "praha-1", "praha-2")
	t.Setenv("RATTAN_CA", cert)
	c.startEngine("praha-1-e1")
	c.applyServiceText(c.serviceText(warmLimits))
	c.waitReady()
	pemData, err := os.ReadFile(cert)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(pemData))
	client := &callerclient.Client{
		SeedAddresses: []string{c.hosts[1].callerAddress}, Key: accountKey, Scheme: "https",
		HTTP: &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}},
	}
	c.generate(client, "restart", 50)
	for _, address := range []string{c.hosts[0].callerAddress, c.hosts[0].operatorAddress, c.hosts[0].peerAddress} {
		response, err := http.Get("http://" + address + "/healthz")
		if err == nil { // a TLS server answers plain HTTP with status 400
			require.Equal(t, http.StatusBadRequest, response.StatusCode, address)
			require.NoError(t, response.Body.Close())
		}
	}
}

// Guards against invalid input that causes a panic, starts work, or gets an error without
// a kind and a remedy.
func TestBadInputGetsATypedError(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "praha-1")
	c.startEngine("praha-1-e1")
	c.applyServiceText(c.serviceText(warmLimits))
	c.waitReady()
	base := "http://" + c.hosts[0].callerAddress
	for _, test := range []struct {
		name, method, path, key, contentType, body string
		header                                     http.Header
		status                                     int
		kind                                       string
	}{
		{name: "no key", method: "POST", path: "/v1/services/restart/generate", status: 401, kind: "unauthenticated"},
		{name: "wrong key", method: "POST", path: "/v1/services/restart/generate", key: "nonsense", status: 401, kind: "unauthenticated"},
		{name: "unknown service", method: "POST", path: "/v1/services/none/generate", key: accountKey, status: 404, kind: "unknown-service"},
		{name: "no JSON", method: "POST", path: "/v1/services/restart/generate", key: accountKey, contentType: "application/json", body: "{", status: 400, kind: "invalid-request"},
		{name: "two values", method: "POST", path: "/v1/services/restart/generate", key: accountKey, contentType: "application/json", body: `{"prompt":"a"}{}`, status: 400, kind: "invalid-request"},
		{name: "unknown field", method: "POST", path: "/v1/services/restart/generate", key: accountKey, contentType: "application/json", body: `{"prompt":"a","x":1}`, status: 400, kind: "invalid-request"},
		{name: "wrong type", method: "POST", path: "/v1/services/restart/generate", key: accountKey, contentType: "text/plain", body: `{"prompt":"a"}`, status: 400, kind: "invalid-request"},
		{name: "empty prompt", method: "POST", path: "/v1/services/restart/generate", key: accountKey, contentType: "application/json", body: `{}`, status: 400, kind: "invalid-request"},
		{name: "negative limit", method: "POST", path: "/v1/services/restart/generate", key: accountKey, contentType: "application/json", body: `{"prompt":"a","max_tokens":-1}`, status: 400, kind: "invalid-request"},
		{name: "large body", method: "POST", path: "/v1/services/restart/generate", key: accountKey, contentType: "application/json", body: strings.Repeat("a", 2<<20), status: 413, kind: "body-too-large"},
		{name: "no resume token", method: "GET", path: "/v1/streams/r1", key: accountKey, status: 400, kind: "invalid-resume-token"},
		{name: "forged token", method: "GET", path: "/v1/streams/r1", key: accountKey, header: http.Header{"Resume-Token": {strings.Repeat("A", 200)}}, status: 400, kind: "invalid-resume-token"},
		{name: "other request", method: "GET", path: "/v1/requests/r1", key: accountKey, status: 404, kind: "not-found"},
		{name: "unknown path", method: "DELETE", path: "/v1/nothing", key: accountKey, status: 404, kind: "not-found"},
	} {
		request, err := http.NewRequest(test.method, base+test.path, strings.NewReader(test.body))
		require.NoError(t, err)
		if test.header != nil {
			request.Header = test.header
		}
		if test.key != "" {
			request.Header.Set("Authorization", "Bearer "+test.key)
		}
		request.Header.Set("Content-Type", test.contentType)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err, test.name)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err, test.name)
		require.NoError(t, response.Body.Close())
		require.Equal(t, test.status, response.StatusCode, "%s: %s", test.name, body)
		require.Contains(t, string(body), `"kind":"`+test.kind+`"`, test.name)
		require.Contains(t, string(body), `"remedy":"`, test.name)
		if test.kind != "not-found" {
			require.Contains(t, string(body), `"not_run":true`, test.name)
		}
	}
	require.NotContains(t, c.hosts[0].output.String(), "panic")
}

// Guards against an invalid service text that changes the configuration, and against
// errors without line number and remedy.
func TestInvalidServiceTextChangesNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "praha-1")
	c.startEngine("praha-1-e1")
	c.applyServiceText(c.serviceText(warmLimits))
	before, _ := c.status(c.hosts[0])
	file := filepath.Join(c.dir, "bad.yaml")
	bad := strings.Replace(c.serviceText(warmLimits), "delivery: whole", "delivery: maybe", 1)
	require.NoError(t, os.WriteFile(file, []byte(bad), 0o600))
	out, code := c.runCtl(c.hosts[0], "validate", file)
	require.Equal(t, 2, code)
	require.Regexp(t, `bad\.yaml:\d+: .*maybe.*remedy: `, out)

	request, err := http.NewRequest(http.MethodPut, "http://"+c.hosts[0].operatorAddress+"/v1/text", strings.NewReader(bad))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	request.Header.Set("Content-Type", "application/yaml")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusUnprocessableEntity, response.StatusCode, string(body))
	require.Contains(t, string(body), "invalid-service-text")
	after, _ := c.status(c.hosts[0])
	require.Equal(t, before.Configuration, after.Configuration)
}

// Guards against a settings check that stops at the first error.
func TestCheckReportsAllSettingsErrors(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "s.yaml")
	require.NoError(t, os.WriteFile(file, []byte("host: {name: h1}\nlisten: {caller: x}\n"), 0o600))
	var out bytes.Buffer
	require.Equal(t, 2, daemon.Main([]string{"-config", file, "-check"}, &out, &out))
	for _, want := range []string{"host.data-centre", "listen.caller", "listen.operator", "keys", "platform.table"} {
		require.Contains(t, out.String(), want)
	}
}
