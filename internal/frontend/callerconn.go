package frontend

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/membudget"
)

// idleGrace is added to the configured idle time-out, so that a request sent just before the
// limit does not arrive while the connection is being closed.
const idleGrace = time.Second

// connPhase selects the limit for the next read deadline of a caller's connection.
type connPhase int32

const (
	// awaitingHeader means that the next read deadline bounds the header of a request.
	awaitingHeader connPhase = iota
	// awaitingRequest means that the next read deadline bounds the idle time.
	awaitingRequest
	// inRequest means that read deadlines are set by the handler and passed through.
	inRequest
)

// callerListener accepts connections whose idle and header time-outs follow the current
// configuration; http.Server supports only limits that are fixed at its start.
type callerListener struct {
	net.Listener
	limits func() catalog.Limits
}

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, limits: l.limits}, nil
}

// NetConn returns the connection below, whose memory is counted.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// callerConn replaces the read deadlines that http.Server sets between requests.
type callerConn struct {
	net.Conn
	limits func() catalog.Limits
	phase  atomic.Int32
}

// onConnState is the ConnState hook of the server.
func onConnState(conn net.Conn, state http.ConnState) {
	membudget.OnState(conn, state)
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.phase.Store(int32(inRequest))
	case http.StateIdle:
		c.phase.Store(int32(awaitingRequest))
	}
}

// callerLimits returns the limits of the current configuration, zero while none is known.
func (f *FrontEnd) callerLimits() catalog.Limits {
	if c := f.gateway.Catalog().Configuration; c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// SetReadDeadline sets the deadline. Between requests it replaces it by the configured one.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	now, limits := time.Now(), c.limits()
	switch connPhase(c.phase.Load()) {
	case awaitingRequest:
		c.phase.Store(int32(awaitingHeader))
		t = lo.Ternary(limits.IdleTimeout > 0, now.Add(limits.IdleTimeout+idleGrace), t)
	case awaitingHeader:
		t = lo.Ternary(limits.HeaderTimeout > 0, now.Add(limits.HeaderTimeout), t)
	case inRequest:
	}
	return c.Conn.SetReadDeadline(t)
}
