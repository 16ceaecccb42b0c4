package pipeliner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// server serves requests whose query selects how: wait is the time until the response in milliseconds, size its length.
type server struct {
	t        *testing.T
	http     *http.Server
	listener *Listener
	addr     string
	started  atomic.Int64
	canceled atomic.Int64
	running  atomic.Int64
	most     atomic.Int64
	// read is the number of bytes that were read from callers.
	read atomic.Int64
}

// countingListener counts the bytes that are read from its connections.
type countingListener struct {
	net.Listener
	read *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c.(*net.TCPConn), l.read}, nil
}

type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func startServer(t *testing.T) *server {
	t.Helper()
	return startServerWith(t, &http.Server{ReadHeaderTimeout: 5 * time.Second})
}

// startServerWith serves callers with the timeouts and limits of an HTTP server.
func startServerWith(t *testing.T, srv *http.Server, opts ...Option) *server {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group tomb.Tomb
	s := &server{t: t, http: srv, addr: inner.Addr().String()}
	s.listener = Listen(&group, countingListener{inner, &s.read}, timer.New(), opts...)
	srv.Handler, srv.ConnState, srv.ConnContext = s, s.listener.ConnState, s.listener.ConnContext
	group.Go(func() error {
		_ = srv.Serve(s.listener)
		return nil
	})
	t.Cleanup(func() {
		_ = srv.Close()
		_ = group.Wait()
	})
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Has("once") && !AwaitTurn(r.Context()) {
		return
	}
	s.started.Add(1)
	s.enter()
	defer s.running.Add(-1)
	body, _ := io.ReadAll(r.Body)
	wait, _ := strconv.Atoi(q.Get("wait"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
		s.canceled.Add(1)
		return
	}
	if (q.Has("close") || IsCrowded(r.Context())) && EndConnection(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	if q.Has("abort") {
		panic(http.ErrAbortHandler)
	}
	size, _ := strconv.Atoi(q.Get("size"))
	fmt.Fprintf(w, "%s%s%s", q.Get("id"), body, strings.Repeat("x", size))
}

// enter counts a request as running.
func (s *server) enter() {
	running := s.running.Add(1)
	for {
		most := s.most.Load()
		if running <= most || s.most.CompareAndSwap(most, running) {
			return
		}
	}
}

func (s *server) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func read(query string) string {
	return "GET /?" + query + " HTTP/1.1\r\nHost: a\r\n\r\n"
}

// responses reads responses until the connection ends or n have come, and returns the status codes and bodies.
func responses(c net.Conn, n int) (out []string, err error) {
	br := bufio.NewReader(c)
	for range n {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return out, err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return out, err
		}
		out = append(out, fmt.Sprint(resp.StatusCode, " ", string(body)))
	}
	return out, nil
}

func (s *server) exchange(c net.Conn, want ...string) {
	s.t.Helper()
	got, err := responses(c, len(want))
	if strings.Join(got, "|") != strings.Join(want, "|") {
		s.t.Errorf("got %.200q, %v; want %.200q", got, err, want)
	}
}

// TestSlowRequestDelaysThoseBehind guards against pipelined requests that are served one after the other.
func TestSlowRequestDelaysThoseBehind(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	start := time.Now()
	_, _ = io.WriteString(c, read("id=a&wait=300")+read("id=b&wait=300")+read("id=c&wait=300"))
	s.exchange(c, "200 a", "200 b", "200 c")
	if took := time.Since(start); took > 700*time.Millisecond {
		t.Errorf("three requests of 300 ms took %v", took)
	}
	if n := s.started.Load(); n != 3 {
		t.Errorf("%d requests ran, want 3", n)
	}
}

// TestFastResponseOvertakesSlowOne guards against responses in another order than the requests.
func TestFastResponseOvertakesSlowOne(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	_, _ = io.WriteString(c, read("id=a&wait=100")+read("id=b")+read("id=c&wait=30&size=100000")+read("id=d"))
	s.exchange(c, "200 a", "200 b", "200 c"+strings.Repeat("x", 100000), "200 d")
	_, _ = io.WriteString(c, read("id=e"))
	s.exchange(c, "200 e")
}

// TestWriteStartsBeforeItsTurn guards against a request with an effect that starts before all that stands ahead of it is answered.
func TestWriteStartsBeforeItsTurn(t *testing.T) {
	tests := []struct{ name, request string }{
		{"body", "POST /?id=w HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"},
		{"length with many zeros", "POST /?id=w HTTP/1.1\r\nHost: a\r\nContent-Length: " + strings.Repeat("0", maxLinePrefix) + "2\r\n\r\nok"},
		{"chunks", "POST /?id=w HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"no body", "POST /?id=wok HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"read that may run once", read("id=wok&once=1")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t)
			c := s.dial()
			_, _ = io.WriteString(c, read("id=a&wait=150")+read("id=b&wait=100")+tt.request+read("id=c"))
			time.Sleep(80 * time.Millisecond)
			if n := s.started.Load(); n > 3 {
				t.Errorf("%d requests started while the first one runs", n)
			}
			s.exchange(c, "200 a", "200 b", "200 wok", "200 c")
		})
	}
}

