package membudget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is read after a refusal, so that the client
	// receives it before the connection is reset.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
	// headSlackBytes is by how much a head may exceed the limit as sent: white space is not part
	// of the size that handlers check.
	headSlackBytes = 4 << 10
)

// Options configures a listener.
type Options struct {
	Budget *Budget
	// TLS is set if TLS runs over the connections. Their heads are then not scanned.
	TLS bool
	// MaxHeadBytes returns the limit of a head; 0 leaves it to the server.
	MaxHeadBytes func() int
	// RefusalHeader holds the fields of a refusal for lack of memory, such as Retry-After.
	RefusalHeader http.Header
}

// Listen returns a listener whose connections the budget counts.
func Listen(l net.Listener, o Options) net.Listener { return &listener{l, o} }

type listener struct {
	net.Listener
	options Options
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, options: &l.options}
		c.entry.address, c.entry.tls, c.entry.conn = hostOf(raw.RemoteAddr()), l.options.TLS, c
		if l.options.Budget.admit(c) {
			return c, nil
		}
		_ = c.Close()
	}
}

func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}

// Conn is a client's connection. It scans the heads of requests as they arrive, reserves what
// they cost once parsed, and refuses those for which there is no memory.
type Conn struct {
	net.Conn
	options *Options
	entry   entry

	scanner Scanner
	// pending are bytes that belong to the next part of a request than those returned last.
	pending, store []byte
	// headBytes is the length of the latest complete head.
	headBytes atomic.Int64
	// headHeld is the part of the entry's memory that is for the head.
	headHeld int64
	// multiplexed is the number of running requests of a TLS connection.
	multiplexed int
	// handling is set while a handler runs, so that a response may be under way.
	handling atomic.Bool
	closed   sync.Once
}

// readBytes is the size of the reads of http.Server between requests.
const readBytes = 4 << 10

// errRefused ends the reading of a connection after a refusal. http.Server takes it for an error
// of the network, so it closes the connection without a response of its own.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: ErrNoRoom}

// Read returns at most the rest of the current head, or a part of a body.
func (c *Conn) Read(p []byte) (int, error) {
	if c.options.TLS {
		n, err := c.Conn.Read(p)
		return n, c.readError(err)
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	if n == 0 {
		var err error
		if n, err = c.Conn.Read(p); n == 0 {
			return 0, c.readError(err)
		}
	}
	inHead := c.scanner.InHead()
	taken := c.scanner.Scan(p[:n])
	if inHead && c.scanner.HeadEnded() {
		c.headBytes.Store(int64(c.scanner.HeadBytes()))
	}
	if rest := p[taken:n]; len(rest) > 0 {
		if c.store == nil {
			c.store = make([]byte, 0, readBytes)
		}
		c.pending = append(append(c.store[:0], rest...), c.pending...)
	}
	if err := c.account(inHead, int64(taken)); err != nil {
		return 0, err
	}
	return taken, nil
}

// account reserves the cost of a head and records the progress of a body.
func (c *Conn) account(inHead bool, n int64) error {
	b := c.options.Budget
	handling := c.handling.Load()
	b.update(func(l *ledger, now time.Time) {
		if inHead && !handling && c.entry.phase == idle {
			l.begin(&c.entry, now)
			c.headHeld = 0
		}
		l.progress(&c.entry, n, now)
	})
	switch {
	case handling && c.scanner.InTrailer():
		return c.reserveHead()
	case handling || !inHead:
		return nil
	}
	if limit := c.options.MaxHeadBytes(); limit > 0 && c.scanner.HeadBytes() > limit+headSlackBytes {
		b.refusedHeads.Inc()
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, nil)
		return errRefused
	}
	if err := c.reserveHead(); err != nil {
		c.refuse(http.StatusServiceUnavailable, c.options.RefusalHeader)
		return errRefused
	}
	return nil
}

func (c *Conn) reserveHead() error {
	more := c.scanner.HeadCost() - c.headHeld
	c.headHeld += more
	return c.options.Budget.reserve(c, more)
}

// readError turns the error of a read that end has interrupted into ErrNoRoom for handlers, and
// into a refusal of a head.
func (c *Conn) readError(err error) error {
	b := c.options.Budget
	b.mu.Lock()
	ended, arriving := c.entry.ended, c.entry.phase == arriving
	b.mu.Unlock()
	switch {
	case !ended || err == nil:
		return err
	case c.handling.Load():
		return ErrNoRoom
	case arriving && !c.options.TLS:
		c.refuse(http.StatusServiceUnavailable, c.options.RefusalHeader)
	}
	return errRefused
}

// refuse responds to a request whose head has not been passed on.
func (c *Conn) refuse(status int, header http.Header) {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\nConnection: close\r\n", status, http.StatusText(status))
	_ = header.Write(&b) // writing to a strings.Builder does not fail
	b.WriteString("\r\n")
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, b.String()); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}

// CloseWrite ends the sending direction, if the connection can.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// end interrupts the reading of the connection, whose entry has been marked as ended.
func (c *Conn) end() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// SetReadDeadline sets the deadline unless the connection is to end.
func (c *Conn) SetReadDeadline(t time.Time) error {
	b := c.options.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.entry.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines; see SetReadDeadline.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close closes the connection and frees its memory.
func (c *Conn) Close() error {
	c.closed.Do(func() { c.options.Budget.update(func(l *ledger, _ time.Time) { l.remove(&c.entry) }) })
	return c.Conn.Close()
}

// OnState is a ConnState hook of http.Server.
func OnState(conn net.Conn, state http.ConnState) {
	c := Of(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.handling.Store(true)
	case http.StateIdle:
		c.handling.Store(false)
		c.options.Budget.update(func(l *ledger, now time.Time) { l.rest(&c.entry, now) })
	}
}

// Of returns the counted connection under conn, nil if there is none.
func Of(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

type contextKey struct{}

// WithConn is a ConnContext hook of http.Server: handlers find the connection in the context.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, Of(conn))
}

// connOf returns the connection of a request, nil if no budget counts it.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
