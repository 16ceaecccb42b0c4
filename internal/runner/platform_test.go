package runner

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/internal/logger"
	"github.com/lavenderhub/lavenderhub/schema"
)

// platformFleet is a fleet of three control hosts and two nodes with the platform's protocol adapter, in one process over
// loopback.
type platformFleet struct {
	t        *testing.T
	controls []*Process
	nodes    []*Process
	seeds    []string
	workers  []*platformWorker
	version  int
	log      *zap.Logger
}

// platformWorker is a simulated upstream on raw connections. The last segment of a request's path selects its response.
type platformWorker struct {
	instance string
	service  string
	listener net.Listener
	group    sync.WaitGroup

	mu        sync.Mutex
	requests  []*http.Request
	runCounts map[string]int
	// unending is the number of responses without end that are being sent.
	unending atomic.Int64
	// leaving is set while health checks are answered with 503.
	leaving bool
	// earlyBodies holds the request bodies that arrived after early responses.
	earlyBodies []string
}

// slowResponse is the time until a slow response of the simulated upstream.
const slowResponse = 500 * time.Millisecond

// refusalWithoutID is sent by an upstream that has no room.
const refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func (w *platformWorker) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.group.Go(func() { w.serveConn(c) })
	}
}

func (w *platformWorker) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	sendLate, repeatRefusal := false, false
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if sendLate {
			// A second response to the previous request arrives where the response to this one is expected.
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: late\r\nContent-Length: 4\r\n\r\nlate")
		}
		if repeatRefusal {
			fmt.Fprint(c, refusalWithoutID)
		}
		sendLate, repeatRefusal = strings.HasSuffix(r.URL.Path, "/late"), strings.HasSuffix(r.URL.Path, "/declined")
		if strings.HasSuffix(r.URL.Path, "/early") {
			w.respondBeforeBody(c, r)
			continue
		}
		if strings.HasSuffix(r.URL.Path, "/early-reset") {
			w.respondAndReset(c, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !w.respond(c, r, body) {
			return
		}
	}
}

// respondBeforeBody rejects a request before reading its body, and reads the body afterwards.
func (w *platformWorker) respondBeforeBody(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 422 Unprocessable Entity\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nContent-Length: 5\r\n\r\nearly",
		r.Header.Get("X-Attempt-Id"), w.instance)
	// The connection may end within the body. TestPlatformEarlyResponse checks that no other bytes arrive in its place.
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.earlyBodies = append(w.earlyBodies, string(body))
}