// TestCallerLeavesWithRequestsOpen guards against requests that begin, or run on, after their caller has left.
func TestCallerLeavesWithRequestsOpen(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	_, _ = io.WriteString(c, read("id=a&wait=5000")+read("id=b&wait=5000")+read("id=c&wait=5000")+read("id=d&once=1&wait=5000"))
	for s.started.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	_ = c.Close()
	for end := time.Now().Add(2 * time.Second); s.running.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if started, running := s.started.Load(), s.running.Load(); started != 3 || running != 0 {
		t.Errorf("%d requests started and %d run on, want 3 and 0", started, running)
	}
}

// TestClosingResponseCutsThoseBehind guards against a connection that closes while requests behind the response are in progress.
func TestClosingResponseCutsThoseBehind(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	_, _ = io.WriteString(c, read("id=a&wait=100&close=1")+read("id=b&wait=150&close=1")+read("id=c&wait=200&close=1"))
	s.exchange(c, "200 a", "200 b", "200 c")
	if _, err := responses(c, 1); err == nil {
		t.Error("the connection stays open after the last response")
	}
}

// TestRequestBehindClosingResponseRuns guards against a request that runs although the response ahead of it closes the connection.
func TestRequestBehindClosingResponseRuns(t *testing.T) {
	long := strings.Repeat("x", 2*maxLinePrefix)
	padding := strings.Repeat(" ", 2*maxLinePrefix)
	tests := []struct{ name, line, fields string }{
		{"connection closes", "GET /?id=a&wait=50 HTTP/1.1", "Connection: close\r\n"},
		{"behind another token", "GET /?id=a&wait=50 HTTP/1.1", "Connection: keep-alive, close\r\n"},
		{"behind padding", "GET /?id=a&wait=50 HTTP/1.1", "Connection: keep-alive" + padding + ", close\r\n"},
		{"on a second line", "GET /?id=a&wait=50 HTTP/1.1", "Connection: keep-alive\r\n , close, a:\r\n"},
		{"earlier version", "GET /?id=a&wait=50 HTTP/1.0", ""},
		{"earlier version and long target", "GET /?id=a&wait=50&" + long + " HTTP/1.0", ""},
		{"earlier version and keep-alive", "GET /?id=a&wait=50 HTTP/1.0", "Connection: keep-alive\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t)
			c := s.dial()
			// Requests behind this one are read while its handler runs, so one that started would be cut by its end.
			_, _ = io.WriteString(c, tt.line+"\r\nHost: a\r\n"+tt.fields+"\r\n"+read("id=b&wait=100")+read("id=c&wait=100"))
			got, _ := responses(c, 3)
			if len(got) == 0 || got[0] != "200 a" || int(s.started.Load()) != len(got) {
				t.Errorf("got %q, %d requests ran; want 200 a first, and a response to each that ran", got, s.started.Load())
			}
		})
	}
}

// TestRequestBehindEndOfConnection guards against a request behind the last one of its connection that runs, or is read, and gets no
// response.
func TestRequestBehindEndOfConnection(t *testing.T) {
	tests := []struct{ name, request string }{
		{"body", "POST /?id=c HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"},
		{"no body", "POST /?id=c HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"body of unknown length", "POST /?id=c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"left to the server", "GET /?id=c HTTP/1.1\r\nHost: a\r\nUpgrade: a\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t)
			c := s.dial()
			// The second response ends the connection, unless the server has read the third request by then.
			_, _ = io.WriteString(c, read("id=a&wait=200")+read("id=b&close=1")+tt.request)
			got, err := responses(c, 3)
			if len(got) != 3 {
				t.Errorf("sent at once: got %q, %v; want three responses", got, err)
			}
			c = s.dial()
			_, _ = io.WriteString(c, read("id=a&wait=200")+read("id=b&close=1"))
			time.Sleep(100 * time.Millisecond)
			size := s.read.Load()
			_, _ = io.WriteString(c, tt.request)
			got, err = responses(c, 3)
			if strings.Join(got, "|") != "200 a|200 b" || err == nil {
				t.Errorf("sent later: got %q, %v; want two responses and the end of the connection", got, err)
			}
			if n := s.started.Load(); n != 5 {
				t.Errorf("%d requests ran, want the 5 that got a response", n)
			}
			if n := s.read.Load() - size; n > 1 {
				t.Errorf("%d bytes of a request without a response were read", n)
			}
		})
	}
}

