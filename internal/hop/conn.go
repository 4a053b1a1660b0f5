// Package hop is an HTTP/1.1 client with a connection pool for requests to upstreams. Each
// connection carries one request at a time. Errors state whether any byte of the request was
// sent, which decides whether a non-idempotent request may be sent again.
package hop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"github.com/rattanscale/rattanscale/internal/responsebuffer"
	"github.com/rattanscale/rattanscale/internal/responsehead"
)

const (
	// dialTimeout bounds a connection attempt; upstreams are a few milliseconds away.
	dialTimeout = 700 * time.Millisecond
	// maxIdleReuse is the idle time up to which a connection is reused. Upstreams close idle
	// connections, and a request sent while its connection is being closed has an unknown outcome.
	maxIdleReuse = 3 * time.Second
	// tcpUserTimeout is the time without a TCP acknowledgement after which a connection is closed.
	tcpUserTimeout  = 3 * time.Second
	readBufferBytes = 4 << 10
	// maxInlineWriteBytes is the size up to which a request fits into the socket buffer of a new
	// connection, so that writing it does not block.
	maxInlineWriteBytes = 8 << 10
	// maxCopiedBodyBytes is the length up to which a body is copied behind the header, so that
	// both are written at once.
	maxCopiedBodyBytes = 64 << 10
	// maxSkippedResponses bounds the informational responses and the responses to earlier
	// requests that are skipped per exchange, and maxSkippedBytes the body of each.
	maxSkippedResponses = 2
	maxSkippedBytes     = 64 << 10
	// sharedHeadBytes bounds the memory of the long heads of all responses.
	sharedHeadBytes = 2 << 20
	// defaultMaxIdle bounds the idle connections to one upstream if the request sets no bound.
	defaultMaxIdle = 16
)

// Progress states how far an exchange went.
type Progress int

// The steps of an exchange.
const (
	// NotSent means that no byte of the request left the host.
	NotSent Progress = iota
	// Sent means that the upstream may have run the request.
	Sent
)

// Error is a failed exchange.
type Error struct {
	Progress Progress
	Cause    error
}

func (e *Error) Error() string { return e.Cause.Error() }

func (e *Error) Unwrap() error { return e.Cause }

var (
	errUnexpectedResponse = errors.New("upstream sent a response that does not belong to this request; the attempt counts as failed")
	errMergedHeads        = errors.New("upstream sent a response head that contains another one; the attempt counts as failed")
	errNotAtBoundary      = errors.New("upstream closed the new connection, or sent bytes on it, before the request; the request was not sent")
	errSkippedTooLong     = fmt.Errorf("upstream sent a response to an earlier request with more than %d bytes; the attempt counts as failed", maxSkippedBytes)
	errPoolClosed         = errors.New("the connection pool is closed; the request was not sent")
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request; it may be empty. A response counts only if it echoes the same
	// identifier, or none if ID is empty. The request is not sent on a connection whose recent
	// requests include one of the same identifier, because a late copy of that response could
	// not be told apart.
	ID string
	// BeforeSend is called once there is a connection, right before the first byte is
	// written. After an error the request is not sent. It may be nil.
	BeforeSend func() error
	// MaxIdle bounds the idle connections to the upstream that are kept after the exchange; 0
	// uses the default.
	MaxIdle int
}

// Pool holds idle connections by upstream address. It is safe for concurrent use;
// its owner calls Close.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	dialer net.Dialer
	// responseID returns the identifier of the request that a response echoes, "" if none.
	responseID func(h http.Header) string
	onOpen     func()
	// heads is the room for long heads.
	heads *responsebuffer.Buffer
}

// NewPool returns an empty pool. responseID returns the identifier of the request that a response
// echoes, "" if it echoes none. onOpen is called for each new connection and may be nil.
func NewPool(responseID func(h http.Header) string, onOpen func()) *Pool {
	p := &Pool{
		idle: make(map[string][]*conn), responseID: responseID, onOpen: onOpen,
		heads: responsebuffer.New(responsehead.MaxBytes, sharedHeadBytes),
	}
	p.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return p
}

type conn struct {
	net.Conn
	address string
	// checked reads from Conn, below reader, and checks responses. It writes the requests, on which
	// the end of a response without a length depends.
	checked      *responsehead.Conn
	reader       *bufio.Reader
	lastUsed     time.Time
	reuseTimeout time.Duration
	// recentIDs holds the identifiers of the latest requests, the oldest first.
	recentIDs []string
}

