package peer

import (
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/timeline"
)

const (
	// DefaultCallTimeout applies to calls whose context has no deadline.
	DefaultCallTimeout = 2 * time.Second
	handshakeTimeout   = 2 * time.Second
	// Redial delays are short, because freshness and leases last only 3 s.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// probeDelay is the time that a call waits before its connection is probed, and probeTimeout
	// the time within which something must then arrive, or the connection is closed. Together
	// they leave time for a second try within the second that callers wait.
	probeDelay   = 100 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// methodPing is the call by which a connection is probed. Any response will do, also that
	// of an older daemon that does not know the method.
	methodPing = "peer.ping"
	// maxHandlersPerConnection limits the handlers that run concurrently for one connection.
	maxHandlersPerConnection = 4096
)

var (
	// ErrUnreachable reports that there is no connection; the message was not sent.
	ErrUnreachable = errors.New("daemon is unreachable")
	// ErrNoResponse reports that a call was sent but got no response; it may have run.
	ErrNoResponse = errors.New("daemon did not respond")
	// ErrClosed reports that the client is closed; the message was not sent.
	ErrClosed = errors.New("peer client is closed")
)

// Options configures a Server and a Client. It must not be modified after New.
type Options struct {
	// Address is the daemon's own peer address, which other daemons dial.
	Address string
	// Key is the shared peer key (settings field keys.peer).
	Key string
	// ServerTLS and ClientTLS enable TLS on accepted and on dialled connections.
	// Their callbacks GetConfigForClient and GetClientCertificate allow certificates
	// to be reloaded.
	ServerTLS, ClientTLS *tls.Config
	// MaxMessageBytes limits the length of a message; 0 means DefaultMaxMessageBytes.
	MaxMessageBytes int
	// CallTimeout applies to calls whose context has no deadline; 0 means
	// DefaultCallTimeout.
	CallTimeout time.Duration
	// Clock timestamps sent messages and advances to the timestamps of received ones;
	// nil means a new clock.
	Clock *timeline.Clock
	// Logger is optional; the zero value discards all messages.
	Logger logr.Logger
	// Faults lets tests block messages; nil blocks none.
	Faults *Faults
}

func (o Options) withDefaults() *Options {
	if o.MaxMessageBytes == 0 {
		o.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.Clock == nil {
		o.Clock = timeline.NewClock(time.Now)
	}
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	return &o
}

type direction struct{ from, to string }

// Faults blocks messages between addresses, for tests. It is safe for concurrent use.
type Faults struct {
	mu                sync.Mutex
	blockedDirections map[direction]bool
}

// Block drops all messages from one address to another until Unblock is called.
func (f *Faults) Block(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blockedDirections == nil {
		f.blockedDirections = map[direction]bool{}
	}
	f.blockedDirections[direction{from, to}] = true
}

func (f *Faults) Unblock(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.blockedDirections, direction{from, to})
}

func (f *Faults) isBlocked(from, to string) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blockedDirections[direction{from, to}]
}