// TestAbortedResponseLooksComplete guards against a response that broke off and is followed by another one.
func TestAbortedResponseLooksComplete(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	_, _ = io.WriteString(c, read("id=a&wait=50")+read("id=b&abort=1")+read("id=c"))
	got, err := responses(c, 3)
	if err == nil || len(got) != 1 || got[0] != "200 a" {
		t.Errorf("got %q, %v; want one response and the end of the connection", got, err)
	}
}

// TestGarbageBehindRequests guards against garbage that is answered before its turn, and requests behind it that run.
func TestGarbageBehindRequests(t *testing.T) {
	tests := []struct{ name, garbage string }{
		{"no request", "garbage\r\n\r\n"},
		{"bad header", "GET / HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n"},
		{"two lengths", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 4\r\n\r\n"},
		{"no host", "GET / HTTP/1.1\r\n\r\n"},
		{"bad target", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"bad host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n"},
		{"bad field name", "GET / HTTP/1.1\r\nHost: a\r\nbad name: x\r\n\r\n"},
		{"bad field value", "GET / HTTP/1.1\r\nHost: a\r\nName: \x01\r\n\r\n"},
		{"bad long field value", "GET / HTTP/1.1\r\nHost: a\r\nName: " + strings.Repeat("x", 2*maxLinePrefix) + "\x7f\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t)
			c := s.dial()
			_, _ = io.WriteString(c, read("id=a&wait=100")+read("id=b&wait=50")+tt.garbage+read("id=c"))
			got, err := responses(c, 4)
			if len(got) != 3 || got[0] != "200 a" || got[1] != "200 b" || !strings.HasPrefix(got[2], "400 ") || err == nil {
				t.Errorf("got %q, %v; want two responses, 400 and the end of the connection", got, err)
			}
			if n := s.started.Load(); n != 2 {
				t.Errorf("%d requests ran, want the 2 ahead of the garbage", n)
			}
		})
	}
}

// TestStopWithRequestsOpen guards against a stop that cuts pipelined requests.
func TestStopWithRequestsOpen(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	_, _ = io.WriteString(c, read("id=a&wait=150")+read("id=b&wait=200&close=1")+read("id=c&wait=250&close=1"))
	for s.started.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	s.listener.StopBranches()
	s.exchange(c, "200 a", "200 b", "200 c")
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// TestBoundOnRequestsAhead guards against one connection that takes more of the server than its share.
func TestBoundOnRequestsAhead(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	var want []string
	var requests strings.Builder
	for i := range 100 {
		requests.WriteString(read(fmt.Sprintf("id=%d&wait=10&size=20000", i)))
		want = append(want, fmt.Sprint("200 ", i, strings.Repeat("x", 20000)))
	}
	_, _ = io.WriteString(c, requests.String())
	time.Sleep(200 * time.Millisecond)
	s.exchange(c, want...)
	if most := s.most.Load(); most > maxAhead {
		t.Errorf("%d requests of one connection ran at a time, want at most %d", most, maxAhead)
	}
	if held := s.listener.totalHeld.Load(); held != 0 {
		t.Errorf("%d bytes are counted as held at the end", held)
	}
}

// TestHeldResponsesStayInMemory guards against a connection that keeps a record of each response that was held back on it.
func TestHeldResponsesStayInMemory(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	var group sync.WaitGroup
	group.Go(func() { _, _ = io.Copy(io.Discard, far) })
	var s shared
	p := newPipe(near, &s)
	for range 100 {
		first, _ := p.begin()
		second, _ := p.begin()
		_, _ = p.write(second, []byte("held"))
		p.finish(first, false)
		_, _ = p.write(second, []byte("written"))
		p.finish(second, false)
	}
	if len(p.held) != 0 || p.heldSize != 0 || s.totalHeld.Load() != 0 {
		t.Errorf("%d records and %d bytes are held after all responses were written", len(p.held), p.heldSize)
	}
	p.closeNow()
	group.Wait()
}

// TestIdleConnectionsUseUpMemory guards against a server whose memory and descriptors are used up by the idle connections of callers
// that open one for each try.
func TestIdleConnectionsUseUpMemory(t *testing.T) {
	s := startServer(t)
	for i := range 2 * crowdedAt {
		c := s.dial()
		_, _ = io.WriteString(c, read(fmt.Sprint("id=", i)))
		s.exchange(c, fmt.Sprint("200 ", i))
	}
	for end := time.Now().Add(2 * time.Second); s.listener.open.Load() > crowdedAt && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := s.listener.open.Load(); n > crowdedAt {
		t.Errorf("%d connections are open, want at most %d", n, crowdedAt)
	}
}

// TestRandomPipelines guards against a response that reaches another request, with random requests that arrive in random pieces.
func TestRandomPipelines(t *testing.T) {
	s := startServer(t)
	var group sync.WaitGroup
	for seed := range uint64(30) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			c := s.dial()
			var text strings.Builder
			var want []string
			for i := range 20 {
				id := fmt.Sprintf("%d.%d", seed, i)
				query := fmt.Sprintf("id=%s&wait=%d&size=%d", id, random.IntN(20), random.IntN(9000))
				size, _ := strconv.Atoi(query[strings.LastIndex(query, "=")+1:])
				switch random.IntN(5) {
				case 0:
					text.WriteString("POST /?" + query + " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n123")
					want = append(want, "200 "+id+"123"+strings.Repeat("x", size))
				default:
					text.WriteString(read(query))
					want = append(want, "200 "+id+strings.Repeat("x", size))
				}
			}
			group.Go(func() {
				rest := text.String()
				for len(rest) > 0 {
					n := min(len(rest), 1+random.IntN(300))
					if _, err := io.WriteString(c, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
					time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
				}
			})
			got, err := responses(c, len(want))
			for i := range want {
				if i >= len(got) || got[i] != want[i] {
					t.Errorf("seed %d: response %d of %d differs, %v", seed, i, len(got), err)
					return
				}
			}
		})
	}
	group.Wait()
	if n := s.listener.branches.Load(); n > maxBranches {
		t.Errorf("%d branches", n)
	}
}

