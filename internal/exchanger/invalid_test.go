package exchanger

import (
	"context"
	"io"
	"net"
	"net/http"
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
		"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 599 Own", "HTTP/1.1 200 Sch\xc3\xb6n", "HTTP/1.1 299 a\tb",
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
