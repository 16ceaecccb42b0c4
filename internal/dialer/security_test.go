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

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	next int64
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{t: t, key: key, next: 2}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	return a
}

// write signs a fresh certificate and writes all files.
func (a *authority) write(folder string) *schema.TlsSettings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(a.next), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	a.next++
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
	a.put(cfg.GetCertificateFile(), "CERTIFICATE", der)
	a.put(cfg.GetPrivateKeyFile(), "PRIVATE KEY", private)
	a.put(cfg.GetAuthorityFile(), "CERTIFICATE", root)
	return cfg
}

func (a *authority) put(file, kind string, der []byte) {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// secure is a server and a pool with certificates from a folder.
func secure(t *testing.T, cfg *schema.TlsSettings, clock *timer.Service) *Security {
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

// TestCertificates connects processes of one authority, refuses those of another or of none, and follows new files.
func TestCertificates(t *testing.T) {
	now := time.Now()
	clock := timer.New(timer.WithNow(func() time.Time { return now }))
	folder := t.TempDir()
	own := newAuthority(t)
	server := secure(t, own.write(folder), clock)
	var group tomb.Tomb
	srv, err := server.ListenAndServe(&group, netip.MustParseAddrPort("127.0.0.1:0"), Peers,
		http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = srv.Close() }()
	if err := get(t, secure(t, own.write(t.TempDir()), clock), srv.Addr()); err != nil {
		t.Fatalf("a process of the fleet: %v", err)
	}
	stranger := newAuthority(t).write(t.TempDir())
	if get(t, secure(t, stranger, clock), srv.Addr()) == nil {
		t.Fatal("a process of another authority was let in")
	}
	without := &schema.TlsSettings{AuthorityFile: server.cfg.GetAuthorityFile()}
	if get(t, secure(t, without, clock), srv.Addr()) == nil {
		t.Fatal("a process without a certificate was let in")
	}
	before := server.load()
	own.write(folder)
	later := now.Add(time.Hour)
	for _, file := range []string{"cert.pem", "key.pem", "ca.pem"} {
		if err := os.Chtimes(filepath.Join(folder, file), later, later); err != nil {
			t.Fatal(err)
		}
	}
	if server.load() != before {
		t.Fatal("the files were read again too soon")
	}
	now = now.Add(reloadInterval + time.Second)
	if server.load() == before {
		t.Fatal("the new files were not read")
	}
	if err := get(t, secure(t, own.write(t.TempDir()), clock), srv.Addr()); err != nil {
		t.Fatalf("under the new certificate: %v", err)
	}
}