// respond writes the response that the last segment of the path selects. It reports whether the connection stays open.
func (w *platformWorker) respond(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Attempt-Id")
	w.mu.Lock()
	instance, leaving := w.instance, w.leaving
	w.mu.Unlock()
	if r.URL.Path == "/h" {
		status := "200 OK"
		if leaving {
			status = "503 Service Unavailable"
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nX-Server-Load: 3,0,20\r\nContent-Length: 0\r\n\r\n", status, instance)
		return true
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != instance {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", instance)
		return true
	}
	kind := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	if kind == "declined" {
		fmt.Fprint(c, refusalWithoutID)
		return true
	}
	w.mu.Lock()
	w.requests = append(w.requests, r)
	w.runCounts[id]++
	w.mu.Unlock()
	head := "X-Attempt-Id: " + id + "\r\nX-Server-Stamp: stamp-" + instance + "\r\n"
	if text, ok := invalidResponses[kind]; ok {
		fmt.Fprint(c, strings.ReplaceAll(text, "HEAD", head))
		// An upstream that closes the connection ends its response with it.
		return !strings.Contains(text, "HTTP/1.0") && !strings.Contains(text, "Connection: close")
	}
	if text, ok := strings.CutPrefix(kind, "wait-"); ok {
		ms, _ := strconv.Atoi(text)
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	switch kind {
	case "failed":
		fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 4\r\n\r\noops", head)
	case "slow":
		time.Sleep(slowResponse)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nhello", head)
	case "broken-head":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Le", head)
		return false
	case "head-without-end":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s", head)
		return false
	case "truncated":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 400\r\n\r\nhello", head)
		return false
	case "unframed":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nhello", head)
		return false
	case "extra":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nhello", head)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: late\r\nContent-Length: 4\r\n\r\nlate")
	case "unresponsive":
		_, _ = io.Copy(io.Discard, c)
		return false
	case "closing":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\nContent-Length: 5\r\n\r\nhello", head)
		return false
	case "large":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", head, 1<<20)
		_, _ = c.Write(bytes.Repeat([]byte("x"), 1<<20))
	case "large-truncated-chunks":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n100000\r\n", head)
		_, _ = c.Write(bytes.Repeat([]byte("x"), 1<<20))
		return false
	case "large-unframed":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", head)
		_, _ = c.Write(bytes.Repeat([]byte("x"), 1<<20))
		return false
	case "large-reset":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", head)
		_, _ = c.Write(bytes.Repeat([]byte("x"), 1<<20))
		// The node reads most of the response before the reset.
		time.Sleep(slowResponse / 10)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case "unending-head":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s", head)
		return sendUntilClosed(c, "Name: value\r\n")
	case "unending-chunks":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", head)
		return w.sendUnending(c, "400\r\n"+strings.Repeat("x", 1024)+"\r\n")
	case "unending-body":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", head)
		return w.sendUnending(c, strings.Repeat("x", 1024))
	case "unending-refusal":
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n\r\n", id)
		return w.sendUnending(c, strings.Repeat("x", 1024))
	case "unending-garbage":
		return w.sendUnending(c, strings.Repeat("HTTP", 256))
	case "no-response":
		_, _ = io.WriteString(c, "none\r")
		_, _ = io.Copy(io.Discard, c)
		return false
	case "unending-trailer":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", head)
		return sendUntilClosed(c, "Name: value\r\n")
	case "large-unending-trailer":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n100000\r\n", head)
		_, _ = c.Write(bytes.Repeat([]byte("x"), 1<<20))
		_, _ = io.WriteString(c, "\r\n0\r\n")
		return sendUntilClosed(c, "Name: value\r\n")
	default:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\nhello%s", head, 5+len(body), body)
	}
	return true
}

// sendUnending is like sendUntilClosed with small writes, and counts the responses that are being sent.
func (w *platformWorker) sendUnending(c net.Conn, text string) bool {
	w.unending.Add(1)
	defer w.unending.Add(-1)
	for block := []byte(text); ; {
		if _, err := c.Write(block); err != nil {
			return false
		}
	}
}

// sendUntilClosed sends a text again and again until the connection is closed.
func sendUntilClosed(c net.Conn, text string) bool {
	block := strings.Repeat(text, 1000)
	for {
		if _, err := io.WriteString(c, block); err != nil {
			return false
		}
	}
}

func (w *platformWorker) lastRequest() *http.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests[len(w.requests)-1]
}

func (w *platformWorker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runCounts[id]
}

func startPlatformFleet(t *testing.T, opts ...func(*platformFleet)) *platformFleet {
	t.Helper()
	f := &platformFleet{t: t, log: zap.NewNop()}
	for _, opt := range opts {
		opt(f)
	}
	ports := &portAllocator{}
	allocate := func() string {
		addr, err := ports.allocate()
		if err != nil {
			t.Fatal(err)
		}
		return addr.String()
	}
	for range 3 {
		f.seeds = append(f.seeds, allocate())
	}
	for i, seed := range f.seeds {
		f.controls = append(f.controls, f.start(&schema.Settings{TrustedNetwork: true, Control: &schema.ControlSettings{
			Name: fmt.Sprintf("core-%d", i), FailureDomain: "d1", Address: seed, DataFolder: t.TempDir(), Seeds: f.seeds,
			FirstStart: true, ToleratedLosses: 1, Face: schema.Face_FACE_PLATFORM,
		}}))
	}
	for i := range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		f.nodes = append(f.nodes, f.start(&schema.Settings{TrustedNetwork: true, Node: &schema.NodeSettings{
			Name: fmt.Sprintf("side-%d", i), FailureDomain: "d1", Region: "r1", CallerAddress: allocate(), PeerAddress: allocate(),
			AnnounceAddress: allocate(), ReadyAddress: allocate(), ControlAddresses: f.seeds, Service: fmt.Sprintf("svc%d", i),
			HeartbeatInterval: durationpb.New(time.Minute), Face: schema.Face_FACE_PLATFORM,
			UpstreamAddress: ln.Addr().String(),
		}}))
		w := &platformWorker{instance: fmt.Sprintf("i-%d", i), service: fmt.Sprintf("svc%d", i), listener: ln, runCounts: map[string]int{}}
		f.workers = append(f.workers, w)
		w.group.Go(w.serve)
	}
	return f
}

func (f *platformFleet) start(cfg *schema.Settings) *Process {
	f.t.Helper()
	p, err := Start(cfg, f.log)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		if p.node != nil {
			_ = p.node.Kill()
		}
		if p.control != nil {
			_ = p.control.Kill()
		}
	})
	return p
}

// heartbeat sends a heartbeat of a worker to its node and returns the status code.
func (f *platformFleet) heartbeat(i int, state string, seq int) int {
	w := f.workers[i]
	return f.post("http://"+f.nodes[i].node.cfg.GetAnnounceAddress()+"/instances/"+w.instance+"/heartbeat", fmt.Sprintf(
		`{"address":%q,"info":{"service":%q,"zone":"d1","slots":20},"status":{"state":%q,"seq":%d,"coldLeftS":0},"born":1000}`,
		w.listener.Addr().String(), w.service, state, seq))
}

