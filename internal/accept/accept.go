// Package accept makes listeners outlast errors of Accept. A process that has no file descriptors
// or memory left for a moment must go on serving its open connections, and accept again later.
package accept

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// minPause is the pause after a failed Accept. It doubles up to maxPause while Accept fails.
	minPause = 5 * time.Millisecond
	maxPause = time.Second
	// logInterval is the time between two log lines on failures.
	logInterval = 10 * time.Second
)

// Listen listens on a local address. Accept of the listener returns an error only after Close.
func Listen(network, address string, log logr.Logger) (net.Listener, error) {
	listener, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return Retry(listener, log), nil
}

// Retry returns a listener that calls Accept again, after a pause, when it fails. It returns an
// error only after the listener was closed.
func Retry(listener net.Listener, log logr.Logger) net.Listener {
	return &retryingListener{Listener: listener, log: log, closed: make(chan struct{})}
}

type retryingListener struct {
	net.Listener
	log logr.Logger

	closeOnce sync.Once
	closed    chan struct{}

	logMu    sync.Mutex
	loggedAt time.Time
}

func (l *retryingListener) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.logFailure(err)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		}
	}
}

func (l *retryingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *retryingListener) logFailure(err error) {
	l.logMu.Lock()
	defer l.logMu.Unlock()
	if now := time.Now(); l.loggedAt.IsZero() || now.Sub(l.loggedAt) >= logInterval {
		l.loggedAt = now
		l.log.Error(err, "connection could not be accepted; trying again", "address", l.Addr().String())
	}
}
