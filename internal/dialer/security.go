// Package dialer provides the HTTP clients and servers of a fleet's processes. Peers use HTTP/2 over TCP, with mutual TLS
// if configured, and detect unresponsive connections within a short time.
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
	// sendPingTimeout is how long no frame may arrive on a connection before a ping is sent.
	sendPingTimeout = time.Second
	// pingTimeout is how long a ping may go unanswered before the connection is closed. A peer's silent connections are found
	// before that (silenceLimit), so that their requests fail with a known cause.
	pingTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 90 * time.Second
	// headerTimeout bounds the time that a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// MaxHeaderBytes bounds the size of the headers of a request.
	MaxHeaderBytes = 64 << 10
	// maxResponseHeaderBytes bounds a peer's response headers. HTTP/2 counts 32 bytes more for each field.
	maxResponseHeaderBytes = 1 << 20
	// maxReplyBytes bounds the body of a control host's reply.
	maxReplyBytes = 64 << 20
	// maxStreams bounds the concurrent requests on one connection.
	maxStreams = 10000
	// MaxStreamBuffer bounds the bytes of a peer's response that are received but not read yet. At 9 ms from one failure domain to
	// another and back it allows 14 MB/s.
	MaxStreamBuffer = 128 << 10
	// reloadInterval is the minimum time between checks for changed certificate files.
	reloadInterval = 10 * time.Second
)

// Security holds the certificates of a process. Without TLS settings its connections are unencrypted.
type Security struct {
	cfg   *schema.TlsSettings
	timer *timer.Service
	log   *zap.Logger

	mu        sync.Mutex
	lastCheck time.Time
	modTime   time.Time
	current   *certificates
}

// certificates holds the contents of the certificate files.
type certificates struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// NewSecurity reads the certificate files. With a nil cfg connections are unencrypted.
func NewSecurity(cfg *schema.TlsSettings, t *timer.Service, log *zap.Logger) (*Security, error) {
	s := &Security{cfg: cfg, timer: t, log: log}
	if cfg == nil {
		return s, nil
	}
	certs, err := s.read()
	if err != nil {
		return nil, err
	}
	s.current, s.lastCheck, s.modTime = certs, t.Now(), s.latestModTime()
	return s, nil
}

func (s *Security) read() (*certificates, error) {
	// An operator's client has no certificate file, so its certificate is empty.
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
	return &certificates{certificate: &cert, authorities: pool}, nil
}

// latestModTime returns the latest modification time of the certificate files.
func (s *Security) latestModTime() time.Time {
	var latest time.Time
	for _, file := range []string{s.cfg.GetCertificateFile(), s.cfg.GetPrivateKeyFile(), s.cfg.GetAuthorityFile()} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// loadCurrent reloads the certificate files if they changed and returns the current certificates. If the changed files
// can't be read, the old certificates stay in use.
func (s *Security) loadCurrent() *certificates {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	if now.Sub(s.lastCheck) < reloadInterval {
		return s.current
	}
	s.lastCheck = now
	modTime := s.latestModTime()
	if modTime.Equal(s.modTime) {
		return s.current
	}
	if certs, err := s.read(); err == nil {
		s.current, s.modTime = certs, modTime
	}
	return s.current
}

// Scheme returns the URL scheme of connections, http or https.
func (s *Security) Scheme() string {
	if s.cfg == nil {
		return "http"
	}
	return "https"
}

// clientConfig returns a configuration that verifies the peer against the authorities current at the handshake. It does
// not check host names: peers are addressed by IP, and the authorities sign only certificates of the fleet.
func (s *Security) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		InsecureSkipVerify:     true, //nolint:gosec // verifyPeer verifies the certificate chain instead.
		VerifyConnection:       s.verifyPeer,
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.loadCurrent().certificate, nil },
		SessionTicketsDisabled: true,
	}
}

// serverConfig returns the server's configuration. With mutual, clients need a certificate signed by a fleet authority.
func (s *Security) serverConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certs := s.loadCurrent()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certs.certificate},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if mutual {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = certs.authorities
			}
			return cfg, nil
		},
	}
}

func (s *Security) verifyPeer(state tls.ConnectionState) error {
	opts := x509.VerifyOptions{Roots: s.loadCurrent().authorities, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return errors.Wrap(err, "verify peer")
}

// http2ClientConfig returns settings that also bound what a connection holds of a response that is read slowly.
func http2ClientConfig() *http.HTTP2Config {
	cfg := http2Config()
	cfg.MaxReceiveBufferPerStream = MaxStreamBuffer
	return cfg
}

// http2Config returns settings that close a connection when the other side stops responding.
func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      sendPingTimeout,
		PingTimeout:          pingTimeout,
		WriteByteTimeout:     pingTimeout,
	}
}
