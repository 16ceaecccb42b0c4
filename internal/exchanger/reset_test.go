package exchanger

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// longBody is the size in bytes of a request body that does not fit into the buffers of both sockets.
	longBody = 32 << 20
	// partial is a response up to the end of its connection, which begins like a complete one.
	partial = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\nhello"
	// lengthGiven is a complete response with its length.
	lengthGiven = okResponse
	chunksGiven = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)

// reset ends a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// upload sends a request with a body of n bytes and returns its response before the response's body is read.
func upload(t *testing.T, p *Pool, n int) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address.String()+"/", bytes.NewReader(make([]byte, n)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(idHeader, "one")
	resp, _, err := p.Do(req, false)
	return resp, err
}

// TestResetDuringUploadLooksComplete guards against a part of a response that is taken for the whole, because the goroutine that
// writes the request got the error of the connection and the reader saw an ordinary end.
func TestResetDuringUploadLooksComplete(t *testing.T) {
	tests := []struct {
		name, response string
		complete       bool
	}{
		{"up to the end of the connection", partial, false},
		{"HTTP/1.0", strings.Replace(partial, "1.1", "1.0", 1), false},
		{"with its length", lengthGiven, true},
		{"in chunks", chunksGiven, true},
		{"fewer bytes than its length", strings.Replace(lengthGiven, "5", "50", 1), false},
		{"without the end of its trailers", strings.TrimSuffix(chunksGiven, "\r\n"), false},
		{"without the last chunk", strings.TrimSuffix(chunksGiven, "0\r\n\r\n"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, _ := listen(t, script{func(c net.Conn, r *http.Request) {
				respond(tt.response)(c, r)
				time.Sleep(50 * time.Millisecond)
				reset(c)
			}})
			resp, err := upload(t, newPool(addr), longBody)
			if err != nil {
				t.Fatal(err)
			}
			// The writer gets the error of the connection before the reader reads on.
			if err := resp.Body.(*body).writer.Wait(); err == nil {
				t.Fatal("the request was written to a connection that was reset")
			}
			if got, err := io.ReadAll(resp.Body); (err == nil) != tt.complete {
				t.Errorf("got %q, %v; want a complete response: %v", got, err, tt.complete)
			}
		})
	}
}

// TestResetBeforeShortRequestLooksComplete guards against the same fault with a short request, which is written before the response
// is read.
func TestResetBeforeShortRequestLooksComplete(t *testing.T) {
	tests := []struct {
		name, response string
		complete       bool
	}{
		{"up to the end of the connection", partial, false},
		{"with its length", lengthGiven, true},
		{"in chunks", chunksGiven, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			p := newPool(listenerAddr(ln))
			dial, closed := p.dial, make(chan struct{})
			p.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial(ctx, network, address)
				<-closed
				return c, err
			}
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() {
				defer close(closed)
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, strings.Replace(tt.response, "ID", "one", 1))
				time.Sleep(50 * time.Millisecond)
				reset(c)
				time.Sleep(50 * time.Millisecond)
			})
			resp, err := upload(t, p, 100)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(resp.Body); (err == nil) != tt.complete {
				t.Errorf("got %q, %v; want a complete response: %v", got, err, tt.complete)
			}
		})
	}
}

// TestHalfClosedConnectionLooksReset guards against a complete response that is refused because its request is still being written:
// the upstream has ended its side of the connection and still reads.
func TestHalfClosedConnectionLooksReset(t *testing.T) {
	addr, _ := listen(t, script{func(c net.Conn, r *http.Request) {
		respond(partial)(c, r)
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, c)
	}})
	resp, err := upload(t, newPool(addr), longBody)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); string(got) != "hello" || err != nil {
		t.Errorf("got %q, %v; want the complete response", got, err)
	}
}

// TestUpstreamThatReadsLaterGetsOtherBytes guards against bytes of another request in place of the rest of a body whose response
// came early. The connection may end within the body.
func TestUpstreamThatReadsLaterGetsOtherBytes(t *testing.T) {
	for _, size := range []int{100, maxInlineBody, maxInlineBody + 1, 1 << 20, longBody} {
		received := make(chan []byte, 1)
		addr, _ := listen(t, script{func(c net.Conn, r *http.Request) {
			respond(okResponse)(c, r)
			time.Sleep(50 * time.Millisecond)
			data, _ := io.ReadAll(r.Body)
			received <- data
		}, respond(okResponse)}, script{respond(okResponse)})
		p := newPool(addr)
		resp, err := upload(t, p, size)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); string(got) != "hello" || err != nil {
			t.Errorf("%d bytes: got %q, %v", size, got, err)
		}
		_ = resp.Body.Close()
		if got, _, err := get(t, p, "two", false); got != "hello" || err != nil {
			t.Errorf("%d bytes: the next request got %q, %v", size, got, err)
		}
		data := <-received
		if len(data) > size || len(bytes.Trim(data, "\x00")) > 0 {
			t.Errorf("the upstream got %d bytes in place of a body of %d bytes, or others", len(data), size)
		}
	}
}

func listenerAddr(ln net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(ln.Addr().String())
}
