package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echo struct {
	Text string `json:"text"`
}

type node struct {
	address string
	server  *Server
	client  *Client
}

func startNode(t testing.TB, options Options, register ...func(*Server)) node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	options.Address = listener.Addr().String()
	if options.Key == "" {
		options.Key = "a shared key of the tests"
	}
	server, client := New(options)
	Register(server, "echo", func(_ context.Context, p echo) (echo, error) { return p, nil })
	Register(server, "refuse", func(context.Context, echo) (echo, error) {
		return echo{}, failure.NotRun(failure.Draining, "leaving").WithHost("10.0.0.9:80")
	})
	Register(server, "wait", func(ctx context.Context, _ echo) (echo, error) {
		<-ctx.Done()
		return echo{}, ctx.Err()
	})
	Register(server, "panic", func(context.Context, echo) (echo, error) { panic("fault in a handler") })
	for _, registerExtra := range register {
		registerExtra(server)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, client.Close())
		require.NoError(t, server.Close())
		require.NoError(t, <-served)
	})
	return node{options.Address, server, client}
}

func (n node) echo(target node, text string) error {
	var response echo
	err := n.client.Call(context.Background(), target.address, "echo", echo{text}, &response)
	if err == nil && response.Text != text {
		return fmt.Errorf("response %q to %q", response.Text, text)
	}
	return err
}

// Guards against a failure that loses its kind, not-run flag or host when it is sent
// to the caller.
func TestRemoteErrorsKeepKindFlagAndHost(t *testing.T) {
	a, b := startNode(t, Options{}), startNode(t, Options{})
	for _, to := range []node{b, a} { // b remotely, a by callSelf
		require.NoError(t, a.echo(to, "hello"))
		err := a.client.Call(context.Background(), to.address, "refuse", echo{}, nil)
		require.True(t, failure.Is(err, failure.Draining), "%v", err)
		assert.True(t, failure.From(err).NotRun())
		assert.Equal(t, "10.0.0.9:80", failure.From(err).Host())
		assert.Equal(t, "leaving", failure.From(err).Message())
		assert.True(t, failure.Is(a.client.Call(context.Background(), to.address, "none", nil, nil), failure.NotFound))
		assert.True(t, failure.Is(a.client.Call(context.Background(), to.address, "echo", []int{1}, nil), failure.InvalidRequest))
		assert.True(t, failure.Is(a.client.Call(context.Background(), to.address, "panic", nil, nil), failure.Internal))
	}
	assert.NoError(t, a.client.Notify(context.Background(), b.address, "echo", echo{"x"}))
}

// Guards against a pair that keeps more than one connection after both ends dialled
// at the same time.
func TestOneConnectionForEachPair(t *testing.T) {
	a, b := startNode(t, Options{}), startNode(t, Options{})
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { assert.NoError(t, a.echo(b, "from a")) })
		wg.Go(func() { assert.NoError(t, b.echo(a, "from b")) })
	}
	wg.Wait()
	connA, _ := a.server.endpoint.connectionTo(b.address)
	connB, _ := b.server.endpoint.connectionTo(a.address)
	assert.Equal(t, connA.diallerAddress, connB.diallerAddress, "both ends use the same connection")
	a.server.endpoint.mu.Lock()
	for _, c := range a.server.endpoint.conns[b.address] {
		c.establishedAt = c.establishedAt.Add(-minRetireAge)
	}
	a.server.endpoint.mu.Unlock()
	a.server.endpoint.connectionTo(b.address)
	a.server.endpoint.connectionTo(b.address)
	assert.Len(t, a.server.endpoint.conns[b.address], 1)
}

