package dialer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

// authority is a certificate authority for tests.
type authority struct {
	t          *testing.T
	key        *ecdsa.PrivateKey
	cert       *x509.Certificate
	nextSerial int64
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{t: t, key: key, nextSerial: 2}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	return a
}

// issue issues a new certificate and writes it, its key and the certificate of the authority to a folder.
func (a *authority) issue(folder string) *schema.TlsSettings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(a.nextSerial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	a.nextSerial++
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	root, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	cfg := &schema.TlsSettings{
		CertificateFile: filepath.Join(folder, "cert.pem"), PrivateKeyFile: filepath.Join(folder, "key.pem"),
		AuthorityFile: filepath.Join(folder, "ca.pem"),
	}
	a.writePEM(cfg.GetCertificateFile(), "CERTIFICATE", der)
	a.writePEM(cfg.GetPrivateKeyFile(), "PRIVATE KEY", private)
	a.writePEM(cfg.GetAuthorityFile(), "CERTIFICATE", root)
	return cfg
}

func (a *authority) writePEM(file, kind string, der []byte) {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func newSecurity(t *testing.T, cfg *schema.TlsSettings, clock *timer.Service) *Security {
	s, err := NewSecurity(cfg, clock, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func get(t *testing.T, client *Security, addr netip.AddrPort) error {
	pool := NewPool(client, timer.New())
	defer pool.Close()
	peer := pool.Peer(addr)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, peer.URL("/"), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := peer.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// A server accepts clients with a certificate of its own authority, refuses clients with a certificate of another one or
// none, and reloads changed files.
func TestCertificates(t *testing.T) {
	now := time.Now()
	clock := timer.New(timer.WithNow(func() time.Time { return now }))
	folder := t.TempDir()
	fleet := newAuthority(t)
	server := newSecurity(t, fleet.issue(folder), clock)
	var group tomb.Tomb
	srv, err := server.ListenAndServe(&group, netip.MustParseAddrPort("127.0.0.1:0"), Peers,
		http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = srv.Close() }()
	if err := get(t, newSecurity(t, fleet.issue(t.TempDir()), clock), srv.Addr()); err != nil {
		t.Fatalf("client of the same authority: %v", err)
	}
	other := newAuthority(t).issue(t.TempDir())
	if get(t, newSecurity(t, other, clock), srv.Addr()) == nil {
		t.Fatal("client of another authority was accepted")
	}
	noCertificate := &schema.TlsSettings{AuthorityFile: server.cfg.GetAuthorityFile()}
	if get(t, newSecurity(t, noCertificate, clock), srv.Addr()) == nil {
		t.Fatal("client without a certificate was accepted")
	}
	before := server.loadCurrent()
	fleet.issue(folder)
	later := now.Add(time.Hour)
	for _, file := range []string{"cert.pem", "key.pem", "ca.pem"} {
		if err := os.Chtimes(filepath.Join(folder, file), later, later); err != nil {
			t.Fatal(err)
		}
	}
	if server.loadCurrent() != before {
		t.Fatal("the files were reloaded before the reload interval had passed")
	}
	now = now.Add(reloadInterval + time.Second)
	if server.loadCurrent() == before {
		t.Fatal("the changed files were not reloaded")
	}
	if err := get(t, newSecurity(t, fleet.issue(t.TempDir()), clock), srv.Addr()); err != nil {
		t.Fatalf("with the new certificate: %v", err)
	}
}
