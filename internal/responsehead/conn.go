package responsehead

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanscale/rattanscale/internal/responsebuffer"
)

// Conn is a connection to an upstream that checks the heads of responses as they are read. It
// returns no byte from the first malformed one on, and no io.EOF for a response without a length
// whose request was not written whole. It is safe for concurrent use.
type Conn struct {
	net.Conn
	request requestWrite
	// room is for long heads; nil does not bound them together.
	room    *responsebuffer.Buffer
	mu      sync.Mutex
	scanner Scanner
	// holdsRoom is set while a long head is held.
	holdsRoom bool
}

const (
	// shortHeadBytes is the length up to which a head needs no room that connections share.
	shortHeadBytes = 8 << 10
	// longHeadRoom is the room of a longer one: its lines as they are read, and its fields.
	longHeadRoom = 2 * MaxBytes
)

// NewConn returns a connection that checks nothing until Begin is called. Connections with the same
// room share it for long heads, until ReleaseHead is called; room may be nil.
func NewConn(c net.Conn, room *responsebuffer.Buffer) *Conn {
	return &Conn{Conn: c, room: room, request: newRequestWrite()}
}

// ReleaseHead frees the room of the head. It is called once the response has been closed.
func (c *Conn) ReleaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdsRoom {
		c.room.Release(longHeadRoom)
		c.holdsRoom = false
	}
}

// reserveForHead takes room once the head is long. c.mu must be held.
func (c *Conn) reserveForHead() error {
	if c.room == nil || c.holdsRoom || c.scanner.HeadBytes() <= shortHeadBytes {
		return nil
	}
	if c.holdsRoom = c.room.Reserve(longHeadRoom); !c.holdsRoom {
		return responsebuffer.ErrFull
	}
	return nil
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin expects the head of a response. buffered holds what has been read of it already.
func (c *Conn) Begin(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Begin()
	_, err := c.scan(buffered)
	return err
}

// scan checks bytes and returns the number of those that may be passed on. c.mu must be held.
func (c *Conn) scan(b []byte) (int, error) {
	if proper, err := c.scanner.Scan(b); err != nil {
		return proper, err
	}
	if err := c.reserveForHead(); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	checked, endsWithConnection, scanErr := c.scanRead(b[:n])
	if scanErr != nil {
		return checked, scanErr
	}
	// Only here does the end of the connection become the end of a body.
	if errors.Is(err, io.EOF) && endsWithConnection {
		if endErr := c.request.checkEnd(); endErr != nil {
			return n, endErr
		}
	}
	return n, err
}

// scanRead checks the bytes of a read and reports whether the body that follows ends with the connection.
func (c *Conn) scanRead(b []byte) (checked int, endsWithConnection bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	checked, err = c.scan(b)
	return checked, c.scanner.EndsWithConnection(), err
}

// headBegun reports whether a byte has been read since Begin.
func (c *Conn) headBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.HeadBytes() > 0
}

func (c *Conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Err()
}

// Transport is an http.Transport that checks responses as Conn does. Its fields may be set until
// its first use, except for those that dial.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of t, which must not be used otherwise.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c, nil), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		encrypted, err := handshake(ctx, c, address, t.TLSClientConfig, t.TLSHandshakeTimeout)
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return NewConn(encrypted, nil), nil
	}
	return &Transport{t}
}

// handshake starts TLS on a connection. Without a timeout only ctx bounds it.
func handshake(ctx context.Context, c net.Conn, address string, settings *tls.Config, timeout time.Duration) (net.Conn, error) {
	if settings == nil {
		settings = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if settings.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		settings = settings.Clone()
		settings.ServerName = host
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	encrypted := tls.Client(c, settings)
	return encrypted, encrypted.HandshakeContext(ctx)
}

// errSpare reports bytes that came before their request, or after the response to an earlier one.
// They were read while no head was expected, so nothing has checked them.
var errSpare = fmt.Errorf("%w: it was sent before the request, or is a second one to an earlier request", ErrMalformed)

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	var isSpare atomic.Bool
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		// The connection is given to this request alone. The library may have bytes of it in its
		// buffer that are no part of the response.
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				used.Store(c)
				c.BeginRequest()
				_ = c.Begin(nil) // a malformed head before shows in the next read
			}
		},
		// The library ends its writes to a connection before it retries on another one, so this is
		// about the connection in use.
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := used.Load(); c != nil {
				c.EndRequest(info.Err)
			}
		},
		// Only what reads the connection calls this, before it reads more.
		GotFirstResponseByte: func() {
			if c := used.Load(); c != nil && !c.headBegun() {
				isSpare.Store(true)
			}
		},
	})
	response, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err == nil && isSpare.Load() {
		_ = used.Load().Close()
		_ = response.Body.Close()
		return nil, errSpare
	}
	return response, err
}
