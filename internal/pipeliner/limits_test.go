package pipeliner

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/budgeter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// limitedServer serves callers with a budget of 256 KB and at most 4 connections.
type limitedServer struct {
	t       *testing.T
	budget  *budgeter.Budget
	address string
	slow    chan struct{}
}

func newLimitedServer(t *testing.T) *limitedServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limitedServer{t: t, address: inner.Addr().String(), slow: make(chan struct{})}
	s.budget = budgeter.New(timer.New(), 256<<10)
	group := &tomb.Tomb{}
	l := Listen(group, inner, timer.New(), WithLimits(s.budget, 4))
	srv := &http.Server{
		ConnState: l.ConnState, ConnContext: l.ConnContext, ErrorLog: log.New(io.Discard, "", 0), MaxHeaderBytes: 64 << 10,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/slow" {
				<-s.slow
			}
		}),
	}
	group.Go(func() error { return srv.Serve(l) })
	t.Cleanup(func() {
		_ = srv.Close()
		_ = group.Wait()
	})
	return s
}

func (s *limitedServer) open(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, text)
	return c
}

func readStatus(c net.Conn) string {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	return resp.Status
}

// Connections that wait for their callers must make room for others, wherever they wait, and requests in progress must not be cut.
func TestWaitingConnectionsMakeRoom(t *testing.T) {
	s := newLimitedServer(t)
	const start = "POST /x HTTP/1.1\r\nHost: h\r\n"
	slow := s.open("POST /slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	for range 3 {
		for _, text := range []string{"", start, start + "Content-Length: 2\r\n\r\nx", start + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
			s.open(text)
			time.Sleep(2 * minWait)
		}
	}
	if got := readStatus(s.open("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); got != "200 OK" {
		t.Errorf("an ordinary request: %s", got)
	}
	close(s.slow)
	if got := readStatus(slow); got != "200 OK" {
		t.Errorf("a request in progress: %s", got)
	}
}

// Header sections must be charged on new connections and behind requests with chunks, and given back when their connection closes.
func TestHeaderSectionsAreCharged(t *testing.T) {
	var fields strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&fields, "%x:\r\n", 0xa000+i)
	}
	const chunked = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	for _, before := range []string{"", chunked} {
		s := newLimitedServer(t)
		var conns []net.Conn
		for range 4 {
			c := s.open(before)
			if before != "" && readStatus(c) != "200 OK" {
				t.Fatal("the first request failed")
			}
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+fields.String())
			conns = append(conns, c)
		}
		for began := time.Now(); s.budget.Refused() == 0; time.Sleep(time.Millisecond) {
			if time.Since(began) > 5*time.Second {
				t.Fatalf("%q: four sections hold %d bytes", before, s.budget.Used())
			}
		}
		for _, c := range conns {
			_ = c.Close()
		}
		for began := time.Now(); s.budget.Used() > 0; time.Sleep(time.Millisecond) {
			if time.Since(began) > 5*time.Second {
				t.Fatalf("%q: %d bytes are charged to no connection", before, s.budget.Used())
			}
		}
	}
}

// A caller that sends single bytes behind a request in progress must not use up the budget.
func TestSingleBytesAheadAreChargedOnce(t *testing.T) {
	s := newLimitedServer(t)
	c := s.open("GET /slow HTTP/1.1\r\nHost: h\r\n\r\nPOST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nName: ")
	for range 200 {
		_, _ = io.WriteString(c, "x")
		time.Sleep(time.Millisecond)
	}
	if used := s.budget.Used(); used == 0 || used > 4*readSize {
		t.Errorf("%d bytes are charged", used)
	}
	_, _ = io.WriteString(c, "\r\n\r\n")
	close(s.slow)
	br := bufio.NewReader(c)
	for range 2 {
		if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	if used := s.budget.Used(); used != 0 {
		t.Errorf("%d bytes are still charged", used)
	}
}
