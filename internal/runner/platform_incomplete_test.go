package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/lavenderhub/lavenderhub/internal/logger"
)

// invalidResponses are responses by the last segment of the path. HEAD stands for the headers that each response has.
var invalidResponses = map[string]string{
	"status-000":        "HTTP/1.1 000 None\r\nHEADContent-Length: 5\r\n\r\nhello",
	"status-000-empty":  "HTTP/1.1 000 None\r\nHEADContent-Length: 0\r\n\r\n",
	"status-000-first":  "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: 5\r\n\r\nhello",
	"status-099":        "HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: 5\r\n\r\nhello",
	"status-600":        "HTTP/1.1 600 Late\r\nHEADContent-Length: 5\r\n\r\nhello",
	"status-999":        "HTTP/1.1 999 Last\r\nHEADContent-Length: 5\r\n\r\nhello",
	"status-plus":       "HTTP/1.1 +20 Plus\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: 5\r\n\r\nhello",
	"version-2":         "HTTP/2.0 200 OK\r\nHEADContent-Length: 5\r\n\r\nhello",
	"control-in-reason": "HTTP/1.1 200 O\x01K\r\nHEADContent-Length: 5\r\n\r\nhello",
	"space-in-name":     "HTTP/1.1 200 OK\r\nHEADNa me: value\r\nContent-Length: 5\r\n\r\nhello",
	"space-after-name":  "HTTP/1.1 200 OK\r\nHEADName : value\r\nContent-Length: 5\r\n\r\nhello",
	"space-before-name": "HTTP/1.1 200 OK\r\nHEAD Name: value\r\nContent-Length: 5\r\n\r\nhello",
	"tab-before-name":   "HTTP/1.1 200 OK\r\nHEAD\tName: value\r\nContent-Length: 5\r\n\r\nhello",
	"control-in-name":   "HTTP/1.1 200 OK\r\nHEADNa\x01me: value\r\nContent-Length: 5\r\n\r\nhello",
	"control-in-value":  "HTTP/1.1 200 OK\r\nHEADName: va\x01lue\r\nContent-Length: 5\r\n\r\nhello",
	"no-name":           "HTTP/1.1 200 OK\r\nHEAD: value\r\nContent-Length: 5\r\n\r\nhello",
	"chunks-after-name": "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding : chunked\r\nContent-Length: 15\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"length-after-name": "HTTP/1.1 200 OK\r\nHEADConnection: close\r\nContent-Length : 50\r\n\r\nhello",
	"chunks-of-1.0":     "HTTP/1.0 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"interim-name":      "HTTP/1.1 103 Early Hints\r\nNa me: value\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: 5\r\n\r\nhello",
	"trailer-name":      "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nNa me: value\r\n\r\n",
}

