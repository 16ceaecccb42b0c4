package memorytester

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRefusalWithoutMemory guards against refusals that are not true, and against stalled callers that keep the memory. The nodes
// have memory for one body only.
func TestRefusalWithoutMemory(t *testing.T) {
	l := standardLimits()
	l.callerMemory = 64 << 10
	f := startFleet(t, l)
	ran := f.nodes[1].upstream.requests.Load()
	resp := f.exchange(head(1, "/one/a", "Content-Length: 200000") + strings.Repeat("x", 100000))
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("a body over the memory: %v", resp)
	}
	const size = 60000
	stalled := f.open(head(2, "/one/a", "Content-Length: 60000") + strings.Repeat("x", size-1))
	if f.request() != http.StatusOK {
		t.Error("a small request was not served")
	}
	f.waitUntil("the stalled caller makes room", func() bool {
		resp := f.exchange(head(3, "/one/a", "Content-Length: 60000") + strings.Repeat("x", size))
		return resp != nil && resp.StatusCode == http.StatusOK
	})
	resp, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("the stalled caller: %v, %v", resp, err)
	}
	if _, err := io.WriteString(stalled, "x"); err == nil {
		// The end of the body must not make the refused request run.
		time.Sleep(100 * time.Millisecond)
	}
	if n := f.nodes[1].upstream.requests.Load() - ran; n != 2 {
		t.Errorf("the upstream ran %d requests, want 2", n)
	}
}

// open sends a text on a new connection to the first node.
func (f *fleet) open(text string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.nodes[0].caller)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = io.WriteString(c, text)
	return c
}

// exchange sends a text and reads the response, which is nil if there is none.
func (f *fleet) exchange(text string) *http.Response {
	resp, err := http.ReadResponse(bufio.NewReader(f.open(text)), nil)
	if err != nil {
		return nil
	}
	return resp
}
