package capacity

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/auth"
	"github.com/rattanscale/rattanscale/internal/callerapi"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/relay"
	"github.com/rattanscale/rattanscale/internal/stream"
	"github.com/rattanscale/rattanscale/internal/upstream/engine"
)

// grantingMembers is a view in which this daemon has every role and may always send
// and grant.
type grantingMembers struct{}

func (grantingMembers) MemberInRole(string, permit.Role) (string, string, bool) {
	return "h", "h", true
}
func (grantingMembers) Self() string                                  { return "h" }
func (grantingMembers) MaySend(time.Time) error                       { return nil }
func (grantingMembers) MayGrant(time.Time, string, permit.Role) error { return nil }

// grantingCaller is an owner that grants every request and keeps no state.
type grantingCaller struct {
	mu   sync.Mutex
	next uint64
}

func (c *grantingCaller) Call(_ context.Context, _, method string, params, result any) error {
	if method != permit.MethodAcquire {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	*result.(*permit.AcquireResult) = permit.AcquireResult{Permit: &pool.Permit{
		ID: c.next, RequestID: params.(permit.AcquireParams).Request.ID, Upstream: "e00001", Incarnation: "5f2c9a1b7d3e4f60",
	}}
	return nil
}

// noopDependencies implements dependencies of the relay and the caller API without
// doing anything.
type noopDependencies struct{}

func (noopDependencies) Record(string, string, ...string)        {}
func (noopDependencies) Observe(relay.Observation)               {}
func (noopDependencies) RecordTokenGap(time.Duration)            {}
func (noopDependencies) Status(string) (permit.PoolStatus, bool) { return permit.PoolStatus{}, false }
func (noopDependencies) Hosts(string) []callerapi.Host           { return nil }
func (noopDependencies) CheckAccepting() error                   { return nil }
func (noopDependencies) CheckReady() error                       { return nil }

// relayFixture runs the request path of one daemon. Its callers and its engine are
// plain connections without goroutines, so that they add little to the measurement.
type relayFixture struct {
	noopDependencies
	conf           *entity.Configuration
	server         *httptest.Server
	engineListener net.Listener
	callerConns    []net.Conn
	engineConns    []net.Conn
	sentTokens     int
}

func (r *relayFixture) Config() *entity.Configuration { return r.conf }

func newRelayFixture(b *testing.B) *relayFixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	p := entity.Pool{Name: "p", Kind: entity.KindEngine, DataCentre: "praha-1", Upstreams: []entity.Upstream{{Name: "e00001", Address: l.Addr().String(), Pool: "p"}}}
	service := entity.Service{
		Name: "narration", Delivery: entity.DeliverRestart, Repeatable: true, Deadline: time.Minute,
		Versions: []entity.Version{{Name: "v1", Model: "m", Pools: []string{"p"}, Share: 100}},
	}
	r := &relayFixture{engineListener: l, conf: &entity.Configuration{Revision: 1, Text: &entity.ServiceText{
		DataCentres: []string{"praha-1"}, Pools: []entity.Pool{p}, Services: []entity.Service{service}, Accounts: []entity.ClientAccount{{Name: "guides", Share: 1}},
	}}}
	client := engine.New(engine.Settings{TokenTimeout: time.Hour})
	signer := stream.NewSigner("0123456789abcdef")
	api := &callerapi.Server{
		State: r, Keys: auth.NewKeys(map[string]string{"guides": "guides-key"}), Signer: signer, Log: logr.Discard(),
		MaxBodyBytes: 1 << 20, WriteTimeout: time.Hour, MaxStreams: 1 << 20,
		Relay: &relay.Relay{
			Engine: client, Permits: permit.NewClient(&grantingCaller{}, grantingMembers{}, logr.Discard()), Config: r.Config, Pools: noopDependencies{},
			Signer: signer, Events: noopDependencies{}, Evidence: noopDependencies{}, Log: logr.Discard(), DataCentre: "praha-1",
			OtherHosts: func() []string { return nil }, Handover: make(chan struct{}),
		},
	}
	r.server = httptest.NewServer(api.Handler())
	b.Cleanup(func() {
		_ = l.Close() // the relay would otherwise wait for an engine that accepts nothing more
		for _, c := range append(r.callerConns, r.engineConns...) {
			_ = c.Close()
		}
		r.server.Close()
		client.Close()
	})
	return r
}

