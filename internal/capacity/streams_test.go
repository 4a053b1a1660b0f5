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

// grantingMembers is a view in which this daemon may do everything.
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

type discard struct{}

func (discard) Record(string, string, ...string)        {}
func (discard) Observe(relay.Observation)               {}
func (discard) RecordTokenGap(time.Duration)            {}
func (discard) Status(string) (permit.PoolStatus, bool) { return permit.PoolStatus{}, false }
func (discard) Hosts(string) []callerapi.Host           { return nil }
func (discard) CheckAccepting() error                   { return nil }
func (discard) CheckReady() error                       { return nil }

// relaying is the request path of one daemon. Its callers and its engine are
// bare connections without goroutines, so that only the daemon's side counts.
type relaying struct {
	discard
	conf    *entity.Configuration
	server  *httptest.Server
	engine  net.Listener
	callers []net.Conn
	engines []net.Conn
	sent    int
}

func (r *relaying) Config() *entity.Configuration { return r.conf }

func newRelaying(b *testing.B) *relaying {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	p := entity.Pool{Name: "p", Kind: entity.KindEngine, DataCentre: "praha-1", Upstreams: []entity.Upstream{{Name: "e00001", Address: l.Addr().String(), Pool: "p"}}}
	service := entity.Service{
		Name: "narration", Delivery: entity.DeliverRestart, Repeatable: true, Deadline: time.Minute,
		Versions: []entity.Version{{Name: "v1", Model: "m", Pools: []string{"p"}, Share: 100}},
	}
	r := &relaying{engine: l, conf: &entity.Configuration{Revision: 1, Text: &entity.ServiceText{
		DataCentres: []string{"praha-1"}, Pools: []entity.Pool{p}, Services: []entity.Service{service}, Accounts: []entity.ClientAccount{{Name: "guides", Share: 1}},
	}}}
	client := engine.New(engine.Settings{TokenTimeout: time.Hour})
	signer := stream.NewSigner("0123456789abcdef")
	api := &callerapi.Server{
		State: r, Keys: auth.NewKeys(map[string]string{"guides": "guides-key"}), Signer: signer, Log: logr.Discard(),
		MaxBodyBytes: 1 << 20, WriteTimeout: time.Hour, MaxStreams: 1 << 20,
		Relay: &relay.Relay{
			Engine: client, Permits: permit.NewClient(&grantingCaller{}, grantingMembers{}, logr.Discard()), Config: r.Config, Pools: discard{},
			Signer: signer, Events: discard{}, Evidence: discard{}, Log: logr.Discard(), DataCentre: "praha-1",
			OtherHosts: func() []string { return nil }, Handover: make(chan struct{}),
		},
	}
	r.server = httptest.NewServer(api.Handler())
	b.Cleanup(func() {
		for _, c := range append(r.callers, r.engines...) {
			_ = c.Close()
		}
		r.server.Close()
		client.Close()
		_ = l.Close()
	})
	return r
}

// open starts one stream and delivers its first token.
func (r *relaying) open(b *testing.B) {
	caller, err := net.Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(b, err)
	body := `{"prompt":"Tell the story of the Old Town bridge tower."}`
	_, err = fmt.Fprintf(caller, "POST /v1/services/narration/generate HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer guides-key\r\n"+
		"Accept-Restart: 1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(b, err)
	up, err := r.engine.Accept()
	require.NoError(b, err)
	_, err = up.Read(make([]byte, 4096))
	require.NoError(b, err)
	_, err = fmt.Fprint(up, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	require.NoError(b, err)
	r.callers, r.engines = append(r.callers, caller), append(r.engines, up)
}

// token sends one token over every stream and waits until each caller has it.
func (r *relaying) token(b *testing.B, buffer []byte) {
	event := fmt.Sprintf("data: {\"id\":\"generation-1:%d\",\"choices\":[{\"text\":\" token\",\"finish_reason\":null}]}\n\n", r.sent)
	frame := []byte(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
	id := []byte(fmt.Sprintf("id: generation-1:%d\n", r.sent))
	r.sent++
	for _, up := range r.engines {
		_, err := up.Write(frame)
		require.NoError(b, err)
	}
	for _, caller := range r.callers {
		for read := 0; !bytes.Contains(buffer[:read], id); {
			n, err := caller.Read(buffer[read:])
			require.NoError(b, err)
			read += n
		}
	}
}

// BenchmarkStreams measures open streams of a relaying daemon: heap and stacks,
// and the processor time of one token on every stream. The time includes the
// write of the engine and the read of the caller in this process.
func BenchmarkStreams(b *testing.B) {
	slopes(b, "stream", []int{32, 64, 128, 256}, func(n int) []reading {
		buffer := make([]byte, 64<<10)
		r := newRelaying(b)
		heap := heapOf(func() any {
			for range n {
				r.open(b)
			}
			r.token(b, buffer)
			return r
		})
		return []reading{{"heap-B", heap}, {"token-ns", cpuTime(func() { r.token(b, buffer) })}}
	})
}

// BenchmarkRequest measures whole requests, from the connection to the first
// token, each on connections of its own.
func BenchmarkRequest(b *testing.B) {
	slopes(b, "request", []int{8, 16, 32, 64}, func(n int) []reading {
		buffer := make([]byte, 64<<10)
		r := newRelaying(b)
		r.open(b)
		r.token(b, buffer)
		r.sent, r.callers, r.engines = 0, nil, nil
		used := processTime()
		for range n {
			r.open(b)
		}
		r.token(b, buffer)
		return []reading{{"cpu-ns", float64(processTime() - used)}}
	})
}

// BenchmarkRetainedRequests measures the rows of ended requests that a host keeps
// for GET /v1/requests; beyond 10,000 it drops the oldest.
func BenchmarkRetainedRequests(b *testing.B) {
	slopes(b, "request", []int{1000, 2000, 4000, 8000}, func(n int) []reading {
		r := newRelaying(b)
		return []reading{{"heap-B", heapOf(func() any {
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
