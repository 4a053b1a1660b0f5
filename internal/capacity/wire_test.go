package capacity

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/peer"
)

// counted counts the bytes of the accepted connections of a listener.
type counted struct {
	net.Listener
	in, out atomic.Int64
}

func (c *counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c}, nil
}

type countedConn struct {
	net.Conn
	total *counted
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.out.Add(int64(n))
	return n, err
}

func listen(b *testing.B) *counted {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	return &counted{Listener: l}
}

// wire is a pair of daemons' peer ends in this process, connected over loopback.
type wire struct {
	client  *peer.Client
	address string
	counted *counted
}

// newWire starts the pair; register sets the methods of the answering end.
func newWire(b *testing.B, register func(*peer.Server)) *wire {
	const key = "a shared key of the benchmarks"
	listener, own := listen(b), listen(b)
	answering, answeringClient := peer.New(peer.Options{Address: listener.Addr().String(), Key: key})
	asking, client := peer.New(peer.Options{Address: own.Addr().String(), Key: key})
	register(answering)
	for server, l := range map[*peer.Server]*counted{answering: listener, asking: own} {
		go func() { _ = server.Serve(l) }()
	}
	b.Cleanup(func() {
		_, _, _, _ = client.Close(), answeringClient.Close(), asking.Close(), answering.Close()
	})
	return &wire{client, listener.Addr().String(), listener}
}

// exchange measures one call: the bytes of the request and of the answer as
// framed, without TCP, and the processor time of both ends together.
func (w *wire) exchange(b *testing.B, call func() error) []reading {
	require.NoError(b, call()) // dials
	in, out := w.counted.in.Load(), w.counted.out.Load()
	const calls = 10
	for range calls {
		require.NoError(b, call())
	}
	in, out = w.counted.in.Load()-in, w.counted.out.Load()-out
	return []reading{
		{"request-B", float64(in) / calls}, {"answer-B", float64(out) / calls},
		{"cpu-ns", cpuTime(func() { _ = call() })},
	}
}

// message measures a call with the given parameters and answer.
func message[P, R any](b *testing.B, method string, params P, answer R) []reading {
	w := newWire(b, func(s *peer.Server) {
		peer.Register(s, method, func(context.Context, P) (R, error) { return answer, nil })
	})
	return w.exchange(b, func() error {
		var result R
		return w.client.Call(context.Background(), w.address, method, params, &result)
	})
}