// openStream sends one request and writes the engine's response header for it.
func (r *relayFixture) openStream(b *testing.B) {
	caller, err := net.Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(b, err)
	body := `{"prompt":"Tell the story of the Old Town bridge tower."}`
	_, err = fmt.Fprintf(caller, "POST /v1/services/narration/generate HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer guides-key\r\n"+
		"Accept-Restart: 1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(b, err)
	up, err := r.engineListener.Accept()
	require.NoError(b, err)
	_, err = up.Read(make([]byte, 4096))
	require.NoError(b, err)
	_, err = fmt.Fprint(up, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	require.NoError(b, err)
	r.callerConns, r.engineConns = append(r.callerConns, caller), append(r.engineConns, up)
}

// sendToken sends one token over every stream and waits until each caller has it.
func (r *relayFixture) sendToken(b *testing.B, buffer []byte) {
	event := fmt.Sprintf("data: {\"id\":\"generation-1:%d\",\"choices\":[{\"text\":\" token\",\"finish_reason\":null}]}\n\n", r.sentTokens)
	frame := []byte(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
	id := []byte(fmt.Sprintf("id: generation-1:%d\n", r.sentTokens))
	r.sentTokens++
	for _, up := range r.engineConns {
		_, err := up.Write(frame)
		require.NoError(b, err)
	}
	for _, caller := range r.callerConns {
		for read := 0; !bytes.Contains(buffer[:read], id); {
			n, err := caller.Read(buffer[read:])
			require.NoError(b, err)
			read += n
		}
	}
}

// BenchmarkStreams measures the open streams of a relaying daemon: heap and stacks, and
// the processor time of one token on every stream. The time includes the write of the
// engine and the read of the caller, because both are in this process.
func BenchmarkStreams(b *testing.B) {
	fitSlopes(b, "stream", []int{32, 64, 128, 256}, func(n int) []measurement {
		buffer := make([]byte, 64<<10)
		r := newRelayFixture(b)
		heap := retainedHeap(func() any {
			for range n {
				r.openStream(b)
			}
			r.sendToken(b, buffer)
			return r
		})
		return []measurement{{"heap-B", heap}, {"token-ns", cpuTime(func() { r.sendToken(b, buffer) })}}
	})
}

// BenchmarkRequest measures whole requests, from the connection to the first
// token, each on connections of its own.
func BenchmarkRequest(b *testing.B) {
	fitSlopes(b, "request", []int{8, 16, 32, 64}, func(n int) []measurement {
		buffer := make([]byte, 64<<10)
		r := newRelayFixture(b)
		r.openStream(b)
		r.sendToken(b, buffer)
		r.sentTokens, r.callerConns, r.engineConns = 0, nil, nil
		used := processTime()
		for range n {
			r.openStream(b)
		}
		r.sendToken(b, buffer)
		return []measurement{{"cpu-ns", float64(processTime() - used)}}
	})
}

// BenchmarkRetainedRequests measures the ended requests that a host retains for
// GET /v1/requests. It retains the latest 10,000.
func BenchmarkRetainedRequests(b *testing.B) {
	fitSlopes(b, "request", []int{1000, 2000, 4000, 8000}, func(n int) []measurement {
		r := newRelayFixture(b)
		return []measurement{{"heap-B", retainedHeap(func() any {
			api := r.server.Config.Handler
			for range n {
				request := httptest.NewRequest("POST", "/v1/services/narration/generate", strings.NewReader(`{"prompt":""}`))
				request.Header.Set("Authorization", "Bearer guides-key")
				request.Header.Set("Content-Type", "application/json")
				api.ServeHTTP(httptest.NewRecorder(), request) // refused after it was registered
			}
			return api
		})}}
	})
}
