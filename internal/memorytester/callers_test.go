package memorytester

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// nodeMemoryMB is the memory of a node under test, and bodyLimit the size of the largest legal body there.
	nodeMemoryMB = 96
	bodyLimit    = 4 << 20
	// descriptorLimit leaves room for all crowds but those of TestConnections.
	descriptorLimit = 1200
	// crowd is the number of callers with a body, whose sum is three times the memory of the node.
	crowd = 72
	// stallTime is how long callers that are not read any more wait before they count as done.
	stallTime = 4 * time.Second
)

// callers plays many callers of one address at once. Each keeps its connection open until the end of the test.
type callers struct {
	f       *fleet
	address string
	group   sync.WaitGroup
	mu      sync.Mutex
	conns   []net.Conn
}

func newCallers(f *fleet) *callers {
	return newCallersOf(f, f.nodes[0].caller)
}

func newCallersOf(f *fleet, address string) *callers {
	p := &callers{f: f, address: address}
	f.t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			_ = c.Close()
		}
	})
	return p
}

// start starts n callers. Errors of a connection end its caller: a node may refuse it or close the connection.
func (p *callers) start(n int, send func(c net.Conn, i int) error) {
	for i := range n {
		p.group.Go(func() {
			c, err := net.DialTimeout("tcp", p.address, stallTime)
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			_ = send(&stallingConn{c}, i)
		})
	}
}

// wait waits until all callers have sent what they want to send, or can't.
func (p *callers) wait() {
	p.group.Wait()
	p.f.observe()
	// What the nodes have received is processed.
	time.Sleep(500 * time.Millisecond)
	p.f.observe()
}

// stallingConn fails a write that makes no progress for stallTime.
type stallingConn struct{ net.Conn }

func (c *stallingConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(stallTime))
	return c.Conn.Write(b)
}

// head returns the head of a request, with further header lines.
func head(i int, path string, lines ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-a\r\nX-Attempt-Id: crowd-%d\r\n"+
		"X-Deadline-Ms: 20000\r\n%s\r\n\r\n", path, i, strings.Join(lines, "\r\n"))
}

// target is what callers send their requests for.
type target struct {
	path string
	// contentType is the type of the body, or empty.
	contentType string
}

// head returns the head of a request for the target, with a further header line.
func (to target) head(i int, line string) string {
	if to.contentType == "" {
		return head(i, to.path, line)
	}
	return head(i, to.path, "Content-Type: "+to.contentType, line)
}

func standardLimits() limits {
	return limits{memoryMB: nodeMemoryMB, maxBodyBytes: bodyLimit, descriptors: descriptorLimit}
}

// TestHeadersOverLimit guards against header sections that are held for connections that don't end them.
func TestHeadersOverLimit(t *testing.T) {
	f := startFleet(t, standardLimits())
	p := newCallers(f)
	p.sendHeaders()
	p.wait()
	f.check()
}

// sendHeaders sends header sections that are over the limit or have no end.
func (p *callers) sendHeaders() {
	start := "GET /one/a HTTP/1.1\r\nHost: a.example\r\n"
	p.start(300, func(c net.Conn, _ int) error {
		// The size is below the limit of the servers, and above that of the configuration.
		var b strings.Builder
		b.WriteString(start)
		for n := 0; b.Len() < 62<<10; n++ {
			fmt.Fprintf(&b, "%x:\r\n", 0xa000+n)
		}
		_, err := io.WriteString(c, b.String())
		return err
	})
	p.start(100, func(c net.Conn, _ int) error {
		_, err := io.WriteString(c, start+"Name: "+strings.Repeat("x", 62<<10))
		return err
	})
	p.start(100, func(c net.Conn, _ int) error {
		if _, err := io.WriteString(c, start); err != nil {
			return err
		}
		return repeat(c, strings.Repeat("Name: value\r\n", 500), 4<<20)
	})
}

// repeat writes a text until the given number of bytes is reached or the connection fails.
func repeat(c net.Conn, text string, size int) error {
	for sent := 0; sent < size; sent += len(text) {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
	}
	return nil
}

// TestEmptyLines guards against empty lines without end before a request, on a new connection, behind a request and in its place.
func TestEmptyLines(t *testing.T) {
	f := startFleet(t, standardLimits())
	p := newCallers(f)
	p.sendEmptyLines(target{path: "/one/slow"})
	p.wait()
	f.check()
}

