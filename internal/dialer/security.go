// Package dialer makes the connections between the system's processes: HTTP/2 over TCP, with TLS when settings ask
// for it, and with a short bound on silence.
package dialer

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// pingAfter is the silence on a connection after which it is probed.
	pingAfter = time.Second
	// pingTimeout is the time for the probe's answer, after which the connection is closed.
	pingTimeout = time.Second
	// dialTimeout bounds a new connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes connections without requests.
	idleTimeout = 90 * time.Second
	// headerTimeout bounds the time that a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes = 64 << 10
	// maxStreams is the most requests at once on one connection.
	maxStreams = 10000
	// reloadInterval is how often certificate files are looked at.
	reloadInterval = 10 * time.Second
)

// Security holds the certificates of a process. Without settings, connections are plain.
type Security struct {
	cfg   *schema.TlsSettings
	timer *timer.Service
	log   *zap.Logger

	mu      sync.Mutex
	checked time.Time
	stamp   time.Time
	current *material
}

// material is one version of the certificate files.
type material struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// NewSecurity reads the certificate files. A nil cfg means plain connections.
func NewSecurity(cfg *schema.TlsSettings, t *timer.Service, log *zap.Logger) (*Security, error) {
	s := &Security{cfg: cfg, timer: t, log: log}
	if cfg == nil {
		return s, nil
	}
	m, err := s.read()
	if err != nil {
		return nil, err
	}
	s.current, s.checked, s.stamp = m, t.Now(), s.modified()
	return s, nil
}

func (s *Security) read() (*material, error) {
	// An operator's client has no certificate of its own.
	cert := tls.Certificate{}
	if s.cfg.GetCertificateFile() != "" {
		var err error
		if cert, err = tls.LoadX509KeyPair(s.cfg.GetCertificateFile(), s.cfg.GetPrivateKeyFile()); err != nil {
			return nil, errors.Wrap(err, "read certificate")
		}
	}
	pem, err := os.ReadFile(s.cfg.GetAuthorityFile())
	if err != nil {
		return nil, errors.Wrap(err, "read authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no certificate in %s", s.cfg.GetAuthorityFile())
	}
	return &material{certificate: &cert, authorities: pool}, nil
}

// modified returns the latest change of the certificate files.
func (s *Security) modified() time.Time {
	var latest time.Time
	for _, file := range []string{s.cfg.GetCertificateFile(), s.cfg.GetPrivateKeyFile(), s.cfg.GetAuthorityFile()} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// load returns the newest readable certificates. Files that can't be read leave the old ones in force.
func (s *Security) load() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	if now.Sub(s.checked) < reloadInterval {
		return s.current
	}
	s.checked = now
	stamp := s.modified()
	if stamp.Equal(s.stamp) {
		return s.current
	}
	if m, err := s.read(); err == nil {
		s.current, s.stamp = m, stamp
	}
	return s.current
}

// Scheme returns http or https.
func (s *Security) Scheme() string {
	if s.cfg == nil {
		return "http"
	}
	return "https"
}

// clientConfig verifies the peer against the authorities of the moment of the handshake. Names are not compared:
// peers are known by IP address, and only the fleet's authority signs.
func (s *Security) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		InsecureSkipVerify:     true, //nolint:gosec // verifyPeer takes its place.
		VerifyConnection:       s.verifyPeer,
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.load().certificate, nil },
		SessionTicketsDisabled: true,
	}
}

// serverConfig asks clients for a certificate of the fleet's authority when mutual is set.
func (s *Security) serverConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.load()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*m.certificate},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if mutual {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = m.authorities
			}
			return cfg, nil
		},
	}
}

func (s *Security) verifyPeer(state tls.ConnectionState) error {
	opts := x509.VerifyOptions{Roots: s.load().authorities, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return errors.Wrap(err, "verify peer")
}

// http2Config bounds silence on connections between the system's processes.
func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      pingAfter,
		PingTimeout:          pingTimeout,
		WriteByteTimeout:     pingTimeout,
	}
}
