package dialer

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// serveHandler serves a handler to peers and returns its peer.
func serveHandler(t *testing.T, h http.HandlerFunc) *Peer {
	t.Helper()
	s, err := NewSecurity(nil, timer.New(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	servers := &tomb.Tomb{}
	srv, err := s.ListenAndServe(servers, netip.MustParseAddrPort("127.0.0.1:0"), Peers, h)
	if err != nil {
		t.Fatal(err)
	}
	pool := NewPool(s, timer.New())
	t.Cleanup(func() {
		pool.Close()
		_ = srv.Close()
		_ = servers.Wait()
	})
	return pool.Peer(srv.Addr())
}

func roundTrip(t *testing.T, p *Peer, tr http.RoundTripper) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, p.URL("/"), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	return tr.RoundTrip(req)
}

func TestUnendingReplyIsNotStored(t *testing.T) {
	p := serveHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 1<<20)
		for range 2 * maxReplyBytes / len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	resp, err := roundTrip(t, p, WithToken(p, "token"))
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if !errors.As(err, new(*http.MaxBytesError)) || n != maxReplyBytes {
		t.Errorf("read %d bytes, %v; want %d and an error", n, err, maxReplyBytes)
	}
	_ = resp.Body.Close()
	for began := time.Now(); p.openRequests.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > time.Second {
			t.Fatal("the request is still open")
		}
	}
}

func TestPeerHeadersOverTheLimitFail(t *testing.T) {
	p := serveHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 2 * maxResponseHeaderBytes / (64 << 10) {
			w.Header().Set("Name-"+string(rune('A'+i)), strings.Repeat("x", 64<<10))
		}
	})
	if resp, err := roundTrip(t, p, p); err == nil {
		_ = resp.Body.Close()
		t.Errorf("headers of %d bytes were read", 2*maxResponseHeaderBytes)
	}
}
