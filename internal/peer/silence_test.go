package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silenceableProxy is a TCP proxy whose open connections can be made to discard all bytes.
type silenceableProxy struct {
	listener net.Listener
	// open is the state of the connections that were accepted since the last silence.
	open atomic.Pointer[atomic.Bool]
}

func startSilenceableProxy(t *testing.T, target string) *silenceableProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &silenceableProxy{listener: listener}
	p.open.Store(&atomic.Bool{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			context.AfterFunc(ctx, func() { _ = near.Close(); _ = far.Close() })
			silent := p.open.Load()
			go p.relay(far, near, silent)
			go p.relay(near, far, silent)
		}
	}()
	return p
}

func (p *silenceableProxy) relay(to io.WriteCloser, from io.Reader, silent *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if silent.Load() {
			if err != nil {
				return // the other end learns of nothing
			}
			continue
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes the open connections silent; new ones work.
func (p *silenceableProxy) silence() { p.open.Swap(&atomic.Bool{}).Store(true) }

// Guards against calls that wait, one after another, on a connection that went silent.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := startNode(t, Options{}), startNode(t, Options{})
	proxy := startSilenceableProxy(t, b.address)
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return a.client.Call(ctx, proxy.listener.Addr().String(), "echo", echo{"x"}, nil)
	}
	require.NoError(t, call(10*time.Second))
	proxy.silence()
	startedAt := time.Now()
	require.ErrorIs(t, call(10*time.Second), ErrNoResponse)
	require.Less(t, time.Since(startedAt), 5*time.Second, "the call ends before its own time is over")
	require.Eventually(t, func() bool { return call(10*time.Second) == nil }, 10*time.Second, time.Millisecond, "the next call dials again")

	proxy.silence()
	for range 20 { // each too short to be probed while it waits
		if call(probeDelay/2) == nil {
			return
		}
		time.Sleep(probeTimeout / 4)
	}
	require.Fail(t, "short calls never replaced the silent connection")
}

// Guards against a slow handler whose connection is taken for a silent one.
func TestConnectionOfASlowHandlerIsKept(t *testing.T) {
	a, b := startNode(t, Options{}), startNode(t, Options{}, func(s *Server) {
		Register(s, "slow", func(context.Context, echo) (echo, error) {
			time.Sleep(2 * (probeDelay + probeTimeout))
			return echo{"done"}, nil
		})
	})
	var response echo
	require.NoError(t, a.client.Call(context.Background(), b.address, "slow", echo{}, &response))
	require.Equal(t, "done", response.Text)
}