// respondAndReset answers a request before its body is read with a part of a response without a length, and resets the connection
// while the body is still being sent.
func (w *platformWorker) respondAndReset(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\n\r\nhello", r.Header.Get("X-Attempt-Id"), w.instance)
	time.Sleep(20 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// TestPlatformResetDuringUploadLooksComplete guards against a part of a response that a caller gets as a complete one: the
// connection was reset while the request was still being sent.
func TestPlatformResetDuringUploadLooksComplete(t *testing.T) {
	// uploads is enough that the writer of the request sees the reset before the reader in at least one.
	const uploads = 15
	f := startServingPlatformFleet(t)
	f.configure(`"maxBodyBytes":1048576`, `"maxBodyBytes":67108864`)
	body := strings.Repeat("deposit ", 1<<20)
	for node := range f.nodes {
		waitUntil(t, "the new limit is in force", func() bool {
			return f.send(node, http.MethodPost, "/one/a", "key-a", fmt.Sprint("limit-", node, time.Now().UnixNano()), body).status == http.StatusOK
		})
	}
	for i := range uploads {
		for node := range f.nodes {
			got := f.send(node, http.MethodPost, "/one/early-reset", "key-a", fmt.Sprintf("reset-%d-%d", node, i), body)
			if got.err != nil || got.status != http.StatusBadGateway {
				t.Errorf("node %d: status %d, body %.40q, %v; want 502", node, got.status, got.body, got.err)
			}
		}
	}
}

// TestPlatformInvalidResponseReachesCaller guards against a response that breaks the syntax of HTTP and reaches a caller, or keeps it
// waiting until its deadline.
func TestPlatformInvalidResponseReachesCaller(t *testing.T) {
	f := startServingPlatformFleet(t)
	for kind := range invalidResponses {
		for node := range f.nodes {
			id := fmt.Sprintf("%s-%d", kind, node)
			start := time.Now()
			got := f.send(node, http.MethodPost, "/one/"+kind, "key-a", id, "x")
			if got.status != http.StatusBadGateway || f.workers[1].runCount(id) != 1 {
				t.Errorf("%s: status %d, body %q, %v, after %d runs; want 502", id, got.status, got.body, got.err, f.workers[1].runCount(id))
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("%s: the attempt ended after %v, want at once", id, took)
			}
			f.outweighFailure(node, id)
		}
	}
}

// outweighFailure sends requests that succeed, so that the node does not refuse the next request after many failures of the service.
func (f *platformFleet) outweighFailure(node int, id string) {
	for i := range 4 {
		f.send(node, http.MethodPost, "/one/a", "key-a", fmt.Sprintf("%s-good-%d", id, i), "x")
	}
}

// TestPlatformBrokenStreamLooksCompleteToOldCaller guards against the part of a long response that a caller with HTTP/1.0, for which the
// end of the connection ends the response, gets as a complete one.
func TestPlatformBrokenStreamLooksCompleteToOldCaller(t *testing.T) {
	f := startServingPlatformFleet(t)
	for _, kind := range []string{"large-truncated-chunks", "large-unending-trailer", "large-reset", "large-unframed"} {
		for node := range f.nodes {
			c, err := net.Dial("tcp", f.nodes[node].node.CallerAddr().String())
			if err != nil {
				t.Fatal(err)
			}
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprintf(c, "GET /one/%s HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: %s-%d\r\nX-Deadline-Ms: 4000\r\n"+
				"Authorization: Bearer key-a\r\n\r\n", kind, kind, node)
			data, err := io.ReadAll(c)
			_ = c.Close()
			if complete := kind == "large-unframed"; (err == nil) != complete || (complete && len(data) < 1<<20) {
				t.Errorf("%s at node %d: %d bytes, %v; want a complete response: %v", kind, node, len(data), err, complete)
			}
		}
	}
}

// TestPlatformInvalidResponseShowsThatRequestRan guards against an outcome that an invalid response does not show.
func TestPlatformInvalidResponseShowsThatRequestRan(t *testing.T) {
	out := &lockedBuffer{}
	f := startServingPlatformFleet(t, func(f *platformFleet) { f.log = logger.New(out, zapcore.InfoLevel) })
	tests := []struct{ kind, part string }{
		{"status-000", "invalid status code"},
		{"space-in-name", "invalid field name"},
		{"control-in-value", "invalid field value"},
		{"trailer-name", "invalid trailer name"},
	}
	for _, tt := range tests {
		f.send(0, http.MethodPost, "/one/"+tt.kind, "key-a", tt.kind, "x")
		if line := out.line("responseBroke", tt.kind); !strings.Contains(line, tt.part) {
			t.Errorf("%s: log line %q, want %s", tt.kind, line, tt.part)
		}
		line := out.line("requestEnded", tt.kind)
		for _, want := range []string{"outcome=unknown", "reason=upstreamBroke", tt.part} {
			if !strings.Contains(line, want) {
				t.Errorf("%s: log line %q, want %s", tt.kind, line, want)
			}
		}
	}
}