// post sends a POST request and returns the status code, or zero if the request fails.
func (f *platformFleet) post(url, body string) int {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// configure replaces the configuration by its next version. Replacements are pairs of old and new text in the
// configuration.
func (f *platformFleet) configure(replacements ...string) {
	f.t.Helper()
	text := f.configuration(replacements...)
	waitUntil(f.t, "the configuration is acknowledged", func() bool { return f.post("http://"+f.seeds[0]+"/config/replace", text) == 200 })
	f.version++
}

// configuration returns the next version of the configuration.
func (f *platformFleet) configuration(replacements ...string) string {
	text := fmt.Sprintf(`{"version":"r%d","baseVersion":"r%d","routes":{`+
		`"zero":{"host":"a.example","pathPrefix":"/zero/","kind":"idempotent","service":"svc0",COMMON,"public":false},`+
		`"one":{"host":"a.example","pathPrefix":"/one/","kind":"non_idempotent","service":"svc1",COMMON,"public":false},`+
		`"open":{"host":"a.example","pathPrefix":"/one/open/","kind":"idempotent","service":"svc1",COMMON,"public":true}},`+
		`"services":{"svc0":{"healthPath":"/h","maxConns":90},"svc1":{"healthPath":"/h","maxConns":90}},`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},`+
		`"tenants":{"school":{"apiKeys":["key-a","key-b"],"ratePerS":500,"burst":500},"tiny":{"apiKeys":["key-t"],"ratePerS":1,"burst":1}}}`,
		f.version+1, f.version)
	text = strings.ReplaceAll(text, "COMMON", `"timeoutS":1.5,"targetLatencyS":1,"priority":1,"maxAttempts":2`)
	return strings.NewReplacer(replacements...).Replace(text)
}

// send sends a request with the given request ID to a node.
func (f *platformFleet) send(node int, method, target, key, id, body string, headers ...string) response {
	f.t.Helper()
	url := "http://" + f.nodes[node].node.CallerAddr().String() + target
	req, err := http.NewRequestWithContext(f.t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "4000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// startServingPlatformFleet starts a fleet and waits until both nodes serve requests to both services.
func startServingPlatformFleet(t *testing.T, opts ...func(*platformFleet)) *platformFleet {
	t.Helper()
	f := startPlatformFleet(t, opts...)
	f.configure()
	for i := range f.workers {
		waitUntil(t, "a heartbeat is accepted", func() bool { return f.heartbeat(i, "ready", 1) == http.StatusOK })
	}
	for node := range f.nodes {
		for _, target := range []string{"/zero/x", "/one/x"} {
			n := 0
			waitUntil(t, "requests are served", func() bool {
				n++
				return f.send(node, http.MethodGet, target, "key-a", fmt.Sprintf("warm-%d-%s-%d", node, target, n), "").status == http.StatusOK
			})
		}
	}
	return f
}

func TestPlatformResponses(t *testing.T) {
	f := startServingPlatformFleet(t)
	stamp := func(i int) string { return fmt.Sprintf("stamp-i-%d", i) }
	tests := []struct {
		name   string
		method string
		target string
		key    string
		body   string
		status int
		text   string
		stamp  string
	}{
		{"local upstream", http.MethodGet, "/zero/a?q=%20x", "key-a", "", 200, "hello", stamp(0)},
		{"other node's upstream", http.MethodPost, "/one/a", "key-b", "deposit", 200, "hellodeposit", stamp(1)},
		{"failure is forwarded", http.MethodPost, "/one/failed", "key-a", "x", 500, "oops", stamp(1)},
		{"not run by the upstream", http.MethodPost, "/one/declined", "key-a", "x", 503, "", ""},
		{"truncated response", http.MethodPost, "/one/truncated", "key-a", "x", 502, "", ""},
		{"response up to the end of the connection", http.MethodGet, "/one/unframed", "key-a", "", 200, "hello", stamp(1)},
		{"unsolicited second response", http.MethodGet, "/one/extra", "key-a", "", 200, "hello", stamp(1)},
		{"after an unsolicited response", http.MethodGet, "/one/a", "key-a", "", 200, "hello", stamp(1)},
		{"unending head", http.MethodPost, "/one/unending-head", "key-a", "x", 502, "", ""},
		{"bytes that are no response", http.MethodPost, "/one/no-response", "key-a", "x", 502, "", ""},
		{"unending trailer", http.MethodPost, "/one/unending-trailer", "key-a", "x", 502, "", ""},
		{"route timeout", http.MethodPost, "/one/unresponsive", "key-a", "x", 504, "", ""},
		{"before a late response", http.MethodGet, "/one/late", "key-a", "", 200, "hello", stamp(1)},
		{"together with a late response", http.MethodGet, "/one/a", "key-a", "", 200, "hello", stamp(1)},
		{"upstream that closes the connection", http.MethodGet, "/one/closing", "key-a", "", 200, "hello", stamp(1)},
		{"large response", http.MethodGet, "/one/large", "key-a", "", 200, strings.Repeat("x", 1<<20), stamp(1)},
		{"unknown key", http.MethodGet, "/zero/a", "key-x", "", 401, "", ""},
		{"no key", http.MethodGet, "/zero/a", "", "", 401, "", ""},
		{"open route", http.MethodGet, "/one/open/a", "", "", 200, "hello", stamp(1)},
		{"no route", http.MethodGet, "/three/a", "key-a", "", 404, "", ""},
		{"body over the limit", http.MethodPost, "/one/a", "key-a", strings.Repeat("x", 1<<20+1), 413, "", ""},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := f.send(0, tt.method, tt.target, tt.key, fmt.Sprintf("response-%d", i), tt.body)
			if got.err != nil || got.status != tt.status || got.header.Get("X-Server-Stamp") != tt.stamp {
				t.Fatalf("status %d, stamp %q, %v; want %d, %q", got.status, got.header.Get("X-Server-Stamp"), got.err, tt.status, tt.stamp)
			}
			if tt.text != "" && got.body != tt.text {
				t.Errorf("body %.40q, want %.40q", got.body, tt.text)
			}
			if tt.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("refusal without Retry-After")
			}
			if runs := f.workers[1].runCount(fmt.Sprintf("response-%d", i)); runs > 1 && tt.method == http.MethodPost {
				t.Errorf("the request ran %d times", runs)
			}
		})
	}
}

// TestPlatformPipelinedRequestsWaitForEachOther guards against pipelined reads that are served one after the other, against responses
// in another order, and against a request that may run once only and starts before its turn.
func TestPlatformPipelinedRequestsWaitForEachOther(t *testing.T) {
	f := startServingPlatformFleet(t)
	c, err := net.Dial("tcp", f.nodes[0].node.CallerAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	targets := []string{"/zero/slow", "/zero/a", "/zero/slow", "/one/a", "/zero/slow"}
	start := time.Now()
	for i, target := range targets {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: piped-%d\r\nX-Deadline-Ms: 4000\r\n"+
			"Authorization: Bearer key-a\r\n\r\n", target, i)
	}
	time.Sleep(slowResponse / 2)
	if n := f.workers[1].runCount("piped-3"); n != 0 {
		t.Errorf("a request that may run once only started before its turn")
	}
	br := bufio.NewReader(c)
	for i := range targets {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		id := resp.Header.Get("X-Attempt-Id")
		if err != nil || resp.StatusCode != http.StatusOK || string(body) != "hello" || id != fmt.Sprint("piped-", i) {
			t.Errorf("response %d: status %d, ID %q, body %q, %v", i, resp.StatusCode, id, body, err)
		}
	}
	if took := time.Since(start); took > 2*slowResponse {
		t.Errorf("five pipelined requests took %v, three of them %v at the upstream", took, slowResponse)
	}
}

// TestPlatformBrokenHeadLooksComplete guards against an upstream that stops in the middle of its response's head: the caller would
// get a complete response with an empty body.
func TestPlatformBrokenHeadLooksComplete(t *testing.T) {
	f := startServingPlatformFleet(t)
	for i, target := range []string{"/one/broken-head", "/one/head-without-end"} {
		if got := f.send(i, http.MethodPost, target, "key-a", fmt.Sprint("broken-", i), "x"); got.status != http.StatusBadGateway {
			t.Errorf("%s: status %d, body %q", target, got.status, got.body)
		}
	}
}

// TestPlatformRepeatedRefusalForRunningRequest guards against an upstream that writes an earlier refusal once more on a kept
// connection: the next caller would hear that its request was not run, or it would run at a second upstream.
func TestPlatformRepeatedRefusalForRunningRequest(t *testing.T) {
	f := startServingPlatformFleet(t)
	for i := range 20 {
		id := fmt.Sprint("repeated-", i)
		if got := f.send(i%2, http.MethodPost, "/one/declined", "key-a", id+"-declined", "x"); got.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d of a request that the upstream declined", got.status)
		}
		got := f.send(i%2, http.MethodPost, "/one/a", "key-a", id, "x")
		if got.status != http.StatusOK || f.workers[1].runCount(id) != 1 {
			t.Fatalf("status %d of a request that ran %d times", got.status, f.workers[1].runCount(id))
		}
	}
}

func TestPlatformStreamWithUnendingTrailerBreaksOff(t *testing.T) {
	f := startServingPlatformFleet(t)
	for i := range f.nodes {
		got := f.send(i, http.MethodPost, "/one/large-unending-trailer", "key-a", fmt.Sprint("stream-", i), "x")
		if got.err == nil {
			t.Errorf("node %d: status %d with a body of %d bytes that looks complete", i, got.status, len(got.body))
		}
	}
}

// TestPlatformUnendingResponseUsesUpMemory guards against a node that keeps what a faulty upstream sends without end until it
// runs out of memory, and with it the requests of other callers.
func TestPlatformUnendingResponseUsesUpMemory(t *testing.T) {
	const (
		copies = 4
		// maxGrowth leaves each of the 80 responses 1 MB for the buffers of two nodes, of the upstream and of the caller.
		maxGrowth = 80 << 20
	)
	f := startServingPlatformFleet(t)
	f.setTimeouts(8 * time.Second)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, leave := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for _, kind := range []string{"unending-head", "unending-chunks", "unending-body", "unending-refusal", "unending-garbage"} {
		for i := range 2 * copies {
			for _, reads := range []bool{false, true} {
				callers.Go(func() { f.sendAndLeave(ctx, i%2, "/zero/"+kind, fmt.Sprintf("%s-%d-%t", kind, i, reads), reads) })
			}
		}
	}
	for i := range 40 {
		id := fmt.Sprint("other-", i)
		if got := f.send(i%2, http.MethodPost, "/one/open/a", "", id, "x"); got.status != http.StatusOK {
			t.Errorf("status %d for another caller's request", got.status)
		}
		time.Sleep(25 * time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapInuse) - int64(before.HeapInuse); grown > maxGrowth {
		t.Errorf("the heap has grown by %d MB, want at most %d MB", grown>>20, maxGrowth>>20)
	}
	if n := f.workers[0].unending.Load(); n == 0 {
		t.Error("no response without end was in progress")
	}
	leave()
	callers.Wait()
	waitUntil(t, "the upstream's connections are closed", func() bool { return f.workers[0].unending.Load() == 0 })
}

// sendAndLeave sends a request and reads its response, or only its head, until the caller leaves.
func (f *platformFleet) sendAndLeave(ctx context.Context, node int, target, id string, reads bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.nodes[node].node.CallerAddr().String()+target, http.NoBody)
	if err != nil {
		f.t.Error(err)
		return
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "8000")
	req.Header.Set("Authorization", "Bearer key-a")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if reads {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	<-ctx.Done()
}

// TestPlatformTargetReachesUpstreamChanged guards against a path or query that reaches the upstream with other bytes than the caller
// sent.
func TestPlatformTargetReachesUpstreamChanged(t *testing.T) {
	f := startServingPlatformFleet(t)
	f.configure(`"routes":{`, `"routes":{"root":{"host":"a.example","pathPrefix":"/","kind":"idempotent","service":"svc0",`+
		`"timeoutS":1.5,"targetLatencyS":1,"priority":1,"maxAttempts":2,"public":true},`)
	for node := range f.nodes {
		waitUntil(t, "the route is in force", func() bool {
			view := f.nodes[node].node.syncer.View()
			return view != nil && view.HostRoute("a.example", "/") != nil
		})
	}
	targets := []string{
		"/", "//", "///a//b//", "//words/%E0%A6%95%20N?lang=bn%2Den", "//host/a?b", "//?//", "/a%2Fb%2fc", "/%41%61",
		"/./a/../b/.", "//../a", "/a;b=c", "/a?b?c", "/a?", "//a?", "/a?b=%20+c&&=", "/[]{}|^`\"<>", "//[]{}|^`\"<>", "/\xc3\xa9", "//\xc3\xa9",
		"/a:b@c", "//a:b@c:80/", "/*", "/a=b,c!d$e'f(g)", "//a=b,c!d$e'f(g)",
	}
	for i, target := range targets {
		for node := range f.nodes {
			got, status := f.sendTarget(node, target, fmt.Sprintf("target-%d-%d", i, node))
			if got != target || status != http.StatusOK {
				t.Errorf("node %d: %q reached the upstream as %q, status %d", node, target, got, status)
			}
		}
	}
}

// TestPlatformBadEscapeRunsNowhere checks that a target that is no valid URL gets 400.
func TestPlatformBadEscapeRunsNowhere(t *testing.T) {
	f := startServingPlatformFleet(t)
	for i, target := range []string{"/zero/%zz", "//%zz", "/zero/a%", "zero/a", "/zero/\x01"} {
		if read, status := f.sendTarget(i%2, target, fmt.Sprint("bad-", i)); status != http.StatusBadRequest || read != "" {
			t.Errorf("%q: status %d, reached the upstream as %q", target, status, read)
		}
	}
}

// sendTarget sends a request with an unchanged target on a connection of its own. It returns the target that the upstream read, if it
// ran the request, and the status.
func (f *platformFleet) sendTarget(node int, target, id string) (read string, status int) {
	f.t.Helper()
	c, err := net.Dial("tcp", f.nodes[node].node.CallerAddr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", target, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.t.Fatalf("%q: %v", target, err)
	}
	_ = resp.Body.Close()
	if w := f.workers[0]; w.runCount(id) == 1 {
		read = w.lastRequest().RequestURI
	}
	return read, resp.StatusCode
}

func TestPlatformForwardedRequest(t *testing.T) {
	f := startServingPlatformFleet(t)
	got := f.send(0, http.MethodGet, "/one/a%2Fb?x=%20y", "key-a", "forwarded", "",
		"X-Tenant", "forged", "X-Caller-Service", "forged", "X-Custom", "custom")
	if got.status != 200 {
		t.Fatalf("status %d", got.status)
	}
	r := f.workers[1].lastRequest()
	want := map[string]string{
		"X-Attempt-Id": "forwarded", "X-Tenant": "school", "X-Caller-Service": "svc0", "X-Expect-Instance": "i-1", "X-Custom": "custom",
		"Authorization": "",
	}
	for name, value := range want {
		if r.Header.Get(name) != value {
			t.Errorf("%s is %q, want %q", name, r.Header.Get(name), value)
		}
	}
	if r.RequestURI != "/one/a%2Fb?x=%20y" || r.Host != "a.example" {
		t.Errorf("target %q, host %q", r.RequestURI, r.Host)
	}
}

// TestPlatformConfigurationChanges checks that an exhausted rate, a new configuration, a withdrawn key and a draining
// upstream take effect at both nodes.
func TestPlatformConfigurationChanges(t *testing.T) {
	f := startServingPlatformFleet(t)
	refused := 0
	for i := range 20 {
		if f.send(i%2, http.MethodGet, "/zero/a", "key-t", fmt.Sprintf("over-%d", i), "").status == http.StatusTooManyRequests {
			refused++
		}
	}
	if refused < 10 {
		t.Errorf("%d of 20 requests of an account with a rate of one were refused", refused)
	}
	f.configure(`"key-a","key-b"`, `"key-b"`, `"pathPrefix":"/zero/"`, `"pathPrefix":"/null/"`)
	for node := range f.nodes {
		n := 0
		waitUntil(t, "the change is in force", func() bool {
			n++
			id := fmt.Sprintf("change-%d-%d", node, n)
			return f.send(node, http.MethodGet, "/null/x", "key-a", id, "").status == http.StatusUnauthorized &&
				f.send(node, http.MethodGet, "/zero/x", "key-b", id+"b", "").status == http.StatusNotFound &&
				f.send(node, http.MethodGet, "/null/x", "key-b", id+"c", "").status == http.StatusOK
		})
	}
	if f.heartbeat(1, "draining", 2) != http.StatusOK {
		t.Fatal("the draining heartbeat was not accepted")
	}
	before := len(f.workers[1].requests)
	for node := range f.nodes {
		if got := f.send(node, http.MethodPost, "/one/a", "key-b", fmt.Sprintf("drain-%d", node), "x"); got.status != 503 {
			t.Errorf("status %d with a draining upstream", got.status)
		}
	}
	if after := len(f.workers[1].requests); after != before {
		t.Errorf("%d requests reached a draining upstream", after-before)
	}
}

// TestPlatformFirstConfigurationIsLostWithOneDisk guards against a first configuration that is acknowledged before enough control
// hosts vote, and can't be read any more once the host that acknowledged it has lost its disk.
func TestPlatformFirstConfigurationIsLostWithOneDisk(t *testing.T) {
	f := startPlatformFleet(t)
	text := f.configuration()
	first := -1
	waitUntil(t, "the first configuration is acknowledged", func() bool {
		for i, seed := range f.seeds {
			if f.postOnce("http://"+seed+"/config/replace", text) == http.StatusOK {
				first = i
				return true
			}
		}
		return false
	})
	cfg := f.controls[first].control.cfg
	if err := f.controls[first].control.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(cfg.GetDataFolder()); err != nil {
		t.Fatal(err)
	}
	cfg.FirstStart = false
	f.controls[first] = f.start(&schema.Settings{TrustedNetwork: true, Control: cfg})
	waitUntil(t, "the first configuration is read back", func() bool {
		resp, err := http.Get("http://" + f.seeds[(first+1)%len(f.seeds)] + "/config/get")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK && string(data) == text
	})
}

// postOnce is like post, but follows no redirect.
func (f *platformFleet) postOnce(url, body string) int {
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestPlatformReadConfigurationNeedsQuorum(t *testing.T) {
	f := startServingPlatformFleet(t)
	read := func(seed string) response {
		resp, err := http.Get("http://" + seed + "/config/get")
		if err != nil {
			return response{err: err}
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		return response{status: resp.StatusCode, body: string(data), err: err}
	}
	for _, seed := range f.seeds {
		// A host that has just joined can't confirm the configuration yet. It must refuse reads until it can.
		waitUntil(t, "every control host returns the configuration", func() bool {
			got := read(seed)
			if got.status != http.StatusServiceUnavailable && (got.status != 200 || !strings.Contains(got.body, `"version":"r1"`)) {
				t.Errorf("%s: %d %.80s %v", seed, got.status, got.body, got.err)
			}
			return got.status == http.StatusOK
		})
	}
	_ = f.controls[1].control.Kill()
	_ = f.controls[2].control.Kill()
	waitUntil(t, "a control host without a quorum refuses", func() bool { return read(f.seeds[0]).status == http.StatusServiceUnavailable })
	if addr := netip.MustParseAddrPort(f.seeds[0]); f.controls[0].control.Address() != addr {
		t.Errorf("address %s", addr)
	}
}

// TestPlatformRestartedNodeFindsUpstream checks that a restarted node finds its running local upstream through health
// checks, before the upstream's next heartbeat.
func TestPlatformRestartedNodeFindsUpstream(t *testing.T) {
	f := startServingPlatformFleet(t)
	cfg := f.nodes[1].node.cfg
	if err := f.nodes[1].node.Kill(); err != nil {
		t.Fatal(err)
	}
	f.nodes[1] = f.start(&schema.Settings{TrustedNetwork: true, Node: cfg})
	for node := range f.nodes {
		n := 0
		waitUntil(t, "requests are served", func() bool {
			n++
			return f.send(node, http.MethodGet, "/one/x", "key-a", fmt.Sprintf("restarted-%d-%d", node, n), "").status == http.StatusOK
		})
	}
	if status := f.post("http://"+cfg.GetAnnounceAddress()+"/instances/i-1/deregister", ""); status != http.StatusOK {
		t.Fatalf("deregistration: status %d", status)
	}
	if got := f.send(1, http.MethodPost, "/one/x", "key-a", "left", "x"); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d after the upstream left", got.status)
	}
}

// TestPlatformDepartedUpstreamServesAfterRestart guards against requests to an upstream whose departure was acknowledged before
// its node was restarted, and one of whose heartbeats arrives late.
func TestPlatformDepartedUpstreamServesAfterRestart(t *testing.T) {
	tests := []struct {
		name   string
		depart func(f *platformFleet) int
	}{
		{"deregistered", func(f *platformFleet) int {
			return f.post("http://"+f.nodes[1].node.cfg.GetAnnounceAddress()+"/instances/i-1/deregister", `{"born":1000}`)
		}},
		{"draining", func(f *platformFleet) int { return f.heartbeat(1, "draining", 3) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startServingPlatformFleet(t)
			w := f.workers[1]
			w.mu.Lock()
			w.leaving = true
			w.mu.Unlock()
			if status := tt.depart(f); status != http.StatusOK {
				t.Fatalf("departure: status %d", status)
			}
			cfg := f.nodes[1].node.cfg
			if err := f.nodes[1].node.Kill(); err != nil {
				t.Fatal(err)
			}
			f.nodes[1] = f.start(&schema.Settings{TrustedNetwork: true, Node: cfg})
			waitUntil(t, "the restarted node has the configuration", func() bool {
				return f.send(1, http.MethodGet, "/zero/x", "key-a", "probe", "").status == http.StatusOK
			})
			if status := f.heartbeat(1, "ready", 2); status != http.StatusOK {
				t.Fatalf("late heartbeat: status %d", status)
			}
			for n := range 40 {
				id := fmt.Sprintf("late-%d", n)
				if got := f.send(n%2, http.MethodGet, "/one/x", "key-a", id, ""); got.status == http.StatusOK || w.runCount(id) > 0 {
					t.Fatalf("request %d reached the departed upstream: status %d", n, got.status)
				}
				time.Sleep(25 * time.Millisecond)
			}
			f.replaceUpstream()
		})
	}
}

// replaceUpstream gives the second worker a new instance, and waits until that serves requests.
func (f *platformFleet) replaceUpstream() {
	w := f.workers[1]
	w.mu.Lock()
	w.instance, w.leaving = "i-new", false
	w.mu.Unlock()
	n := 0
	waitUntil(f.t, "the next instance serves requests", func() bool {
		n++
		f.heartbeat(1, "ready", n)
		return f.send(0, http.MethodGet, "/one/x", "key-a", fmt.Sprintf("new-%d", n), "").status == http.StatusOK
	})
}

// TestPlatformEarlyResponse checks the response of an upstream that responds before it has read a long body. The response
// must be forwarded unchanged, the upstream must not get other bytes in place of the body, and the next request must
// succeed.
func TestPlatformEarlyResponse(t *testing.T) {
	f := startServingPlatformFleet(t)
	body := strings.Repeat("deposit ", 64<<10)
	for node := range f.nodes {
		got := f.send(node, http.MethodPost, "/one/early", "key-a", fmt.Sprintf("early-%d", node), body)
		if got.err != nil || got.status != http.StatusUnprocessableEntity || got.body != "early" {
			t.Fatalf("node %d: status %d, body %q, %v", node, got.status, got.body, got.err)
		}
		if got = f.send(node, http.MethodPost, "/one/a", "key-a", fmt.Sprintf("after-%d", node), "x"); got.status != http.StatusOK {
			t.Errorf("node %d: status %d after an early response", node, got.status)
		}
	}
	f.workers[1].mu.Lock()
	defer f.workers[1].mu.Unlock()
	for _, received := range f.workers[1].earlyBodies {
		if !strings.HasPrefix(body, received) {
			t.Errorf("the upstream got %d bytes that are not from the body", len(received))
		}
	}
}

// TestPlatformSlowReader checks that a caller that reads slowly gets the complete response and does not delay other
// requests.
func TestPlatformSlowReader(t *testing.T) {
	f := startServingPlatformFleet(t)
	conn, err := net.Dial("tcp", f.nodes[0].node.CallerAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /one/large HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: slow\r\nX-Deadline-Ms: 4000\r\n"+
		"Authorization: Bearer key-a\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReaderSize(conn, 1024)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 10 {
		if got := f.send(0, http.MethodGet, "/one/a", "key-a", fmt.Sprintf("parallel-%d", i), ""); got.status != http.StatusOK {
			t.Errorf("status %d during a slow read", got.status)
		}
		if _, err := io.CopyN(io.Discard, resp.Body, 10<<10); err != nil {
			t.Fatal(err)
		}
	}
	rest, err := io.ReadAll(resp.Body)
	if err != nil || len(rest) != 1<<20-100<<10 {
		t.Errorf("%d remaining bytes, %v", len(rest), err)
	}
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// line returns the first log line with the given event and request ID, or an empty string.
func (b *lockedBuffer) line(event, id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buf.String()) {
		if strings.Contains(line, "event="+event+" ") && strings.Contains(line, " id="+id+" ") {
			return line
		}
	}
	return ""
}

// TestPlatformFailureLogs checks that each failed request is logged with its ID, the reason and the outcome, the data that
// the decision was based on, and the age of that data.
func TestPlatformFailureLogs(t *testing.T) {
	out := &lockedBuffer{}
	f := startServingPlatformFleet(t, func(f *platformFleet) { f.log = logger.New(out, zapcore.InfoLevel) })
	overRate := ""
	for i := range 20 {
		id := fmt.Sprintf("over-%d", i)
		if f.send(0, http.MethodGet, "/zero/a", "key-t", id, "").status == http.StatusTooManyRequests {
			overRate = id
		}
	}
	f.send(0, http.MethodPost, "/one/unresponsive", "key-a", "unresponsive", "x")
	f.send(0, http.MethodPost, "/one/failed", "key-a", "failed", "x")
	f.send(0, http.MethodPost, "/one/unending-head", "key-a", "unending-head", "x")
	f.send(0, http.MethodPost, "/one/no-response", "key-a", "no-response", "x")
	f.send(0, http.MethodGet, "/zero/a", "key-x", "unknown-key", "")
	f.send(0, http.MethodGet, "/three/a", "key-a", "no-route", "")
	tests := []struct {
		event, id string
		want      []string
	}{
		{"requestEnded", overRate, []string{
			"outcome=notRun", "reason=rateLimited", "account=tiny", "rate=1", "tokens=", "fleetDemand=", "grantAge=", "revision=",
			"certificateAge=",
		}},
		{"requestEnded", "unresponsive", []string{"outcome=unknown", "reason=deadlineExceeded", "tried=side-1", "took=", "revision="}},
		{"attemptFailed", "unresponsive", []string{"worker=side-1", "idempotent=false", "took="}},
		{"responseBroke", "unending-head", []string{"service=svc1", "instance=i-1", "sent 65536 bytes", "HTTP/1.1 200 OK"}},
		{"responseBroke", "no-response", []string{"service=svc1", "instance=i-1", "without the head of a response", "none"}},
		{"requestEnded", "unending-head", []string{"outcome=failed", "reason=upstreamBroke", "sent 65536 bytes"}},
		{"requestRefused", "unknown-key", []string{"outcome=notRun", "reason=unauthorized", "hasKey=true", "revision=", "certificateAge="}},
		{"requestRefused", "no-route", []string{"outcome=notRun", "reason=unknownService", "host=a.example", "path=/three/a", "revision="}},
		{"requestEnded", "failed", []string{"outcome=whole", "status=500", "tried=side-1", "rank=", "level="}},
	}
	for _, tt := range tests {
		line := out.line(tt.event, tt.id)
		for _, want := range tt.want {
			if !strings.Contains(line, want) {
				t.Errorf("%s of %q lacks %s: %q", tt.event, tt.id, want, line)
			}
		}
	}
}

// TestPlatformReusedUpstreamAddress checks that no request runs at another instance that has taken over an upstream's
// address without an announcement. Requests must be refused until the new instance is announced.
func TestPlatformReusedUpstreamAddress(t *testing.T) {
	f := startServingPlatformFleet(t)
	w := f.workers[1]
	w.mu.Lock()
	w.instance = "i-other"
	w.mu.Unlock()
	for node := range f.nodes {
		id := fmt.Sprintf("reused-%d", node)
		got := f.send(node, http.MethodPost, "/one/a", "key-a", id, "x")
		if got.status != http.StatusServiceUnavailable || w.runCount(id) != 0 {
			t.Errorf("node %d: status %d, run %d times; want 503 and none", node, got.status, w.runCount(id))
		}
	}
	waitUntil(t, "the new instance is announced", func() bool {
		return f.post("http://"+f.nodes[1].node.cfg.GetAnnounceAddress()+"/instances/i-other/heartbeat", fmt.Sprintf(
			`{"address":%q,"info":{"service":"svc1","zone":"d1","slots":20},"status":{"state":"ready","seq":1,"coldLeftS":0},"born":2000}`,
			w.listener.Addr().String())) == http.StatusOK
	})
	n := 0
	waitUntil(t, "the new instance serves requests", func() bool {
		n++
		return f.send(0, http.MethodPost, "/one/a", "key-a", fmt.Sprintf("new-%d", n), "x").status == http.StatusOK
	})
}
