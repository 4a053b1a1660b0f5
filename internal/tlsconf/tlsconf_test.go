package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeFiles writes a certificate for 127.0.0.1 that is its own trust root.
func writeFiles(t *testing.T, dir string, serial int64) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	return cert, key
}

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
		return 0, err // TLS 1.3 reports a refused client certificate here
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a replaced certificate that needs a restart, and against old
// trust roots that stay in use for outgoing connections.
func TestReplacedFilesAreUsedWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	cert, key := writeFiles(t, dir, 1)
	source, err := New(cert, key, cert)
	require.NoError(t, err)
	server, client := source.Server(true), source.Client()
	serial, err := handshake(t, server, client)
	require.NoError(t, err)
	require.EqualValues(t, 1, serial)

	writeFiles(t, dir, 2)
	source.checked = time.Time{}
	serial, err = handshake(t, server, client)
	require.NoError(t, err)
	require.EqualValues(t, 2, serial)
}

// Guards against a peer with a certificate of another root.
func TestUnknownRootIsRefused(t *testing.T) {
	cert, key := writeFiles(t, t.TempDir(), 1)
	mine, err := New(cert, key, cert)
	require.NoError(t, err)
	cert, key = writeFiles(t, t.TempDir(), 2)
	other, err := New(cert, key, cert)
	require.NoError(t, err)
	_, err = handshake(t, mine.Server(true), other.Client())
	require.Error(t, err)
	_, err = handshake(t, mine.Server(true), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, err, "a client without a certificate must be refused")
}
