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
	// Reconnection is tried soon, because freshness and leases last only 3 s.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// stallTimeout is how long nothing must have arrived over a connection before an
	// unanswered call closes it. Heartbeats arrive twice a second.
	stallTimeout = time.Second
	// maxHandlersPerConnection bounds the calls of one connection that run at the same time.
	maxHandlersPerConnection = 4096
)

var (
	// ErrUnreachable reports that there is no connection: nothing was sent.
	ErrUnreachable = errors.New("daemon is unreachable")
	// ErrNoAnswer reports that a call was sent but not answered; it may have run.
	ErrNoAnswer = errors.New("daemon did not answer")
	// ErrClosed reports that the client was closed: nothing was sent.
	ErrClosed = errors.New("peer client is closed")
)

// Options configures a Server and a Client. It must not be changed once used.
type Options struct {
	// Address is the daemon's own peer address, under which the others call it.
	Address string
	// Key is the shared peer key of the settings.
	Key string
	// ServerTLS and ClientTLS switch TLS on for accepted and for dialled
	// connections. GetConfigForClient and GetClientCertificate allow reload.
	ServerTLS, ClientTLS *tls.Config
	// MaxMessageBytes bounds a message in bytes; 0 means DefaultMaxMessage.
	MaxMessageBytes int
	// CallTimeout replaces DefaultCallTimeout when it is not 0.
	CallTimeout time.Duration
	// Clock gives and takes the timestamps of messages; nil means a clock of its own.
	Clock *timeline.Clock
	// Logger may be left zero.
	Logger logr.Logger
	// Faults lets tests block messages; nil blocks nothing.
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

// Block drops all messages from one address to another from now on.
func (f *Faults) Block(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blockedDirections == nil {
		f.blockedDirections = map[direction]bool{}
	}
	f.blockedDirections[direction{from, to}] = true
}

// Unblock ends the effect of Block.
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
