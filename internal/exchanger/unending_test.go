package exchanger

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxWritten bounds the bytes in one test that an upstream may write before its connection is closed. It allows for the
	// buffers of both sockets.
	maxWritten = 32 << 20
	// endsEarly is the time in which an attempt ends; its deadline is far later.
	endsEarly = 5 * time.Second
)

// sendUnending returns an action that sends a start, and a part again and again until the connection is closed or
// maxWritten is reached. It reports the bytes written.
func sendUnending(start, part string, written chan<- int) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		respond(start)(c, r)
		block := strings.Repeat(part, 1+(16<<10)/len(part))
		total := 0
		for total < maxWritten {
			n, err := io.WriteString(c, block)
			total += n
			if err != nil {
				break
			}
		}
		written <- total
	}
}

func TestUnendingBytesEndTheAttempt(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
		other   = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	long := strings.Repeat("x", 4<<10)
	tests := []struct {
		name, start, part string
		inHead            bool
	}{
		{"no response", "", "x", true},
		{"status line", "HTTP/1.1 200 ", "x", true},
		{"header line", "HTTP/1.1 200 OK\r\nName: ", "x", true},
		{"header block", "HTTP/1.1 200 OK\r\n", "Name: value\r\n", true},
		{"folded header line", "HTTP/1.1 200 OK\r\nName: value\r\n", " more\r\n", true},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", false},
		{"long interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("a", 1<<20) + "\r\n\r\n", true},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0", false},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;a=", "x", false},
		{"chunks with more extension than data", head + chunked, "1;a=" + long[:1000] + "\r\ny\r\n", false},
		{"trailer line", head + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x", false},
		{"trailer block", head + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false},
		{"body of a mismatched response", other + chunked, "1000\r\n" + long + "\r\n", false},
		{"unframed body of a mismatched response", other + "\r\n", "x", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			written := make(chan int, 1)
			addr, _ := listen(t, script{sendUnending(tt.start, tt.part, written)})
			began := time.Now()
			_, x, err := get(t, newPool(addr), "one", false)
			if err == nil || !x.Sent || errors.As(err, new(*HeadError)) != tt.inHead {
				t.Errorf("sent %v, error %v; want an error after the request was sent, of the head: %v", x.Sent, err, tt.inHead)
			}
			if took := time.Since(began); took > endsEarly {
				t.Errorf("the attempt ended after %v, want at most %v", took, endsEarly)
			}
			if n := <-written; n >= maxWritten {
				t.Errorf("the upstream wrote %d bytes, want the connection closed before %d", n, maxWritten)
			}
		})
	}
}

func TestUnendingHealthCheckBodyIsNotRead(t *testing.T) {
	written := make(chan int, 1)
	addr, _ := listen(t, script{sendUnending("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\n", "x", written)})
	req, err := http.NewRequest(http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(idHeader, "one")
	resp, _, err := newPool(addr).Do(req, true)
	if err != nil {
		t.Fatal(err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Error(err)
	}
	if n := <-written; n >= maxWritten {
		t.Errorf("the upstream wrote %d bytes, want the connection closed before %d", n, maxWritten)
	}
}

func TestBytesThatBeginNoResponseEndTheAttempt(t *testing.T) {
	addr, _ := listen(t, script{func(c net.Conn, r *http.Request) {
		respond("HTTQ")(c, r)
		stall(c, r)
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 2*endsEarly)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_, x, err := newPool(addr).Do(req, false)
	if err == nil || !x.Sent || ctx.Err() != nil {
		t.Errorf("sent %v, error %v; want an error before the deadline", x.Sent, err)
	}
}

func TestHeadOfTheLargestSizeIsRead(t *testing.T) {
	for _, extra := range []int{0, 1} {
		start := "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 5\r\nName: "
		head := start + strings.Repeat("x", maxHeadBytes-len(start)-len("\r\n\r\n")+extra) + "\r\n\r\n"
		addr, _ := listen(t, script{respond(head + "hello")})
		if got, _, err := get(t, newPool(addr), "one", false); (err == nil) != (extra == 0) || (err == nil && got != "hello") {
			t.Errorf("head of %d bytes: got %q, %v", len(head), got, err)
		}
	}
}
