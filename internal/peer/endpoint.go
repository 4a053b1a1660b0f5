package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// minRetireAge is the minimum age at which an idle redundant connection of a pair is
// closed. By then both ends know all connections of the pair and use the same one.
const minRetireAge = 5 * time.Second

// Handler serves the calls of one method. The context is cancelled when the
// connection or the server closes.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// connection is an authenticated connection, over which both ends can call.
type connection struct {
	rpc            *jsonrpc2.Conn
	stream         *stream
	diallerAddress string // address of the end that dialled
	remoteAddress  string
	establishedAt  time.Time
	logger         logr.Logger
	// activeCalls counts the pending calls and running handlers of the connection.
	activeCalls atomic.Int64
	probing     atomic.Bool
}

// probe calls the other end and closes the connection if nothing arrives. A connection that
// goes silent reports no error by itself, and each further call on it would wait in vain.
func (c *connection) probe() {
	if !c.probing.CompareAndSwap(false, true) {
		return
	}
	defer c.probing.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	probedAt := time.Now()
	err := c.rpc.Call(ctx, methodPing, nil, nil)
	if err == nil || ctx.Err() == nil || c.stream.lastReceived().After(probedAt) {
		return
	}
	c.logger.Info("peer connection closed: it was silent", "peer", c.remoteAddress, "error", err.Error())
	_ = c.rpc.Close()
}

func (c *connection) closed() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// endpoint holds the options, handlers and connections that a Server and its Client
// share.
type endpoint struct {
	options *Options
	ctx     context.Context // cancelled when the server closes
	stop    context.CancelFunc

	mu       sync.Mutex
	handlers map[string]Handler
	conns    map[string][]*connection // keyed by the address of the other end
	stopped  bool
	tasks    sync.WaitGroup // handlers and handshakes
}

func newEndpoint(options *Options) *endpoint {
	ctx, stop := context.WithCancel(context.Background())
	return &endpoint{options: options, ctx: ctx, stop: stop, handlers: map[string]Handler{}, conns: map[string][]*connection{}}
}

// beginTask adds a task for Server.Close to wait for. It returns false once the
// server is closing; otherwise the caller must call tasks.Done.
func (e *endpoint) beginTask() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return false
	}
	e.tasks.Add(1)
	return true
}

// addConnection registers an authenticated connection and starts reading its messages.
func (e *endpoint) addConnection(conn net.Conn, remoteAddress, diallerAddress string) *connection {
	connection := &connection{stream: newStream(conn, e.options, remoteAddress), diallerAddress: diallerAddress, remoteAddress: remoteAddress, establishedAt: time.Now(), logger: e.options.Logger}
	// Handlers start under the same lock, so that they find the connection that they serve.
	e.mu.Lock()
	defer e.mu.Unlock()
	connection.rpc = jsonrpc2.NewConn(context.Background(), connection.stream, requestHandler{e, connection}, jsonrpc2.SetLogger(rpcLogger{e.options.Logger}))
	e.conns[remoteAddress] = append(e.conns[remoteAddress], connection)
	return connection
}

// connectionTo returns the connection to the address, if there is one. When both ends
// dialled at the same time, both select the connection that the lower address dialled.
// It closes idle redundant connections.
func (e *endpoint) connectionTo(address string) (*connection, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	conns := slices.DeleteFunc(e.conns[address], (*connection).closed)
	if len(conns) == 0 {
		delete(e.conns, address)
		return nil, false
	}
	e.conns[address] = conns
	selected := conns[0]
	for _, c := range conns[1:] {
		if c.diallerAddress <= selected.diallerAddress { // of connections with the same dialler, use the newest
			selected = c
		}
	}
	for _, c := range conns {
		if c != selected && c.activeCalls.Load() == 0 && time.Since(c.establishedAt) >= minRetireAge {
			_ = c.rpc.Close()
		}
	}
	return selected, true
}

// closeConnections closes the connections that this daemon dialled, or those that it
// accepted if dialled is false.
func (e *endpoint) closeConnections(dialled bool) {
	e.mu.Lock()
	var toClose []*connection
	for _, conns := range e.conns {
		for _, c := range conns {
			if (c.diallerAddress == e.options.Address) == dialled {
				toClose = append(toClose, c)
			}
		}
	}
	e.mu.Unlock()
	for _, c := range toClose {
		_ = c.rpc.Close()
	}
}

// invoke runs the handler of the method. A panic of the handler becomes
// failure.Internal.
func (e *endpoint) invoke(ctx context.Context, method string, params json.RawMessage) (result any, err error) {
	e.mu.Lock()
	handler := e.handlers[method]
	e.mu.Unlock()
	if handler == nil {
		return nil, failure.NotRun(failure.NotFound, "unknown peer method %q", method)
	}
	defer func() {
		if p := recover(); p != nil {
			e.options.Logger.Error(fmt.Errorf("%v", p), "peer handler panicked", "method", method)
			result, err = nil, failure.New(failure.Internal, "method %s failed", method)
		}
	}()
	return handler(ctx, params)
}

type remoteAddressKey struct{}

// RemoteAddress returns the peer address of the caller. ctx must be the context of a
// handler.
func RemoteAddress(ctx context.Context) string {
	address, _ := ctx.Value(remoteAddressKey{}).(string)
	return address
}

// requestHandler is the jsonrpc2.Handler of one connection. Each request runs in its
// own goroutine, so that responses are read while handlers run.
type requestHandler struct {
	endpoint   *endpoint
	connection *connection
}

func (s requestHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if !s.endpoint.beginTask() {
		s.reply(ctx, rpc, request, nil, failure.NotRun(failure.Draining, "daemon is stopping"))
		return
	}
	if s.connection.activeCalls.Add(1) > maxHandlersPerConnection {
		s.connection.activeCalls.Add(-1)
		s.endpoint.tasks.Done()
		s.reply(ctx, rpc, request, nil, failure.NotRun(failure.QueueFull, "more than %d handlers are running for this connection", maxHandlersPerConnection))
		return
	}
	go func() {
		defer s.endpoint.tasks.Done()
		defer s.connection.activeCalls.Add(-1)
		ctx, cancel := context.WithCancel(context.WithValue(ctx, remoteAddressKey{}, s.connection.remoteAddress))
		defer cancel()
		defer context.AfterFunc(s.endpoint.ctx, cancel)()
		var params json.RawMessage
		if request.Params != nil {
			params = *request.Params
		}
		result, err := s.endpoint.invoke(ctx, request.Method, params)
		s.reply(ctx, rpc, request, result, err)
	}()
}

func (s requestHandler) reply(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, result any, err error) {
	if request.Notif {
		return
	}
	response := &jsonrpc2.Response{ID: request.ID}
	if err == nil {
		err = response.SetResult(result)
	}
	if err != nil {
		response.Result, response.Error = nil, encodeError(err)
	}
	err = rpc.SendResponse(ctx, response)
	var failed *failure.Error
	if errors.As(err, &failed) { // the response is too large; send the error instead
		_ = rpc.ReplyWithError(ctx, request.ID, encodeError(failure.New(failed.Kind(), "%s", failed.Message())))
	}
}

// rpcLogger writes the log messages of the jsonrpc2 library, which concern single
// connections, at verbosity 1.
type rpcLogger struct{ logger logr.Logger }

func (l rpcLogger) Printf(format string, args ...any) {
	l.logger.V(1).Info("peer connection", "message", fmt.Sprintf(format, args...))
}
