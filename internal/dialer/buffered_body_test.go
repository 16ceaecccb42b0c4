package dialer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/budgeter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// startBuffered serves a handler that echoes bodies, with the given memory and limit for them.
func startBuffered(t *testing.T, memory, limit int64) (*budgeter.Budget, netip.AddrPort) {
	t.Helper()
	tm := timer.New()
	s, err := NewSecurity(nil, tm, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	b := budgeter.New(tm, memory)
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	servers := &tomb.Tomb{}
	srv, err := s.ListenAndServe(servers, netip.MustParseAddrPort("127.0.0.1:0"), Operators, BufferBodies(b, limit, echo))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = srv.Close()
		_ = servers.Wait()
	})
	return b, srv.Addr()
}

func TestBufferBodies(t *testing.T) {
	const limit, memory = 100 << 10, 1 << 20
	tests := []struct {
		size int
		want int
	}{
		{0, http.StatusOK},
		{100, http.StatusOK},
		{limit, http.StatusOK},
		{limit + 1, http.StatusRequestEntityTooLarge},
		{memory, http.StatusRequestEntityTooLarge},
	}
	b, addr := startBuffered(t, memory, limit)
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.size), func(t *testing.T) {
			body := strings.Repeat("x", tt.size)
			resp, err := http.Post("http://"+addr.String(), "text/plain", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != tt.want || (tt.want == http.StatusOK && string(got) != body) {
				t.Errorf("status %d, %d bytes, %v; want status %d", resp.StatusCode, len(got), err, tt.want)
			}
			_ = resp.Body.Close()
		})
	}
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes are charged after the last response", used)
	}
}

// TestStalledBodyKeepsMemory guards against a body that stops just short of its end and keeps others out.
func TestStalledBodyKeepsMemory(t *testing.T) {
	const size = 64 << 10
	_, addr := startBuffered(t, bufferedCost*size, size)
	stalled, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stalled.Close() }()
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	if _, err := io.WriteString(stalled, head+strings.Repeat("x", size-1)); err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Post("http://"+addr.String(), "text/plain", strings.NewReader(strings.Repeat("y", size)))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			break
		}
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || time.Since(began) > 20*time.Second {
			t.Fatalf("status %d after %s", resp.StatusCode, time.Since(began))
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the stalled request: %v, %v", resp, err)
	}
}

// TestPeersRejectHTTP1 guards against header sections of HTTP/1.1 at a port where only nodes send requests.
func TestPeersRejectHTTP1(t *testing.T) {
	p := serveHandler(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	resp, err := roundTrip(t, p, p)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatalf("request of a node: %v, %v", resp, err)
	}
	_ = resp.Body.Close()
	if resp, err := http.Get(p.URL("/")); err == nil {
		_ = resp.Body.Close()
		t.Errorf("status %d to a request with HTTP/1.1, want none", resp.StatusCode)
	}
}