// rememberedIDs is the number of requests of a connection after which a late copy of a
// response is no longer expected.
const rememberedIDs = 32

// Close closes the idle connections, and those in use once their exchange ends. Later
// requests are not sent.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, conns := range p.idle {
		for _, c := range conns {
			_ = c.Conn.Close()
		}
		delete(p.idle, address)
	}
}

func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// CloseStale closes connections whose idle time is above their reuse time-out.
func (p *Pool) CloseStale(now time.Time) {
	p.mu.Lock()
	var stale []*conn
	for address, conns := range p.idle {
		reusable := conns[:0]
		for _, c := range conns {
			if now.Sub(c.lastUsed) > c.reuseTimeout {
				stale = append(stale, c)
			} else {
				reusable = append(reusable, c)
			}
		}
		if len(reusable) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = reusable
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		_ = c.Conn.Close()
	}
}

// takeIdle returns an idle connection that may carry the request, or nil if there is none.
func (p *Pool) takeIdle(address string, r *Request, now time.Time) (*conn, error) {
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, errPoolClosed
		}
		conns := p.idle[address]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil, nil
		}
		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		p.mu.Unlock()
		if !slices.Contains(c.recentIDs, r.ID) && now.Sub(c.lastUsed) <= c.reuseTimeout {
			return c, nil
		}
		_ = c.Conn.Close()
	}
}

// connect returns a connection that is at the start of a message, so that the next byte on it is
// the first of the response. It calls BeforeSend before it checks the connection.
func (p *Pool) connect(ctx context.Context, address string, r *Request) (*conn, error) {
	for {
		c, err := p.takeIdle(address, r, time.Now())
		if err != nil {
			return nil, err
		}
		isNew := c == nil
		if isNew {
			if c, err = p.dial(ctx, address); err != nil {
				return nil, err
			}
		}
		if r.BeforeSend != nil {
			if err := r.BeforeSend(); err != nil {
				p.putIdle(c, time.Now(), r.idleLimit())
				return nil, err
			}
		}
		if c.atBoundary() {
			return c, nil
		}
		_ = c.Conn.Close()
		if isNew {
			return nil, errNotAtBoundary
		}
	}
}

func (p *Pool) putIdle(c *conn, now time.Time, limit int) {
	c.lastUsed = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= limit {
		_ = c.Conn.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		setUserTimeout(tcp)
	}
	if p.onOpen != nil {
		p.onOpen()
	}
	checked := responsehead.NewConn(raw, p.heads)
	return &conn{Conn: raw, address: address, checked: checked, reader: bufio.NewReaderSize(checked, readBufferBytes), reuseTimeout: maxIdleReuse}, nil
}

func setUserTimeout(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// If the option cannot be set, the deadline of the exchange detects a failed peer later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// Do sends the request and returns the response once its header was read. The caller must call
// Response.Close or Response.Drain. When ctx ends the connection is closed, also while the body
// is read. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Progress: NotSent, Cause: err}
	}
	c, err := p.connect(ctx, address, r)
	if err != nil {
		return nil, &Error{Progress: NotSent, Cause: err}
	}
	// Closing the connection makes the upstream stop its work.
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	head, err := p.exchange(c, r)
	if err != nil {
		stop()
		_ = c.Conn.Close()
		c.checked.ReleaseHead()
		return nil, &Error{Progress: Sent, Cause: err}
	}
	c.remember(r.ID)
	c.applyKeepAlive(head)
	return &Response{
		Status: head.StatusCode, Header: head.Header, Framed: head.ContentLength >= 0 || len(head.TransferEncoding) > 0,
		body: head.Body, head: head, conn: c, pool: p, stopWatch: stop, reusable: !head.Close && !r.closes(),
		maxIdle: r.idleLimit(),
	}, nil
}

func (r *Request) idleLimit() int { return lo.Ternary(r.MaxIdle > 0, r.MaxIdle, defaultMaxIdle) }

func (r *Request) closes() bool { return strings.EqualFold(r.Header.Get("Connection"), "close") }

