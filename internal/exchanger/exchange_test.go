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

// script lists the actions of a simulated upstream on one connection, one for each request. After the last action the
// connection is closed.
type script []func(c net.Conn, r *http.Request)

// listen starts a simulated upstream. Each connection uses the next script, and the last script is repeated.
func listen(t *testing.T, scripts ...script) (netip.AddrPort, *upstream) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	u := &upstream{requests: make(chan *http.Request, 100)}
	u.group.Go(func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.group.Go(func() { u.serve(c, scripts[min(i, len(scripts)-1)]) })
		}
	})
	return netip.MustParseAddrPort(ln.Addr().String()), u
}

type upstream struct {
	group    sync.WaitGroup
	requests chan *http.Request
}

func (u *upstream) serve(c net.Conn, s script) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for _, step := range s {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		u.requests <- r
		step(c, r)
	}
}

// respond returns an action that writes text, with ID replaced by the request's ID.
func respond(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(idHeader)))
	}
}

func stall(c net.Conn, _ *http.Request) {
	_, _ = io.Copy(io.Discard, c)
}

const okResponse = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 5\r\n\r\nhello"

func newPool(addr netip.AddrPort) *Pool {
	return New(addr, timer.New(), WithMatch(func(req *http.Request, resp *http.Response) Match {
		switch resp.Header.Get(idHeader) {
		case req.Header.Get(idHeader):
			return Own
		case "":
			return Unnamed
		default:
			return Other
		}
	}))
}

// get sends one request and reads the whole response.
func get(t *testing.T, p *Pool, id string, recent bool) (string, Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address.String()+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(idHeader, id)
	resp, x, err := p.Do(req, recent)
	if err != nil {
		return "", x, err
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return string(data), x, err
}

func TestResponses(t *testing.T) {
	tests := []struct {
		name     string
		response string
		want     string
		err      error
	}{
		{"complete", okResponse, "hello", nil},
		{"chunked", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", nil},
		{"to the end of the connection", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\nhello", "hello", nil},
		{"truncated", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 50\r\n\r\nhello", "hello", io.ErrUnexpectedEOF},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", "hello", io.ErrUnexpectedEOF},
		{"other response first", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nold" + okResponse, "hello", nil},
		{"other response only", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nold", "", io.ErrUnexpectedEOF},
		{"interim", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okResponse, "hello", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, _ := listen(t, script{respond(tt.response)})
			got, x, err := get(t, newPool(addr), "one", false)
			if got != tt.want || !errors.Is(err, tt.err) {
				t.Errorf("got %q, %v; want %q, %v", got, err, tt.want, tt.err)
			}
			if !x.Sent {
				t.Error("Sent is false, want true")
			}
		})
	}
}

func TestInvalidResponse(t *testing.T) {
	addr, _ := listen(t, script{respond("\x00\x01 garbage\r\n\r\n")})
	if _, x, err := get(t, newPool(addr), "one", false); err == nil || !x.Sent {
		t.Errorf("sent %v, error %v", x.Sent, err)
	}
}

func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name    string
		first   string
		wantNew bool
	}{
		{"keep-alive", okResponse, false},
		{"connection close", strings.Replace(okResponse, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), true},
		{"extra bytes after the response", okResponse + "more", true},
		{"another response after the matching one", okResponse + strings.Replace(okResponse, "ID", "other", 1), true},
		{
			"keep-alive timeout out of range",
			strings.Replace(okResponse, "\r\n\r\n", "\r\nKeep-Alive: timeout=4611686018427387905\r\n\r\n", 1), false,
		},
		{"keep-alive timeout of 1 s", strings.Replace(okResponse, "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, _ := listen(t, script{respond(tt.first), respond("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 4\r\n\r\nkept")},
				script{respond(okResponse)})
			p := newPool(addr)
			if got, _, err := get(t, p, "one", false); got != "hello" || err != nil {
				t.Fatalf("first: %q, %v", got, err)
			}
			got, _, err := get(t, p, "two", false)
			if err != nil || (got == "hello") != tt.wantNew {
				t.Errorf("second: %q, %v; want a new connection: %v", got, err, tt.wantNew)
			}
		})
	}
}

// A request whose connection breaks before a response arrives may have been executed, so it is not sent again, whatever
// its method.
func TestRequestNotRetried(t *testing.T) {
	addr, u := listen(t, script{respond(okResponse), func(net.Conn, *http.Request) {}}, script{respond(okResponse)})
	p := newPool(addr)
	if _, _, err := get(t, p, "one", false); err != nil {
		t.Fatal(err)
	}
	if _, x, err := get(t, p, "two", false); err == nil || !x.Sent {
		t.Errorf("sent %v, error %v; want an error after the request was sent", x.Sent, err)
	}
	if len(u.requests) != 2 {
		t.Errorf("%d requests reached the upstream, want 2", len(u.requests))
	}
}

func TestRecentConnection(t *testing.T) {
	now := time.Now()
	addr, _ := listen(t, script{respond(okResponse), stall}, script{respond(strings.Replace(okResponse, "hello", "fresh", 1))})
	p := newPool(addr)
	p.timer = timer.New(timer.WithNow(func() time.Time { return now }))
	if _, _, err := get(t, p, "one", true); err != nil {
		t.Fatal(err)
	}
	now = now.Add(RecentUseLimit + time.Millisecond)
	if got, _, err := get(t, p, "two", true); got != "fresh" || err != nil {
		t.Errorf("got %q, %v; want the response from a new connection", got, err)
	}
}

func TestContextCanceled(t *testing.T) {
	addr, u := listen(t, script{stall})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	u.group.Go(func() {
		<-u.requests
		cancel()
	})
	if _, x, err := newPool(addr).Do(req, false); !errors.Is(err, context.Canceled) || !x.Sent {
		t.Errorf("sent %v, error %v", x.Sent, err)
	}
}

// An upstream may respond before it has read a long body. The response is returned, but the connection must not be
// reused: the upstream would read the rest of the body as a request.
func TestEarlyResponseToLongBody(t *testing.T) {
	early := "HTTP/1.1 413 Too Large\r\nRequest-Id: ID\r\nContent-Length: 5\r\n\r\nhello"
	addr, _ := listen(t, script{func(c net.Conn, r *http.Request) {
		respond(early)(c, r)
		stall(c, r)
	}}, script{respond(strings.Replace(okResponse, "hello", "fresh", 1))})
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
		t.Errorf("second request: %q, %v", got, err)
	}
}
