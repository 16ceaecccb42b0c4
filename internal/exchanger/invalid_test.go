package exchanger

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// keepOpen returns an action that sends a text and leaves the connection open.
func keepOpen(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		respond(text)(c, r)
		stall(c, r)
	}
}

// expectInvalid checks that a response ends its attempt at once, with its connection closed.
func expectInvalid(t *testing.T, text string) {
	t.Helper()
	closed := make(chan struct{})
	addr, _ := listen(t, script{func(c net.Conn, r *http.Request) {
		keepOpen(text)(c, r)
		close(closed)
	}})
	ctx, cancel := context.WithTimeout(t.Context(), endsEarly)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(idHeader, "one")
	resp, x, err := newPool(addr).Do(req, false)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(resp.Body)
	}
	switch {
	case err == nil:
		t.Errorf("got status %d, header %q, body %q; want an error", resp.StatusCode, resp.Header, data)
	case ctx.Err() != nil:
		t.Errorf("got the error %v at the deadline; want one at once", err)
	case !x.Sent:
		t.Error("Sent is false, want true")
	}
	select {
	case <-closed:
	case <-time.After(endsEarly):
		t.Error("the connection was not closed")
	}
}

// TestInvalidStatusReachesCaller guards against a response that has no valid status line.
func TestInvalidStatusReachesCaller(t *testing.T) {
	const rest = "\r\nRequest-Id: ID\r\nContent-Length: 5\r\n\r\nhello"
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 001 One", "HTTP/1.1 099 Early", "HTTP/1.1 600 Late", "HTTP/1.1 999 Last",
		"HTTP/1.1 +20 Plus", "HTTP/1.1 -00 Minus", "HTTP/1.1 2 Short", "HTTP/1.1 2000 Long", "HTTP/1.1 2x0 Letter", "HTTP/1.1",
		"HTTP/1.1 ", "HTTP/1.1  ", "HTTP/1.1 20 0 Split", "HTTP/1.1 200OK", "HTTP/1.1\t200 OK", "HTTP/1.1 101 Switching Protocols",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/3.0 200 OK", "HTTP/1.x 200 OK", "HTTP/1 200 OK", "HTTP/11.1 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\r",
	} {
		t.Run(line, func(t *testing.T) { expectInvalid(t, line+rest) })
		t.Run(line+" before a response", func(t *testing.T) { expectInvalid(t, line+"\r\n\r\n"+okResponse) })
	}
}

