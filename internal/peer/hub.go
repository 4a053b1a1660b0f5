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

// retireAfter is the age from which a superfluous connection of a pair is closed
// once it is idle. By then both ends know both connections and use the same one.
const retireAfter = 5 * time.Second

// Handler answers the calls of one method. The context ends with the connection
// and with the server.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// connection is one authenticated connection, in use by both ends.
type connection struct {
	rpc     *jsonrpc2.Conn
	stream  *stream
	dialler string // address of the end that dialled
	remote  string
	since   time.Time
	// active counts the calls and handlers that run over the connection.
	active atomic.Int64
}

func (c *connection) closed() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// hub holds what a Server and its Client share.
type hub struct {
	options *Options
	ctx     context.Context // ends when the server closes
	stop    context.CancelFunc

	mu       sync.Mutex
	handlers map[string]Handler
	conns    map[string][]*connection // by address of the other end
	stopped  bool
	running  sync.WaitGroup // handlers and handshakes
}

func newHub(options *Options) *hub {
	ctx, stop := context.WithCancel(context.Background())
	return &hub{options: options, ctx: ctx, stop: stop, handlers: map[string]Handler{}, conns: map[string][]*connection{}}
}

// begin counts a goroutine of the server; it returns false once the server closes.
func (h *hub) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	h.running.Add(1)
	return true
}

// add starts the exchange of messages over an authenticated connection.
func (h *hub) add(conn net.Conn, remote, dialler string) *connection {
	c := &connection{stream: newStream(conn, h.options, remote), dialler: dialler, remote: remote, since: time.Now()}
	c.rpc = jsonrpc2.NewConn(context.Background(), c.stream, serving{h, c}, jsonrpc2.SetLogger(rpcLogger{h.options.Logger}))
	h.mu.Lock()
	h.conns[remote] = append(h.conns[remote], c)
	h.mu.Unlock()
	return c
}

// choose returns the connection to the address, if there is one. When both ends
// dialled at the same time, both choose the connection of the lower address.
func (h *hub) choose(address string) (*connection, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	conns := slices.DeleteFunc(h.conns[address], (*connection).closed)
	if len(conns) == 0 {
		delete(h.conns, address)
		return nil, false
	}
	h.conns[address] = conns
	best := conns[0]
	for _, c := range conns[1:] {
		if c.dialler <= best.dialler { // at equal diallers the newer connection
			best = c
		}
	}
	for _, c := range conns {
		if c != best && c.active.Load() == 0 && time.Since(c.since) >= retireAfter {
			_ = c.rpc.Close()
		}
	}
	return best, true
}

// closeConns closes the connections that the given end dialled or accepted.
func (h *hub) closeConns(dialled bool) {
	h.mu.Lock()
	var closing []*connection
	for _, conns := range h.conns {
		for _, c := range conns {
			if (c.dialler == h.options.Address) == dialled {
				closing = append(closing, c)
			}
		}
	}
	h.mu.Unlock()
	for _, c := range closing {
		_ = c.rpc.Close()
	}
}

// invoke runs the handler of the method.
func (h *hub) invoke(ctx context.Context, method string, params json.RawMessage) (result any, err error) {
	h.mu.Lock()
	handler := h.handlers[method]
	h.mu.Unlock()
	if handler == nil {
		return nil, failure.NotRun(failure.NotFound, "daemon has no method %q", method)
	}
	defer func() {
		if p := recover(); p != nil {
			h.options.Logger.Error(fmt.Errorf("%v", p), "peer handler panicked", "method", method)
			result, err = nil, failure.New(failure.Internal, "method %s failed", method)
		}
	}()
	return handler(ctx, params)
}

type remoteKey struct{}

// Remote returns the peer address of the caller within a handler.
func Remote(ctx context.Context) string {
	address, _ := ctx.Value(remoteKey{}).(string)
	return address
}

// serving is the jsonrpc2.Handler of one connection. Requests run in goroutines
// of their own, so that answers are read while handlers run.
type serving struct {
	hub  *hub
	conn *connection
}

func (s serving) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if !s.hub.begin() {
		s.reply(ctx, rpc, request, nil, failure.NotRun(failure.Draining, "daemon is stopping"))
		return
	}
	if s.conn.active.Add(1) > maxHandlers {
		s.conn.active.Add(-1)
		s.hub.running.Done()
		s.reply(ctx, rpc, request, nil, failure.NotRun(failure.QueueFull, "more than %d calls run over this connection", maxHandlers))
		return
	}
	go func() {
		defer s.hub.running.Done()
		defer s.conn.active.Add(-1)
		ctx, cancel := context.WithCancel(context.WithValue(ctx, remoteKey{}, s.conn.remote))
		defer cancel()
		defer context.AfterFunc(s.hub.ctx, cancel)()
		var params json.RawMessage
		if request.Params != nil {
			params = *request.Params
		}
		result, err := s.hub.invoke(ctx, request.Method, params)
		s.reply(ctx, rpc, request, result, err)
	}()
}

func (s serving) reply(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, result any, err error) {
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
	var refused *failure.Error
	if errors.As(err, &refused) { // the answer is too large: tells the caller instead
		_ = rpc.ReplyWithError(ctx, request.ID, encodeError(failure.New(refused.Kind(), "%s", refused.Message())))
	}
}

// rpcLogger passes the library's messages on. They concern single connections.
type rpcLogger struct{ logger logr.Logger }

func (l rpcLogger) Printf(format string, args ...any) {
	l.logger.V(1).Info("peer connection", "message", fmt.Sprintf(format, args...))
}
