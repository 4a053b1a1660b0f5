//go:build hostile

package hostile

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	platformstandin "github.com/rattanscale/rattanscale/platform/standin"
)

const (
	// endlessCallers send endlessRounds requests each to an upstream that answers without end.
	endlessCallers, endlessRounds = 100, 5
	callerTimeout                 = 5 * time.Second
	// storeCalls is the number of calls that the store answers without end.
	storeCalls = 20
	// unfinishedCallers wait at once for responses that stop short of a bound; a machine of
	// *machineMemoryMB takes about as many connections. Each needs two descriptors.
	unfinishedCallers, unfinishedDescriptors = 600, 1400

	// endlessConfiguration has, beside what frontendConfiguration has, routes to a service whose
	// engine answers without end.
	endlessConfiguration = `{"version":1,"routes":[
{"name":"u","hostname":"rides.example","prefix":"/unsafe/","routeType":"unsafe","timeoutMs":60000,"targetLatencyMs":1000,"service":"orders","maxAttempts":1},
{"name":"p","hostname":"rides.example","prefix":"/plain/","routeType":"unsafe","timeoutMs":60000,"targetLatencyMs":1000,"service":"notes","maxAttempts":1},
{"name":"s","hostname":"rides.example","prefix":"/stream/","routeType":"stream","timeoutMs":60000,"targetLatencyMs":1000,"targetItlMs":200,"service":"notes","maxAttempts":1}],
"services":[{"name":"orders"},{"name":"notes","engine":{"batchSlots":1000,"kvCapacityTokens":30000000,"kvTokenBytes":1,"bandwidthMbps":1000,"stride":4}}],
"limits":{"maxBodyBytes":4194304,"maxHeaderBytes":16384,"headerTimeoutMs":30000,"idleTimeoutMs":60000},
"tenants":[{"name":"guides","apiKeys":["` + accountKey + `"]}]}`
)

// endlessResponses are what the engine sends first and what it then repeats, by the place of the
// bytes without end. The fields of the first part are added to its first line.
var endlessResponses = map[string][2]string{
	"odd field lines":      {"HTTP/1.1 200 OK\r\n", "a:1\r\n"},
	"long field lines":     {"HTTP/1.1 200 OK\r\n", "a: " + strings.Repeat("x", 1000) + "\r\n"},
	"one field line":       {"HTTP/1.1 200 OK\r\na: ", "x"},
	"one field name":       {"HTTP/1.1 200 OK\r\n", "x"},
	"one continued line":   {"HTTP/1.1 200 OK\r\na: b\r\n", " c\r\n"},
	"reason":               {"HTTP/1.1 200 ", "x"},
	"no head":              {"", "\x00\xff"},
	"informational heads":  {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	"body without length":  {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"body of great length": {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	"chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	"chunks of one byte":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"chunk extension":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailer":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
	"body of a failure":    {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
	"blank lines":          {"HTTP/1.1 200 OK\r\n\r\n", "\n"},
	"events":               {"HTTP/1.1 200 OK\r\n\r\n", "data: x\n\n"},
	"comments":             {"HTTP/1.1 200 OK\r\n\r\n", ": x\n\n"},
}

// callEndlessly sends a request to the route and reads at most a part of the response. No two requests
// are alike, since one that fails again and again is refused.
func callEndlessly(address, route, id string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+route+"/a", strings.NewReader(id))
	if err != nil {
		return
	}
	r.Host = "rides.example"
	r.Header.Set("Authorization", "Bearer "+accountKey)
	r.Header.Set("X-Attempt-Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	if response, err := client.Do(r); err == nil {
		_, _ = io.CopyN(io.Discard, response.Body, 1<<20)
		_ = response.Body.Close()
	}
}

// requireOutlives lets many callers at once do what call does, several times, and checks the process
// meanwhile and afterwards.
func requireOutlives(t *testing.T, target target, callerCount, rounds int, call func(caller, round int)) {
	t.Helper()
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() {
			for round := range rounds {
				call(i, round)
			}
		})
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	descriptors := 0
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(10 * time.Millisecond):
		}
		descriptors = max(descriptors, target.descriptors())
	}
	require.True(t, target.lives(), "the process has ended")
	eventually(t, "an ordinary request is answered afterwards", target.ordinary)
	memory := target.peakMemoryMB()
	t.Logf("peak memory %d MB, %d descriptors", memory, descriptors)
	assert.LessOrEqual(t, memory, *machineMemoryMB, "peak memory in MB")
}

