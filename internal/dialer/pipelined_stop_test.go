package dialer

import (
	"bufio"
	"context"
	"errors"
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

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// serveCallers serves a handler to callers and returns the server.
func serveCallers(t *testing.T, h http.HandlerFunc) *Server {
	t.Helper()
	s, err := NewSecurity(nil, timer.New(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	servers := &tomb.Tomb{}
	srv, err := s.ListenAndServe(servers, netip.MustParseAddrPort("127.0.0.1:0"), Callers, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = srv.Close()
		_ = servers.Wait()
	})
	return srv
}

// TestShutdownCutsPipelinedRequests guards against a shutdown that closes a caller's connection after the first response while
// requests behind it are in progress.
func TestShutdownCutsPipelinedRequests(t *testing.T) {
	tests := []struct {
		name  string
		waits []time.Duration
		// read is the number of requests behind those that are read and do not start before all responses are written.
		read int
	}{
		{"later requests take longer", []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond}, 0},
		{"later responses are held", []time.Duration{500 * time.Millisecond, time.Millisecond, time.Millisecond}, 0},
		{"one at a time", []time.Duration{300 * time.Millisecond}, 0},
		{"others are read", []time.Duration{300 * time.Millisecond}, 2},
		{"others are read behind several", []time.Duration{200 * time.Millisecond, 400 * time.Millisecond}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			total := len(tt.waits) + tt.read
			started := make(chan struct{}, total+1)
			srv := serveCallers(t, func(w http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
				select {
				case <-time.After(wait):
					_, _ = io.WriteString(w, r.URL.Path)
				case <-r.Context().Done():
				}
			})
			c, err := net.Dial("tcp", srv.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			var requests strings.Builder
			for i, wait := range tt.waits {
				fmt.Fprintf(&requests, "GET /%d?wait=%v HTTP/1.1\r\nHost: a\r\n\r\n", i, wait)
			}
			for i := range tt.read {
				fmt.Fprintf(&requests, "POST /%d?wait=10ms HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", len(tt.waits)+i)
			}
			_, _ = io.WriteString(c, requests.String())
			for range tt.waits {
				<-started
			}
			var group tomb.Tomb
			group.Go(func() error {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				return srv.Shutdown(ctx)
			})
			br := bufio.NewReader(c)
			for i := range total {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatalf("response %d of %d: %v", i, total, err)
				}
				body, err := io.ReadAll(resp.Body)
				if want := fmt.Sprint("/", i); err != nil || string(body) != want {
					t.Fatalf("response %d: %q, %v; want %q", i, body, err, want)
				}
				if last := i == total-1; resp.Close && !last {
					t.Errorf("response %d says that the connection closes, with %d behind it", i, total-1-i)
				}
			}
			if err := group.Wait(); err != nil {
				t.Errorf("shutdown: %v", err)
			}
			if n := srv.CutRequests(); n != 0 {
				t.Errorf("%d requests are counted as cut", n)
			}
		})
	}
}

// TestOpenConnectionHoldsUpShutdown guards against a shutdown that waits for a caller who keeps its connection open, or resets it at
// once.
func TestOpenConnectionHoldsUpShutdown(t *testing.T) {
	srv := serveCallers(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	c, err := net.Dial("tcp", srv.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil || ctx.Err() != nil {
		t.Errorf("shutdown: %v, %v", err, ctx.Err())
	}
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ends with %v, want EOF", err)
	}
}