// sendEmptyLines sends empty lines in place of a request, and behind a request for the target.
func (p *callers) sendEmptyLines(to target) {
	lines := strings.Repeat("\r\n", 4<<10)
	p.start(200, func(c net.Conn, _ int) error { return repeat(c, lines, 4<<20) })
	p.start(200, func(c net.Conn, i int) error {
		if _, err := io.WriteString(c, to.head(i, "Content-Length: 1")+"x"); err != nil {
			return err
		}
		return repeat(c, lines, 4<<20)
	})
	p.start(100, func(c net.Conn, _ int) error { return repeat(c, "\n", 64<<10) })
}

// sendBody sends a body of the given size in pieces. With short, it stops one byte before the end.
func sendBody(c net.Conn, to target, i, size, piece int, short bool) error {
	if _, err := io.WriteString(c, to.head(i, fmt.Sprintf("Content-Length: %d", size))); err != nil {
		return err
	}
	if short {
		size--
	}
	block := bytes.Repeat([]byte("x"), piece)
	for size > 0 {
		n, err := c.Write(block[:min(size, len(block))])
		if err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// TestBodies guards against bodies of legal size, most of which stop just short of their end.
func TestBodies(t *testing.T) {
	for _, piece := range []int{bodyLimit, 8 << 10} {
		t.Run(fmt.Sprintf("pieces of %d", piece), func(t *testing.T) {
			f := startFleet(t, standardLimits())
			p := newCallers(f)
			p.start(crowd, func(c net.Conn, i int) error {
				return sendBody(c, target{path: "/one/a"}, i, bodyLimit, piece, i%6 != 0)
			})
			p.wait()
			f.check()
		})
	}
}

// TestWholeBodies guards against bodies of legal size that all reach the node of one upstream.
func TestWholeBodies(t *testing.T) {
	f := startFleet(t, standardLimits())
	p := newCallers(f)
	p.start(crowd, func(c net.Conn, i int) error {
		return sendBody(c, target{path: "/one/a"}, i, bodyLimit, bodyLimit, false)
	})
	p.wait()
	f.check()
}

// TestChunkedBodies guards against bodies in large and in very small chunks, most of which stop just short of their end.
func TestChunkedBodies(t *testing.T) {
	for _, test := range []struct {
		chunk, size int
	}{{64 << 10, bodyLimit - 64<<10}, {2, 1 << 20}} {
		t.Run(fmt.Sprintf("chunks of %d", test.chunk), func(t *testing.T) {
			f := startFleet(t, standardLimits())
			p := newCallers(f)
			p.sendChunks(target{path: "/one/a"}, test.chunk, test.size)
			p.wait()
			f.check()
		})
	}
}

// sendChunks sends chunked bodies of about the given size, most of which stop just short of their end.
func (p *callers) sendChunks(to target, chunkSize, size int) {
	// The sum is the same for all sizes.
	p.start(crowd*bodyLimit/(size+chunkSize)/2, func(c net.Conn, i int) error {
		if _, err := io.WriteString(c, to.head(i, "Transfer-Encoding: chunked")); err != nil {
			return err
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat("x", chunkSize))
		many := max(1, (32<<10)/len(chunk))
		if err := repeat(c, strings.Repeat(chunk, many), size/chunkSize*len(chunk)); err != nil {
			return err
		}
		if i%6 != 0 {
			return nil
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	})
}

// TestSlowReaders guards against large responses that their callers don't read.
func TestSlowReaders(t *testing.T) {
	f := startFleet(t, standardLimits())
	p := newCallers(f)
	p.start(200, func(c net.Conn, i int) error {
		_, err := io.WriteString(c, head(i, "/one/large", "Content-Length: 1")+"x")
		return err
	})
	p.wait()
	time.Sleep(2 * time.Second)
	f.check()
}

// TestConnections guards against connections that use up the descriptors: silent ones, those that wait within a head or a body,
// and idle ones.
func TestConnections(t *testing.T) {
	l := standardLimits()
	l.descriptors = 300
	f := startFleet(t, l)
	p := newCallers(f)
	for _, text := range []string{
		"", "GET /one/a HTTP/1.1\r\n", head(1, "/one/a", "Content-Length: 9") + "x", head(2, "/one/a", "Transfer-Encoding: chunked"),
		head(3, "/one/a", "Content-Length: 1") + "x",
	} {
		p.start(100, func(c net.Conn, _ int) error {
			_, err := io.WriteString(c, text)
			return err
		})
	}
	p.wait()
	f.check()
}

// TestLargestBody guards against a limit that refuses one body of the largest legal size.
func TestLargestBody(t *testing.T) {
	const size = 64 << 20
	f := startFleet(t, limits{memoryMB: 184, maxBodyBytes: size, descriptors: descriptorLimit})
	for range 3 {
		if status := f.send(io.LimitReader(endless{}, size), size); status != 200 {
			t.Errorf("status %d", status)
		}
	}
	f.check()
}

// endless reads as a text without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}
