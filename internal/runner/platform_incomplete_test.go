package runner

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

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
