package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/rattanscale/rattanscale/internal/accept"
	"github.com/rattanscale/rattanscale/internal/failure"
)

// Server serves the calls of other daemons. It is safe for concurrent use. Its
// owner must call Close.
type Server struct {
	endpoint  *endpoint
	mu        sync.Mutex
	listeners []net.Listener
	pending   pendingHandshakes
}

// New returns a server and a client that share their connections: the client also
// calls over connections that other daemons dialled, and the server also serves
// calls received over connections that the client dialled. Both must be closed.
func New(options Options) (*Server, *Client) {
	e := newEndpoint(options.withDefaults())
	server := &Server{endpoint: e}
	server.Handle(methodPing, func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
	return server, newClient(e)
}

// Handle sets the handler of a method. It must be called before Serve and before the
// client's first call.
func (s *Server) Handle(method string, handler func(ctx context.Context, params json.RawMessage) (any, error)) {
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	s.endpoint.handlers[method] = handler
}

// Register sets the handler of a method and decodes its parameters. Calls whose
// parameters cannot be decoded fail with failure.InvalidRequest, marked as not run.
func Register[P, R any](s *Server, method string, handler func(ctx context.Context, params P) (R, error)) {
	s.Handle(method, func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &params); err != nil {
				return nil, failure.NotRun(failure.InvalidRequest, "decode parameters of method %s: %v", method, err)
			}
		}
		return handler(ctx, params)
	})
}

// Serve accepts connections until Close is called, and then returns nil. It closes
// the listener.
func (s *Server) Serve(listener net.Listener) error {
	listener = accept.Retry(listener, s.endpoint.options.Logger)
	defer listener.Close()
	if config := s.endpoint.options.ServerTLS; config != nil {
		listener = tls.NewListener(listener, config)
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	for s.endpoint.beginTask() {
		conn, err := listener.Accept()
		if err != nil {
			s.endpoint.tasks.Done()
			if s.endpoint.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		s.pending.add(conn)
		go s.accept(conn)
	}
	return nil
}

func (s *Server) accept(conn net.Conn) {
	defer s.endpoint.tasks.Done()
	defer context.AfterFunc(s.endpoint.ctx, func() { _ = conn.Close() })()
	remote, err := acceptHandshake(conn, s.endpoint.options)
	s.pending.remove(conn)
	if err != nil {
		s.endpoint.options.Logger.Info("peer connection refused", "from", conn.RemoteAddr().String(), "error", err.Error())
		_ = conn.Close()
		return
	}
	s.endpoint.addConnection(conn, remote, remote)
}

// Close stops accepting connections, closes those accepted, cancels the contexts of
// the running handlers and waits for the handlers to return. Calls received later
// over connections that the client dialled are refused.
func (s *Server) Close() error {
	s.endpoint.mu.Lock()
	s.endpoint.stopped = true
	s.endpoint.mu.Unlock()
	s.endpoint.stop()
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	s.endpoint.closeConnections(false)
	s.endpoint.tasks.Wait()
	s.endpoint.closeConnections(false) // connections whose handshake ended in the meantime
	return nil
}