// TestConnectionClosesWithoutLosingResponse guards against a reset that overtakes the refusal of a long request.
func TestConnectionClosesWithoutLosingResponse(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nLong: "+strings.Repeat("x", 2<<20))
	got, err := responses(c, 1)
	if len(got) != 1 || !strings.HasPrefix(got[0], "431 ") {
		t.Errorf("got %q, %v; want 431", got, err)
	}
}

// scarceListener fails at first, as a listener of a process without free file descriptors does.
type scarceListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestLackOfDescriptorsEndsListener guards against a node that takes no connections any more after it once had no free file
// descriptor.
func TestLackOfDescriptorsEndsListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	scarce := &scarceListener{Listener: inner}
	scarce.failures.Store(3)
	var group tomb.Tomb
	l := Listen(&group, scarce, timer.New())
	s := &server{t: t, addr: inner.Addr().String(), listener: l}
	s.http = &http.Server{Handler: s, ConnState: l.ConnState, ConnContext: l.ConnContext, ErrorLog: log.New(io.Discard, "", 0)}
	group.Go(func() error {
		_ = s.http.Serve(l)
		return nil
	})
	c := s.dial()
	_, _ = io.WriteString(c, read("id=a"))
	s.exchange(c, "200 a")
	_ = s.http.Close()
	_ = group.Wait()
}

// BenchmarkRequest measures one request on a kept connection that is never pipelined, with and without this package.
func BenchmarkRequest(b *testing.B) {
	for _, pipelining := range []bool{false, true} {
		b.Run(fmt.Sprint("pipelining=", pipelining), func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			var group tomb.Tomb
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) })}
			served := ln
			if pipelining {
				l := Listen(&group, ln, timer.New())
				srv.ConnState, srv.ConnContext, served = l.ConnState, l.ConnContext, l
			}
			group.Go(func() error {
				_ = srv.Serve(served)
				return nil
			})
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			br := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: 123\r\n\r\n")
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			_ = c.Close()
			_ = srv.Close()
			_ = group.Wait()
		})
	}
}

// TestUnreadRequestsCutResponse guards against a reset that overtakes the last response, for requests behind it that are not read.
func TestUnreadRequestsCutResponse(t *testing.T) {
	const size = 1 << 20
	tests := []struct {
		name string
		// pause is the time between the first request and those behind it.
		pause time.Duration
	}{
		{"sent at once", 0},
		{"sent after the response", 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t)
			c := s.dial()
			_, _ = io.WriteString(c, "POST /?id=a&close=1&size="+fmt.Sprint(size)+" HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(tt.pause)
			_, _ = io.WriteString(c, strings.Repeat("POST /?id=b HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 2*maxBuffered/50))
			time.Sleep(200 * time.Millisecond)
			got, err := responses(slowConn{c}, 2)
			if len(got) != 1 || len(got[0]) != len("200 a")+size {
				t.Errorf("got %.100q, %v; want one response of %d bytes", got, err, size)
			}
		})
	}
}

// slowConn reads slower than the other end writes.
type slowConn struct {
	net.Conn
}

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return c.Conn.Read(p)
}