// TestValidStatusIsRefused guards against a check of status lines that refuses valid ones.
func TestValidStatusIsRefused(t *testing.T) {
	const rest = "\r\nRequest-Id: ID\r\nContent-Length: 5\r\n\r\nhello"
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 599 Own", "HTTP/1.1 200 Sch\xc3\xb6n",
		"HTTP/1.1 299 a\tb",
		"HTTP/1.1 199 Interim\r\n\r\nHTTP/1.1 200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			addr, _ := listen(t, script{respond(line + rest)})
			if got, _, err := get(t, newPool(addr), "one", false); got != "hello" || err != nil {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// TestInvalidFieldReachesCaller guards against a line of a header section that is passed on, or that recipients read differently: a
// length or an encoding that one takes and the other does not.
func TestInvalidFieldReachesCaller(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
		sized = "Content-Length: 5\r\n\r\nhello"
	)
	lines := []string{
		"Na me: value", "Name : value", "Name\t: value", "Na\x01me: value", "Na\x00me: value", "Na\rme: value", "Na\x7fme: value",
		"N\xc3\xa4me: value", "Na(me: value", "Na\"me: value", ": value", "no colon", "Name: va\x00lue", "Name: va\x01lue", "Name: va\x7flue",
		"Name: va\rlue", "Name: value\r", "\x0bName: value", "\r",
	}
	for _, line := range lines {
		t.Run(line, func(t *testing.T) { expectInvalid(t, head+line+"\r\n"+sized) })
		t.Run(line+" in the first line", func(t *testing.T) { expectInvalid(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nRequest-Id: ID\r\n"+sized) })
		t.Run(line+" in an interim response", func(t *testing.T) {
			expectInvalid(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+head+sized)
		})
		t.Run(line+" in a trailer", func(t *testing.T) {
			expectInvalid(t, head+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"+line+"\r\n\r\n")
		})
	}
	tests := []struct{ name, response string }{
		{"space before the first field", "HTTP/1.1 200 OK\r\n Name: value\r\nRequest-Id: ID\r\n" + sized},
		{"tab before the first field", "HTTP/1.1 200 OK\r\n\tName: value\r\nRequest-Id: ID\r\n" + sized},
		{"empty line of spaces", "HTTP/1.1 200 OK\r\n \r\nRequest-Id: ID\r\n" + sized},
		{"folded line", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nName: a\r\n b\r\n" + sized},
		{"length after a space", head + "Name: a\r\n Content-Length: 5\r\n\r\nhello"},
		{"length after a tab", head + "Name: a\r\n\tContent-Length: 5\r\n\r\nhello"},
		{"length with a space before the colon", head + "Content-Length : 5\r\n\r\nhello"},
		{"chunks with a space before the colon", head + "Transfer-Encoding : chunked\r\n" + sized},
		{"two lengths", head + "Content-Length: 4\r\n" + sized},
		{"length with a sign", head + "Content-Length: +5\r\n\r\nhello"},
		{"length with a list", head + "Content-Length: 5, 6\r\n\r\nhello"},
		{"no length", head + "Content-Length:\r\n\r\nhello"},
		{"negative length", head + "Content-Length: -1\r\n\r\nhello"},
		{"length over 63 bits", head + "Content-Length: 18446744073709551621\r\n\r\nhello"},
		{"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"other encoding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"other last encoding", head + "Transfer-Encoding: chunked, gzip\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"no encoding", head + "Transfer-Encoding:\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"two encodings", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { expectInvalid(t, tt.response) })
	}
}

// TestInvalidChunksReachCaller guards against the framing of chunks that recipients read differently.
func TestInvalidChunksReachCaller(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, chunks := range []string{
		"x\r\nhello\r\n0\r\n\r\n", "\r\nhello\r\n0\r\n\r\n", "-5\r\nhello\r\n0\r\n\r\n", "+5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n",
		"5 5\r\nhello\r\n0\r\n\r\n", "10000000000000005\r\nhello\r\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n", "5\r\nhelloo\r\n0\r\n\r\n",
		"5\r\nhello0\r\n\r\n", "4\r\nhello\r\n0\r\n\r\n", "5\x01\r\nhello\r\n0\r\n\r\n",
		"5;\r\r\nhello\r\n0\r\n\r\n",
	} {
		t.Run(chunks, func(t *testing.T) { expectInvalid(t, head+chunks) })
	}
}

// TestValidFieldIsRefused guards against a check of fields that refuses valid ones, or that loses the bytes after a long head.
func TestValidFieldIsRefused(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
	long := strings.Repeat("Name: "+strings.Repeat("x", 1000)+"\r\n", 50)
	tests := []struct{ name, response string }{
		{"all token bytes", start + "!#$%&'*+-.^_`|~09azAZ: value\r\nContent-Length: 5\r\n\r\nhello"},
		{"no value", start + "Name:\r\nContent-Length: 5\r\n\r\nhello"},
		{"bytes over 127 and a tab", start + "Name: \xc3\xa4\tb\xff\r\nContent-Length: 5\r\n\r\nhello"},
		{"line feeds", strings.ReplaceAll(start+"Content-Length: 5\r\n\r\n", "\r\n", "\n") + "hello"},
		{"the same length twice", start + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello"},
		{"long head", start + long + "Content-Length: 5\r\n\r\nhello"},
		{"long interim response", "HTTP/1.1 103 Early Hints\r\n" + long + "\r\n" + okResponse},
		{"trailer", start + "Trailer: A, no token\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\nB:\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, _ := listen(t, script{respond(tt.response), respond(okResponse)}, script{})
			p := newPool(addr)
			for _, id := range []string{"one", "two"} {
				if got, _, err := get(t, p, id, false); got != "hello" || err != nil {
					t.Errorf("request %s: got %q, %v", id, got, err)
				}
			}
			if n := p.idle[0].reader.Size(); n != readBufferSize {
				t.Errorf("the idle connection has a buffer of %d bytes, want %d", n, readBufferSize)
			}
		})
	}
}
