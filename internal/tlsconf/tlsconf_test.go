package tlsconf

import (
	"crypto/tls"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/tlsconf/tlstest"
)

// handshake returns the serial number of the certificate that the server presented.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_ = conn.(*tls.Conn).Handshake()
			_, _ = conn.Write([]byte{1})
			_ = conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err // with TLS 1.3 a rejected client certificate is reported by the first read
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a replaced certificate that is used only after a restart, and against
// outgoing connections that still use the old trust roots.
func TestReplacedFilesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	cert, key := tlstest.WriteCertificate(t, dir, 1)
	source, err := New(cert, key, cert)
	require.NoError(t, err)
	server, client := source.Server(true), source.Client()
	serial, err := handshake(t, server, client)
	require.NoError(t, err)
	require.EqualValues(t, 1, serial)

	tlstest.WriteCertificate(t, dir, 2)
	source.lastCheck = time.Time{}
	serial, err = handshake(t, server, client)
	require.NoError(t, err)
	require.EqualValues(t, 2, serial)
}

// Guards against accepting a peer whose certificate has another trust root.
func TestUnknownRootIsRefused(t *testing.T) {
	cert, key := tlstest.WriteCertificate(t, t.TempDir(), 1)
	mine, err := New(cert, key, cert)
	require.NoError(t, err)
	cert, key = tlstest.WriteCertificate(t, t.TempDir(), 2)
	other, err := New(cert, key, cert)
	require.NoError(t, err)
	_, err = handshake(t, mine.Server(true), other.Client())
	require.Error(t, err)
	_, err = handshake(t, mine.Server(true), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, err, "a client without a certificate must be refused")
}
