package responsehead

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/responsebuffer"
)

// Conn is a connection to an upstream that checks the heads of responses as they are read. It
// returns no byte from the first malformed one on. It is safe for concurrent use.
type Conn struct {
	net.Conn
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
func NewConn(c net.Conn, room *responsebuffer.Buffer) *Conn { return &Conn{Conn: c, room: room} }

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
	if _, err := c.scanner.Scan(buffered); err != nil {
		return err
	}
	return c.reserveForHead()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if proper, headErr := c.scanner.Scan(b[:n]); headErr != nil {
		return proper, headErr
	}
	if roomErr := c.reserveForHead(); roomErr != nil {
		return 0, roomErr
	}
	return n, err
}

func (c *Conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Err()
}

// Transport is an http.Transport that checks the heads of responses. Its fields may be set until
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

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		// The connection is given to this request alone, and nothing of its response has been read.
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				_ = c.Begin(nil) // a malformed head before shows in the next read
			}
		},
	})
	return t.Transport.RoundTrip(r.WithContext(ctx))
}
