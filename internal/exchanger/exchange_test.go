package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const idHeader = "Request-Id"

// script is what a stand-in upstream does with each request of a connection, in turn. After the last step it closes the
// connection.
type script []func(c net.Conn, r *http.Request)

// listen starts a stand-in upstream whose connections follow the scripts in turn, the last one again and again.
func listen(t *testing.T, scripts ...script) (netip.AddrPort, *counter) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	n := &counter{requests: make(chan *http.Request, 100)}
	n.group.Go(func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.group.Go(func() { n.serve(c, scripts[min(i, len(scripts)-1)]) })
		}
	})
	return netip.MustParseAddrPort(ln.Addr().String()), n
}

type counter struct {
	group    sync.WaitGroup
	requests chan *http.Request
}

func (n *counter) serve(c net.Conn, s script) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for _, step := range s {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		n.requests <- r
		step(c, r)
	}
}

// say answers with text in which ID stands for the request's id.
func say(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(idHeader)))
	}
}

func stall(c net.Conn, _ *http.Request) {
	_, _ = io.Copy(io.Discard, c)
}

const whole = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 5\r\n\r\nhello"

func newPool(addr netip.AddrPort) *Pool {
	return New(addr, timer.New(), WithMatch(func(req *http.Request, resp *http.Response) bool {
		return resp.Header.Get(idHeader) == req.Header.Get(idHeader)
	}))
}

// get sends one request and reads its answer to the end.
func get(t *testing.T, p *Pool, id string, sure bool) (string, Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address.String()+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(idHeader, id)
	resp, x, err := p.Do(req, sure)
	if err != nil {
		return "", x, err
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return string(data), x, err
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name string
		say  string
		want string
		err  error
	}{
		{"whole", whole, "hello", nil},
		{"chunked", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", nil},
		{"to the end of the connection", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\nhello", "hello", nil},
		{"truncated", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 50\r\n\r\nhello", "hello", io.ErrUnexpectedEOF},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", "hello", io.ErrUnexpectedEOF},
		{"extra before the own", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nold" + whole, "hello", nil},
		{"of another request only", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nold", "", io.ErrUnexpectedEOF},
		{"interim", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + whole, "hello", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, _ := listen(t, script{say(tt.say)})
			got, x, err := get(t, newPool(addr), "one", false)
			if got != tt.want || !errors.Is(err, tt.err) {
				t.Errorf("got %q, %v; want %q, %v", got, err, tt.want, tt.err)
			}
			if !x.Sent {
				t.Error("the request counts as not sent")
			}
		})
	}
}

func TestNoAnswerInTheProtocol(t *testing.T) {
	addr, _ := listen(t, script{say("\x00\x01 garbage\r\n\r\n")})
	if _, x, err := get(t, newPool(addr), "one", false); err == nil || !x.Sent {
		t.Errorf("sent %v, error %v", x.Sent, err)
	}
}

func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name  string
		first string
		fresh bool
	}{
		{"kept", whole, false},
		{"closing", strings.Replace(whole, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), true},
		{"bytes after the answer", whole + "more", true},
		{"late extra answer", whole + strings.Replace(whole, "ID", "other", 1), true},
		{"idle limit over at once", strings.Replace(whole, "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, _ := listen(t, script{say(tt.first), say("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 4\r\n\r\nkept")},
				script{say(whole)})
			p := newPool(addr)
			if got, _, err := get(t, p, "one", false); got != "hello" || err != nil {
				t.Fatalf("first: %q, %v", got, err)
			}
			got, _, err := get(t, p, "two", false)
			if err != nil || (got == "hello") != tt.fresh {
				t.Errorf("second: %q, %v; want a fresh connection: %v", got, err, tt.fresh)
			}
		})
	}
}

// A request on a connection that breaks before an answer may have run: it must reach the upstream only once, whatever
// its method.
func TestNeverSentTwice(t *testing.T) {
	addr, n := listen(t, script{say(whole), func(net.Conn, *http.Request) {}}, script{say(whole)})
	p := newPool(addr)
	if _, _, err := get(t, p, "one", false); err != nil {
		t.Fatal(err)
	}
	if _, x, err := get(t, p, "two", false); err == nil || !x.Sent {
		t.Errorf("sent %v, error %v; want an error after the request was sent", x.Sent, err)
	}
	if len(n.requests) != 2 {
		t.Errorf("%d requests reached the upstream, want 2", len(n.requests))
	}
}

func TestSureConnectionIsYoung(t *testing.T) {
	now := time.Now()
	addr, _ := listen(t, script{say(whole), stall}, script{say(strings.Replace(whole, "hello", "fresh", 1))})
	p := newPool(addr)
	p.timer = timer.New(timer.WithNow(func() time.Time { return now }))
	if _, _, err := get(t, p, "one", true); err != nil {
		t.Fatal(err)
	}
	now = now.Add(RecentUseLimit + time.Millisecond)
	if got, _, err := get(t, p, "two", true); got != "fresh" || err != nil {
		t.Errorf("got %q, %v; want the answer on a fresh connection", got, err)
	}
}

func TestContextEndsExchange(t *testing.T) {
	addr, n := listen(t, script{stall})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	n.group.Go(func() {
		<-n.requests
		cancel()
	})
	if _, x, err := newPool(addr).Do(req, false); !errors.Is(err, context.Canceled) || !x.Sent {
		t.Errorf("sent %v, error %v", x.Sent, err)
	}
}

// An upstream may answer before it has read a long body. The answer counts, and the connection must not be used again:
// the rest of the body would be read as a request.
func TestEarlyAnswerToLongBody(t *testing.T) {
	early := "HTTP/1.1 413 Too Large\r\nRequest-Id: ID\r\nContent-Length: 5\r\n\r\nhello"
	addr, _ := listen(t, script{func(c net.Conn, r *http.Request) {
		say(early)(c, r)
		stall(c, r)
	}}, script{say(strings.Replace(whole, "hello", "fresh", 1))})
	p := newPool(addr)
	body := strings.NewReader(strings.Repeat("x", 64<<20))
	req, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+"/", io.NopCloser(body))
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = 64 << 20
	req.Header.Set(idHeader, "one")
	resp, _, err := p.Do(req, false)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	if string(data) != "hello" || err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %d %q, %v", resp.StatusCode, data, err)
	}
	if got, _, err := get(t, p, "two", false); got != "fresh" || err != nil {
		t.Errorf("after it: %q, %v", got, err)
	}
}
