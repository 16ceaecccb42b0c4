package dialer

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/pipeliner"
)

var (
	stopSeed  = flag.Uint64("stopSeed", 1, "first seed of TestRandomStop")
	stopSeeds = flag.Uint64("stopSeeds", 4, "number of seeds of TestRandomStop")
)

// stoppingServer is a server of callers that stops as a node does. It records the requests that have started.
type stoppingServer struct {
	*Server
	isStopping atomic.Bool
	mu         sync.Mutex
	started    map[string]bool
}

func (s *stoppingServer) handle(w http.ResponseWriter, r *http.Request) {
	if s.isStopping.Load() && pipeliner.EndConnection(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	q := r.URL.Query()
	body, _ := io.ReadAll(r.Body)
	if q.Has("once") && !pipeliner.AwaitTurn(r.Context()) {
		return
	}
	s.mu.Lock()
	s.started[q.Get("id")] = true
	s.mu.Unlock()
	wait, _ := strconv.Atoi(q.Get("wait"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	size, _ := strconv.Atoi(q.Get("size"))
	fmt.Fprintf(w, "%s%s%s", q.Get("id"), body, strings.Repeat("x", size))
}

// caller sends requests on one connection, some before the responses to earlier ones, until the connection ends.
type caller struct {
	random   *rand.Rand
	name     string
	mu       sync.Mutex
	sent     []string
	answered map[string]bool
	// end is how the connection ended.
	end error
}

// request returns the next request. The ids of requests are in the order in which they are sent.
func (c *caller) request() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := fmt.Sprintf("%s-%d", c.name, len(c.sent))
	c.sent = append(c.sent, id)
	target := fmt.Sprintf("/?id=%s&wait=%d&size=%d", id, c.random.IntN(120), c.random.IntN(20000))
	switch c.random.IntN(6) {
	case 0:
		return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
	case 1:
		return "GET " + target + "&once=1 HTTP/1.1\r\nHost: a\r\n\r\n"
	default:
		return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"
	}
}

// write sends requests in random pieces until the connection ends.
func (c *caller) write(conn net.Conn) {
	for {
		var text strings.Builder
		for range 1 + c.random.IntN(6) {
			text.WriteString(c.request())
		}
		for rest := text.String(); rest != ""; {
			n := min(len(rest), 1+c.random.IntN(400))
			if _, err := io.WriteString(conn, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
		time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
	}
}

// read reads responses until the connection ends.
func (c *caller) read(t *testing.T, conn net.Conn) {
	br := bufio.NewReader(conn)
	for n := 0; ; n++ {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			c.end = err
			return
		}
		body, err := io.ReadAll(resp.Body)
		id := fmt.Sprintf("%s-%d", c.name, n)
		if err != nil || resp.StatusCode != http.StatusOK || !strings.HasPrefix(strings.TrimRight(string(body), "x"), id) {
			t.Errorf("%s: status %d, body %.40q, %v", id, resp.StatusCode, body, err)
			return
		}
		c.answered[id] = true
		if resp.Close {
			c.end = io.EOF
			return
		}
	}
}

// TestRandomStop guards against a stop that cuts a request in progress, with callers that use their connections until they end.
func TestRandomStop(t *testing.T) {
	for seed := *stopSeed; seed < *stopSeed+*stopSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 4))
			s := &stoppingServer{started: map[string]bool{}}
			s.Server = serveCallers(t, s.handle)
			var callers []*caller
			var group sync.WaitGroup
			for i := range 8 {
				c := &caller{random: rand.New(rand.NewPCG(seed, uint64(i))), name: fmt.Sprint("c", i), answered: map[string]bool{}}
				callers = append(callers, c)
				conn, err := net.Dial("tcp", s.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
				group.Go(func() { c.write(conn) })
				group.Go(func() {
					defer func() { _ = conn.Close() }()
					c.read(t, conn)
				})
			}
			time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			// The steps of a stop may follow each other closely.
			s.isStopping.Store(true)
			s.StopPipelining()
			time.Sleep(time.Duration(random.IntN(3)*random.IntN(100)) * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if err := s.Shutdown(ctx); err != nil {
				t.Errorf("shutdown: %v", err)
			}
			group.Wait()
			for _, c := range callers {
				for _, id := range c.sent {
					if s.started[id] && !c.answered[id] {
						t.Errorf("request %s started and got no response: %v", id, c.end)
					}
				}
			}
			if n := s.CutRequests(); n != 0 {
				t.Errorf("%d requests are counted as cut", n)
			}
		})
	}
}
