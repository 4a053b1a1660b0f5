package e2e

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsehead/headtest"
)

// brokenPlain is a plain service that sends the same bytes to all calls. Like all upstreams that are
// asked for their health, it answers that properly.
type brokenPlain struct {
	response atomic.Pointer[string]
	runs     atomic.Int32
}

func (b *brokenPlain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	b.runs.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	// The fields of the request are echoed, as by a plain service that answers properly.
	response := strings.ReplaceAll(*b.response.Load(), "{exchange}", r.Header.Get("X-Exchange-Id"))
	_, _ = io.WriteString(conn, response)
	if strings.Contains(response, "Length") || strings.Contains(response, "Encoding") {
		_, _ = io.Copy(io.Discard, conn) // kept open, so that nothing but the head can end the call
	}
}

// newBrokenPlainCluster starts one daemon in front of a plain service that sends the response.
func newBrokenPlainCluster(t *testing.T, response string) (*cluster, *brokenPlain) {
	plain := &brokenPlain{}
	plain.response.Store(&response)
	server := httptest.NewServer(plain)
	t.Cleanup(server.Close)
	c := newCluster(t, "praha-1")
	address := strings.TrimPrefix(server.URL, "http://")
	_, _, err := net.SplitHostPort(address)
	require.NoError(t, err)
	c.applyServiceText(fmt.Sprintf(`version: 1
data-centres: [praha-1]
pools:
  - {name: plain, kind: plain, data-centre: praha-1, limits: {cold-requests: 16, max-requests: 64}, upstreams: [{name: p1, address: "%s"}]}
services:
  - {name: booking, repeatable: false, deadline: 40s, versions: [{name: v1, pools: [plain], share: 100}]}
  - {name: lookup, repeatable: true, deadline: 40s, versions: [{name: v1, pools: [plain], share: 100}]}
accounts:
  - {name: guides, share: 1, max-queued: 100}
`, address))
	c.waitReady()
	return c, plain
}

// Guards against a broken response of a plain service that a daemon passes on, or records as the
// outcome of a call, and against a caller that learns only at its deadline that there is no answer.
func TestBrokenResponseIsNoOutcome(t *testing.T) {
	t.Parallel()
	proper := headtest.Proper("X-Exchange-Id: {exchange}\r\n", "booked")["length"]
	c, plain := newBrokenPlainCluster(t, proper)
	call := func(t *testing.T, service, key string) (int, string, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second) // a quarter of the deadline
		defer cancel()
		result, err := c.newClient(c.hosts[0]).Call(ctx, c.hosts[0].callerAddress, service, key, []byte("{}"))
		if err != nil {
			require.NoError(t, ctx.Err(), "the caller learns at once that there is no answer")
			return 0, "", err
		}
		return result.Status, string(result.Body), nil
	}
	c.eventually("the service is called", func() bool { _, body, err := call(t, "lookup", ""); return err == nil && body == "booked" })
	broken := headtest.Malformed("X-Exchange-Id: {exchange}\r\n", "booked")
	maps.Copy(broken, headtest.MalformedTrailers("X-Exchange-Id: {exchange}\r\n", "booked"))
	for _, name := range slices.Sorted(maps.Keys(broken)) {
		response := broken[name]
		plain.response.Store(&response)
		for _, service := range []string{"booking", "lookup"} {
			t.Run(name+", "+service, func(t *testing.T) {
				key := url.PathEscape(name)
				before := plain.runs.Load()
				status, body, err := call(t, service, key)
				require.Error(t, err, "status %d, body %q", status, body)
				runs := plain.runs.Load() - before
				if service == "booking" {
					require.EqualValues(t, 1, runs)
					_, _, err = call(t, service, key)
					require.Error(t, err, "no outcome has been recorded")
					require.EqualValues(t, 1, plain.runs.Load()-before, "the call does not run again")
				}
			})
		}
	}
	plain.response.Store(&proper)
	c.eventually("later calls are answered", func() bool { _, body, err := call(t, "booking", "later"); return err == nil && body == "booked" })
	c.requireRunning()
}