// startFrontendBeside starts a front end with an engine that sends the parts of responses.
func startFrontendBeside(t *testing.T, response [2]string, keepOpen bool, descriptors int) target {
	store := platformstandin.StartStore()
	t.Cleanup(store.Close)
	engine := platformstandin.StartEngine(&platformstandin.Journal{}, "engine-2", 0, 0)
	t.Cleanup(engine.Close)
	start, rest, _ := strings.Cut(response[0], "\r\n")
	engine.SetRawResponse(&platformstandin.RawResponse{KeepOpen: keepOpen, Endless: response[1], Bytes: func(run platformstandin.Run) string {
		if rest == "" {
			return start
		}
		return fmt.Sprintf("%s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n%s", start, run.ID, rest)
	}})
	store.Put("op", "config", endlessConfiguration)
	store.Put("servers", "engine-2", fmt.Sprintf(
		`{"service":"notes","address":%q,"zone":"praha-1","version":"v1","batchSlots":1000,"phase":"ready","sequence":1}`, engine.Address))
	target, _ := startFrontendWith(t, store, fmt.Sprintf("%s=%d", descriptorsEnv, descriptors))
	return target
}

// Guards against an engine that ends a front end, and with it the requests of other callers, by a
// response without end.
func TestFrontendOutlivesEndlessResponses(t *testing.T) {
	for name, response := range endlessResponses {
		for _, route := range []string{"plain", "stream"} {
			t.Run(name+", "+route, func(t *testing.T) {
				target := startFrontendBeside(t, response, false, *machineDescriptors)
				requireOutlives(t, target, cmp.Or(*clientCount, endlessCallers), endlessRounds, func(caller, round int) {
					callEndlessly(target.address, route, fmt.Sprintf("endless-%d-%d", caller, round))
				})
			})
		}
	}
}

// Guards against an engine that ends a front end by responses that stop short of a bound and stay
// open, all at once.
func TestFrontendOutlivesUnfinishedResponses(t *testing.T) {
	const properHead = "HTTP/1.1 200 OK\r\n\r\n"
	descriptors := max(*machineDescriptors, unfinishedDescriptors)
	for name, response := range map[string]string{
		"head of long lines": "HTTP/1.1 200 OK\r\n" + strings.Repeat("a: "+strings.Repeat("x", 995)+"\r\n", 31),
		"head of odd lines":  "HTTP/1.1 200 OK\r\n" + oddFields(250*fieldBytes),
		"one field line":     "HTTP/1.1 200 OK\r\na: " + strings.Repeat("x", 31<<10),
		"event":              properHead + "data: " + strings.Repeat("x", 63<<10),
		"body":               properHead + strings.Repeat("x", 900<<10),
		"short body":         properHead + strings.Repeat("x", 31<<10),
	} {
		for _, route := range []string{"plain", "stream"} {
			t.Run(name+", "+route, func(t *testing.T) {
				target := startFrontendBeside(t, [2]string{response, ""}, true, descriptors)
				requireOutlives(t, target, cmp.Or(*clientCount, unfinishedCallers), 1, func(caller, round int) {
					callEndlessly(target.address, route, fmt.Sprintf("unfinished-%d-%d", caller, round))
				})
			})
		}
	}
}

// startEndlessPlain starts a plain service that answers its health properly and calls without end.
// It returns its address.
func startEndlessPlain(t *testing.T, response [2]string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		block := strings.Repeat(response[1], (64<<10)/len(response[1]))
		for _, err = io.WriteString(conn, response[0]); err == nil; {
			_, err = io.WriteString(conn, block)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a plain service that ends a daemon, and with it the requests of other callers, by a
// response without end.
func TestDaemonOutlivesEndlessResponses(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			address := startEndlessPlain(t, response)
			extras := daemonExtras{
				pools:    fmt.Sprintf("  - {name: plain, kind: plain, data-centre: praha-1, limits: {cold-requests: 64, max-requests: 64}, upstreams: [{name: p1, address: %q}]}\n", address),
				services: "  - {name: lookup, repeatable: true, deadline: 30s, versions: [{name: v1, pools: [plain], share: 100}]}\n",
			}
			caller, _ := startDaemonWith(t, extras, "http", descriptorLimit())
			requireOutlives(t, caller, cmp.Or(*clientCount, endlessCallers), endlessRounds, func(int, int) {
				succeeds(http.MethodPost, "http://"+caller.address+"/v1/services/lookup/call", "{}",
					map[string]string{"Authorization": "Bearer " + accountKey, "Content-Type": "application/json"})
			})
		})
	}
}

// Guards against a store that ends a front end by responses without end. The front end goes on with
// what it knows.
func TestFrontendOutlivesEndlessResponsesOfTheStore(t *testing.T) {
	for name, fault := range map[string]platformstandin.StoreFault{
		"head": platformstandin.StoreEndlessHead, "body": platformstandin.StoreEndlessBody,
	} {
		t.Run(name, func(t *testing.T) {
			store := platformstandin.StartStore()
			t.Cleanup(store.Close)
			store.Put("op", "config", frontendConfiguration)
			target, _ := startFrontendWith(t, store, descriptorLimit())
			store.SetFault(fault)
			calls := store.CallCount()
			eventually(t, "the front end calls the store", func() bool { return store.CallCount() >= calls+storeCalls })
			requireOutlives(t, target, endlessCallers, 1, func(int, int) { target.ordinary() })
		})
	}
}
