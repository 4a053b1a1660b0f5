package accept

import (
	"net"
	"syscall"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// failingListener returns the errors first and then one connection.
type failingListener struct {
	net.Listener
	errs []error
	conn net.Conn
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *failingListener) Close() error { return nil }

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Guards against a process that ends because a connection could not be accepted.
func TestAcceptOutlastsErrors(t *testing.T) {
	conn, other := net.Pipe()
	defer func() { _, _ = conn.Close(), other.Close() }()
	l := Retry(&failingListener{errs: []error{syscall.EMFILE, syscall.ENOBUFS, syscall.EPERM}, conn: conn}, logr.Discard())
	accepted, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, conn, accepted)
}

// Guards against a listener that does not end while it waits after an error.
func TestCloseEndsAccept(t *testing.T) {
	errs := make([]error, 1000)
	for i := range errs {
		errs[i] = syscall.EMFILE
	}
	l := Retry(&failingListener{errs: errs}, logr.Discard())
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}