func (p *Pool) exchange(c *conn, r *Request) (*http.Response, error) {
	writeDone := c.send(r.encode())
	response, err := p.receive(c, r)
	if err != nil {
		return nil, err
	}
	select {
	case err := <-writeDone:
		response.Close = response.Close || err != nil
	default:
		// An upstream may answer before it has read a long body. The connection is not
		// reused, since the rest of that body has not been written.
		response.Close = true
	}
	return response, nil
}

// send writes the request. Large requests are written concurrently with reading the response.
func (c *conn) send(message []byte, rest []byte) <-chan error {
	written := make(chan error, 1)
	c.checked.BeginRequest()
	write := func() {
		_, err := c.checked.Write(message)
		if err == nil && len(rest) > 0 {
			_, err = c.checked.Write(rest)
		}
		c.checked.EndRequest(err)
		written <- err
	}
	if len(message)+len(rest) <= maxInlineWriteBytes {
		write()
	} else {
		go write() // ends no later than when the connection is closed
	}
	return written
}

func (p *Pool) receive(c *conn, r *Request) (*http.Response, error) {
	method := &http.Request{Method: r.Method}
	for range maxSkippedResponses + 1 {
		if err := c.beginHead(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK { // informational responses (1xx)
			continue
		}
		if ContainsHead(response) {
			return nil, errMergedHeads
		}
		id := p.responseID(response.Header)
		if id == r.ID {
			return response, nil
		}
		if response.Close || !slices.Contains(c.recentIDs, id) {
			return nil, errUnexpectedResponse
		}
		// The upstream answered an earlier request twice; the response to this one follows.
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1)); err != nil {
			return nil, err
		} else if n > maxSkippedBytes {
			return nil, errSkippedTooLong
		}
	}
	return nil, errUnexpectedResponse
}

// beginHead expects the head of a response, of which a part may be in the buffer.
func (c *conn) beginHead() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.checked.Begin(buffered)
}

// remember records the identifier of a request that the connection has carried.
func (c *conn) remember(id string) {
	if len(c.recentIDs) == rememberedIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
}

// encode returns the request in one part, or with a long body, which is not copied, in two.
func (r *Request) encode() (message, rest []byte) {
	var b bytes.Buffer
	copied := len(r.Body)
	if copied > maxCopiedBodyBytes {
		copied = 0
	}
	b.Grow(512 + copied)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writing to a bytes.Buffer does not fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body[:copied])
	return b.Bytes(), r.Body[copied:]
}

func (c *conn) applyKeepAlive(r *http.Response) {
	for part := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil {
			// Half of the stated time avoids sending while the upstream closes the connection.
			c.reuseTimeout = min(maxIdleReuse, time.Duration(seconds)*time.Second/2)
		}
	}
}

// Response is an upstream's response. Its body is read with Read.
type Response struct {
	Status int
	Header http.Header
	// Framed is set if the response has a content length or a transfer encoding. The body of
	// other responses ends with the connection.
	Framed bool

	body io.ReadCloser
	// head holds the trailer once the body has been read.
	head      *http.Response
	conn      *conn
	pool      *Pool
	stopWatch func() bool
	reusable  bool
	complete  bool
	maxIdle   int
}

// Read reads the body. io.EOF is returned only for a complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		if trailerErr := responsehead.CheckTrailer(r.head.Trailer); trailerErr != nil {
			return n, trailerErr
		}
		r.complete = true
	}
	return n, err
}

func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// Close returns the connection to the pool after a complete body, and closes it otherwise.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	c.checked.ReleaseHead()
	notCancelled := r.stopWatch()
	if r.complete && r.reusable && notCancelled && c.reader.Buffered() == 0 {
		_ = c.SetReadDeadline(time.Time{})
		r.pool.putIdle(c, time.Now(), r.maxIdle)
		return
	}
	_ = c.Conn.Close()
}

// maxDrainBytes bounds the part of a body that is discarded in order to reuse the connection.
const maxDrainBytes = 16 << 10

// Drain discards up to maxDrainBytes of the rest of the body, so that the connection can be
// reused, and closes the response. A body that ends with the connection is not read, since its end
// waits until the request has been written.
func (r *Response) Drain() {
	if r.Framed || r.reusable {
		// After a failed read the body is incomplete, so Close closes the connection.
		_, _ = io.CopyN(io.Discard, r, maxDrainBytes)
	}
	r.Close()
}
