// Package tlsconf loads certificates and trust roots from files and reloads them when
// the files change.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// fileCheckInterval is the minimum time between checks for changed files. A connection
// that begins later than this after a change uses the new files.
const fileCheckInterval = time.Second

// Source provides TLS configurations with the current certificate and trust roots. It
// is safe for concurrent use.
type Source struct {
	certFile, keyFile, caFile string
	// OnReloadError is called with the error of a failed reload. It must be set before the
	// Source is used.
	OnReloadError func(error)

	mu             sync.Mutex
	lastCheck      time.Time
	loadedModTimes [3]time.Time
	cert           *tls.Certificate
	roots          *x509.CertPool
}

// New loads the files. If certFile is empty it returns a nil Source, whose Server and
// Client return nil for plain TCP.
func New(certFile, keyFile, caFile string) (*Source, error) {
	if certFile == "" {
		return nil, nil
	}
	s := &Source{certFile: certFile, keyFile: keyFile, caFile: caFile, OnReloadError: func(error) {}}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Source) load() error {
	cert, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", s.certFile, err)
	}
	pem, err := os.ReadFile(s.caFile)
	if err != nil {
		return fmt.Errorf("read trust roots: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("read trust roots: %s contains no certificate", s.caFile)
	}
	s.cert, s.roots, s.loadedModTimes = &cert, roots, s.modTimes()
	return nil
}

func (s *Source) modTimes() (times [3]time.Time) {
	for i, file := range []string{s.certFile, s.keyFile, s.caFile} {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// certificateAndRoots returns the current certificate and trust roots. It reloads them
// when a file changed. If that fails, for instance while the files are being replaced,
// it returns the previous ones.
func (s *Source) certificateAndRoots() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.lastCheck) > fileCheckInterval {
		s.lastCheck = now
		if s.modTimes() != s.loadedModTimes {
			if err := s.load(); err != nil {
				s.OnReloadError(err)
			}
		}
	}
	return s.cert, s.roots
}

// Server returns a server configuration. If mutual is set, clients must present a
// certificate that the trust roots verify.
func (s *Source) Server(mutual bool) *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := s.certificateAndRoots()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if mutual {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, roots
			}
			return c, nil
		},
	}
}

// Client returns a client configuration for connections to peers. Each connection uses
// the certificate and trust roots that are current at its handshake.
func (s *Source) Client() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.certificateAndRoots()
			return cert, nil
		},
		// The built-in verification uses the roots of the configuration, which cannot
		// change; VerifyConnection does the same checks with the current roots.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
	}
}

func (s *Source) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	_, roots := s.certificateAndRoots()
	options := x509.VerifyOptions{Roots: roots, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
