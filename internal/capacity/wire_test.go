package capacity

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/peer"
)

// byteCountingListener counts the bytes read and written on its accepted connections.
type byteCountingListener struct {
	net.Listener
	in, out atomic.Int64
}

func (c *byteCountingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &byteCountingConn{conn, c}, nil
}

type byteCountingConn struct {
	net.Conn
	total *byteCountingListener
}

func (c *byteCountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.in.Add(int64(n))
	return n, err
}

func (c *byteCountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.out.Add(int64(n))
	return n, err
}

func listen(b *testing.B) *byteCountingListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	return &byteCountingListener{Listener: l}
}

// peerPair is the peer connection of two daemons in this process over loopback.
type peerPair struct {
	client   *peer.Client
	address  string
	listener *byteCountingListener
}

// newPeerPair starts both ends; register sets the methods of the server end.
func newPeerPair(b *testing.B, register func(*peer.Server)) *peerPair {
	const key = "a shared key of the benchmarks"
	listener, clientListener := listen(b), listen(b)
	serverEnd, serverEndClient := peer.New(peer.Options{Address: listener.Addr().String(), Key: key})
	clientEnd, client := peer.New(peer.Options{Address: clientListener.Addr().String(), Key: key})
	register(serverEnd)
	for server, l := range map[*peer.Server]*byteCountingListener{serverEnd: listener, clientEnd: clientListener} {
		go func() { _ = server.Serve(l) }()
	}
	b.Cleanup(func() {
		_, _, _, _ = client.Close(), serverEndClient.Close(), clientEnd.Close(), serverEnd.Close()
	})
	return &peerPair{client, listener.Addr().String(), listener}
}

// measureCall measures one call: the bytes of the request and of the response with their
// framing but without TCP, and the processor time of both ends together.
func (w *peerPair) measureCall(b *testing.B, call func() error) []measurement {
	require.NoError(b, call()) // opens the connection
	in, out := w.listener.in.Load(), w.listener.out.Load()
	const calls = 10
	for range calls {
		require.NoError(b, call())
	}
	in, out = w.listener.in.Load()-in, w.listener.out.Load()-out
	return []measurement{
		{"request-B", float64(in) / calls}, {"answer-B", float64(out) / calls},
		{"cpu-ns", cpuTime(func() { _ = call() })},
	}
}

// measureMethod measures a call of the method with the given parameters and response.
func measureMethod[P, R any](b *testing.B, method string, params P, response R) []measurement {
	w := newPeerPair(b, func(s *peer.Server) {
		peer.Register(s, method, func(context.Context, P) (R, error) { return response, nil })
	})
	return w.measureCall(b, func() error {
		var result R
		return w.client.Call(context.Background(), w.address, method, params, &result)
	})
}