// Guards against a process without the peer key that can call daemons or impersonate
// one.
func TestWrongKeyIsRefused(t *testing.T) {
	a, b := startNode(t, Options{}), startNode(t, Options{Key: "another key, not the shared one"})
	err := b.echo(a, "x")
	assert.ErrorIs(t, err, ErrUnreachable)
	assert.ErrorContains(t, a.echo(b, "x"), "keys.peer")
	local, remote := greeting{Nonce: []byte("1")}, greeting{Nonce: []byte("2")}
	assert.NotEqual(t, computeProof("key", roleDialler, local, remote), computeProof("key", roleAcceptor, local, remote), "a reflected proof must not match")

	conn, err := net.Dial("tcp", a.address)
	require.NoError(t, err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.Error(t, err, "a connection with another protocol is closed")
	require.NoError(t, conn.Close())
}

// Guards against a call that may have run being reported as not sent, and against a
// call that hangs when the other daemon stops.
func TestCallsToLostDaemon(t *testing.T) {
	waiting := make(chan struct{})
	a, b := startNode(t, Options{}), startNode(t, Options{}, func(s *Server) {
		Register(s, "wait", func(ctx context.Context, _ echo) (echo, error) {
			close(waiting)
			<-ctx.Done()
			return echo{}, ctx.Err()
		})
	})
	result := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.NoError(t, a.echo(b, "connected"))
	go func() { result <- a.client.Call(ctx, b.address, "wait", echo{}, nil) }()
	<-waiting
	conn, found := b.server.endpoint.connectionTo(a.address)
	require.True(t, found)
	require.NoError(t, conn.rpc.Close())
	assert.ErrorIs(t, <-result, ErrNoResponse)
	require.Eventually(t, func() bool { return a.echo(b, "again") == nil }, time.Minute, time.Millisecond, "reconnects")

	require.NoError(t, b.server.Close())
	require.NoError(t, b.client.Close())
	require.Eventually(t, func() bool { return errors.Is(a.echo(b, "x"), ErrUnreachable) }, time.Minute, time.Millisecond)
	require.NoError(t, a.client.Close())
	assert.ErrorIs(t, a.echo(b, "x"), ErrClosed)
}

// Guards against a handler that does not find the connection over which its caller
// reached it, and dials a second one.
func TestConnectionIsRegisteredBeforeItsMessagesAreRead(t *testing.T) {
	e := newEndpoint(Options{Key: "key"}.withDefaults())
	local, remote := net.Pipe()
	added := make(chan *connection, 1)
	e.mu.Lock()
	go func() { added <- e.addConnection(local, "10.0.0.9:80", "10.0.0.9:80") }()
	require.NoError(t, remote.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := remote.Write([]byte{0})
	e.mu.Unlock()
	assert.Error(t, err, "a byte was read before the connection was registered")
	require.NoError(t, (<-added).rpc.Close())
	require.NoError(t, remote.Close())
}

// Guards against a blocked direction that still transmits messages, and against
// blocking the opposite direction as well.
func TestFaultHookBlocksOneDirection(t *testing.T) {
	faults := &Faults{}
	received := make(chan string, 10)
	registerTell := func(s *Server) {
		Register(s, "tell", func(ctx context.Context, p echo) (echo, error) {
			received <- RemoteAddress(ctx)
			return p, nil
		})
	}
	a, b := startNode(t, Options{Faults: faults}, registerTell), startNode(t, Options{Faults: faults}, registerTell)
	require.NoError(t, a.echo(b, "connected"))
	faults.Block(b.address, a.address)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- a.client.Call(ctx, b.address, "tell", echo{}, nil) }()
	assert.Equal(t, a.address, <-received, "the request arrives, its response does not")
	cancel()
	assert.ErrorIs(t, <-result, ErrNoResponse)
	faults.Unblock(b.address, a.address)
	assert.NoError(t, b.client.Call(context.Background(), a.address, "tell", echo{}, nil))
	assert.Equal(t, b.address, <-received)
}

// Guards against an oversized message that breaks the connection for other calls.
func TestOversizedMessages(t *testing.T) {
	a, b := startNode(t, Options{MaxMessageBytes: 4096}), startNode(t, Options{MaxMessageBytes: 4096}, func(s *Server) {
		Register(s, "large", func(context.Context, echo) (echo, error) { return echo{strings.Repeat("x", 5000)}, nil })
	})
	require.NoError(t, a.echo(b, "connected"))
	before, _ := a.server.endpoint.connectionTo(b.address)
	assert.True(t, failure.Is(a.echo(b, strings.Repeat("x", 5000)), failure.BodyTooLarge))
	assert.True(t, failure.Is(a.client.Call(context.Background(), b.address, "large", nil, nil), failure.BodyTooLarge))
	require.NoError(t, a.echo(b, "still connected"))
	after, _ := a.server.endpoint.connectionTo(b.address)
	assert.Same(t, before, after)
}

// exhaustedListener fails the first Accept.
type exhaustedListener struct {
	net.Listener
	failed bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a host that ends because it had no file descriptor left for a connection.
func TestServeOutlastsAcceptErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, client := New(Options{Address: listener.Addr().String(), Key: "a shared key of the tests"})
	served := make(chan error, 1)
	go func() { served <- server.Serve(&exhaustedListener{Listener: listener}) }()
	caller := startNode(t, Options{})
	assert.NoError(t, caller.client.Call(t.Context(), listener.Addr().String(), methodPing, nil, nil))
	require.NoError(t, client.Close())
	require.NoError(t, server.Close())
	require.NoError(t, <-served)
}

// Guards against accepting plain TCP where TLS is enabled, and against a receiver's
// clock that stays behind the timestamp of a received message.
func TestTLSAndClock(t *testing.T) {
	tlsServer := httptest.NewUnstartedServer(nil)
	tlsServer.StartTLS()
	defer tlsServer.Close()
	serverTLS := &tls.Config{Certificates: tlsServer.TLS.Certificates}
	clientTLS := &tls.Config{InsecureSkipVerify: true} //nolint:gosec // self-signed certificate of httptest
	ahead := timeline.NewClock(func() time.Time { return time.Now().Add(30 * time.Second) })
	behind := timeline.NewClock(time.Now)
	a := startNode(t, Options{ServerTLS: serverTLS, ClientTLS: clientTLS, Clock: ahead})
	b := startNode(t, Options{ServerTLS: serverTLS, ClientTLS: clientTLS, Clock: behind})
	sent := ahead.Now()
	require.NoError(t, a.echo(b, "x"))
	assert.Greater(t, behind.Now(), sent)
	plain := startNode(t, Options{})
	assert.ErrorIs(t, plain.echo(a, "x"), ErrUnreachable)
}

// Guards against a panic, an endless loop or an allocation of the size of a false
// frame length.
func FuzzDecodeFrame(f *testing.F) {
	for _, object := range []string{`{"jsonrpc":"2.0","id":1,"method":"m","params":[1]}`, `{"id":1,"result":null}`, `{"id":"x","error":{"code":1}}`, `null`, `[]`, `{}`} {
		var buf bytes.Buffer
		_ = encodeFrame(&buf, json.RawMessage(object), 7, 1024)
		f.Add(buf.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		defer client.Close()
		written := make(chan struct{})
		rpc := jsonrpc2.NewConn(context.Background(), newStream(server, Options{MaxMessageBytes: 1024}.withDefaults(), "x"),
			jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil }),
			jsonrpc2.SetLogger(rpcLogger{Options{}.withDefaults().Logger}))
		go func() {
			_, _ = client.Write(data)
			_ = client.Close()
			close(written)
		}()
		buf := make([]byte, 1024)
		for {
			if _, err := client.Read(buf); err != nil {
				break
			}
		}
		<-written
		<-rpc.DisconnectNotify()
	})
}

func BenchmarkCall(b *testing.B) {
	caller, callee := startNode(b, Options{}), startNode(b, Options{})
	params := echo{strings.Repeat("x", 60)}
	b.ReportAllocs()
	for b.Loop() {
		var answer echo
		if err := caller.client.Call(context.Background(), callee.address, "echo", params, &answer); err != nil {
			b.Fatal(err)
		}
	}
}
