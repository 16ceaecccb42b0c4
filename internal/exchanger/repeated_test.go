package exchanger

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRepeatedResponseReachesNextRequest guards against a second copy of a response, sent late on a kept connection, that is
// taken for the response to the next request: a caller would get another's response, or hear that a request which runs was not
// run.
func TestRepeatedResponseReachesNextRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nContent-Length: 7\r\n\r\nrefused"
	unnamed := func(text string) string { return strings.Replace(text, "Request-Id: ID\r\n", "", 1) }
	tests := []struct {
		name  string
		first string
		delay time.Duration
	}{
		{"response", okResponse, 0},
		{"response, late", okResponse, time.Millisecond},
		{"response without an ID", unnamed(okResponse), 0},
		{"refusal", refusal, 0},
		{"refusal, late", refusal, time.Millisecond},
		{"refusal without an ID", unnamed(refusal), 0},
		{"refusal without an ID, late", unnamed(refusal), time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			answer := respond(strings.Replace(okResponse, "hello", "fresh", 1))
			repeat := func(c net.Conn, r *http.Request) {
				time.Sleep(tt.delay)
				_, _ = io.WriteString(c, strings.ReplaceAll(tt.first, "ID", "one"))
				answer(c, r)
			}
			addr, _ := listen(t, script{respond(tt.first), repeat}, script{answer})
			p := newPool(addr)
			if _, _, err := get(t, p, "one", false); err != nil {
				t.Fatal(err)
			}
			if got, _, err := get(t, p, "two", false); got != "fresh" || err != nil {
				t.Errorf("got %q, %v; want the response to the second request", got, err)
			}
		})
	}
}

// TestBrokenHeadLooksLikeResponse guards against a response whose upstream stopped in the middle of its head, and that reaches
// the caller as a complete one with an empty or short body.
func TestBrokenHeadLooksLikeResponse(t *testing.T) {
	responses := []string{
		okResponse,
		"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\nhello",
		"HTTP/1.1 200 OK\nRequest-Id: ID\n\nhello",
	}
	for i, text := range responses {
		text = strings.ReplaceAll(text, "ID", "one")
		head := strings.Index(strings.ReplaceAll(text, "\r", " "), "hello")
		for n := range head {
			// The body without a length begins with the last byte of the head's empty line.
			if prefix := text[:n]; !strings.HasSuffix(prefix, "\n\n") && !strings.HasSuffix(prefix, "\r\n\r\n") {
				t.Run(fmt.Sprintf("%d/%d", i, n), func(t *testing.T) {
					addr, _ := listen(t, script{respond(prefix)})
					if got, x, err := get(t, newPool(addr), "one", false); err == nil || !x.Sent {
						t.Errorf("%q looks like a response with body %q, sent %v", prefix, got, x.Sent)
					}
				})
			}
		}
	}
}
