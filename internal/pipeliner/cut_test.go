package pipeliner

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/budgeter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// TestLimitCutsPipelinedRequests guards against a limit that closes a connection while responses are owed on it, for what stands behind
// their requests, or for other connections.
func TestLimitCutsPipelinedRequests(t *testing.T) {
	const limit = 100 * time.Millisecond
	long := strings.Repeat("x", 100<<10)
	tests := []struct {
		name string
		// behind stands behind two requests, the second of which takes 5 times the limit.
		behind string
		// crowd is the number of connections that open meanwhile.
		crowd int
		// last begins the response to what stands behind, if it gets one.
		last string
	}{
		{"idle connection", "", 0, ""},
		{"head that stops", "GET / HTTP/1.1\r\nHost: a\r\nNa", 0, "400 "},
		{"head over the size limit", "GET / HTTP/1.1\r\nHost: a\r\nName: " + long, 0, "431 "},
		{"head without memory for it", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 10<<10), 0, ""},
		{"body that stops", "POST /?id=c HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx", 0, ""},
		{"too many connections", "", 8, ""},
		{"too many connections and a head that stops", "GET / HTTP/1.1\r\nHost: a\r\nNa", 8, "400 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServerWith(t, &http.Server{ReadHeaderTimeout: limit, IdleTimeout: limit, MaxHeaderBytes: 64 << 10},
				WithLimits(budgeter.New(timer.New(), 128<<10), 4))
			c := s.dial()
			_ = c.SetDeadline(time.Now().Add(20 * limit))
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() {
				_, _ = io.WriteString(c, read("id=a&wait=20")+read(fmt.Sprint("id=b&wait=", 5*limit.Milliseconds()))+tt.behind)
			})
			for s.started.Load() < 2 {
				time.Sleep(time.Millisecond)
			}
			for range tt.crowd {
				s.dial()
				time.Sleep(limit / 4)
			}
			got, _ := responses(c, 3)
			if len(got) < 2 || got[0] != "200 a" || got[1] != "200 b" {
				t.Fatalf("got %.100q, want two responses", got)
			}
			if len(got) > 2 && (tt.last == "" || !strings.HasPrefix(got[2], tt.last)) {
				t.Errorf("got %.100q behind the two responses, want %q", got[2], tt.last)
			}
		})
	}
}
