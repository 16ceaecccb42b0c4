package memorytester

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// binary is the path of the binary under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "memorytester-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "lavenderhub")
	if err := build(binary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// build builds the binary without the race detector, which multiplies the memory of a process.
func build(target string) error {
	p, err := os.StartProcess(findGo(), []string{"go", "build", "-o", target, "."}, &os.ProcAttr{
		Dir: "../..", Files: []*os.File{nil, os.Stderr, os.Stderr},
	})
	if err != nil {
		return err
	}
	state, err := p.Wait()
	if err == nil && !state.Success() {
		err = fmt.Errorf("go build: %s", state)
	}
	return err
}

func findGo() string {
	for _, folder := range filepath.SplitList(os.Getenv("PATH")) {
		file := filepath.Join(folder, "go")
		if info, err := os.Stat(file); err == nil && !info.IsDir() {
			return file
		}
	}
	return "go"
}

// limits are the settings of the nodes under test.
type limits struct {
	memoryMB     int
	maxBodyBytes int
	// descriptors is the limit on a node's file descriptors.
	descriptors int
	// callerMemory is the setting callerMemoryBytes.
	callerMemory int
}

// fleet is a control host and two nodes, each a process of its own, with upstreams in the test process. Requests below /one/ enter
// at the first node and run in the upstream of the second.
type fleet struct {
	t         *testing.T
	limits    limits
	folder    string
	control   *node
	nodes     []*node
	logs      []string
	requestID int
}

// node is a process of the fleet. A control host has only the addresses caller, for operators and the processes of the fleet, and admin.
type node struct {
	name      string
	process   *os.Process
	caller    string
	peer      string
	announce  string
	ready     string
	admin     string
	upstream  *upstream
	log       string
	exited    chan struct{}
	openFiles int
}

func startFleet(t *testing.T, l limits) *fleet {
	t.Helper()
	if runtime.GOOS != "linux" {
		t.Fatal("these tests read /proc: run them on Linux")
	}
	f := &fleet{t: t, limits: l, folder: t.TempDir()}
	host := randomLoopback()
	control, nodes := reserve(t, host, 2), []*reservation{reserve(t, host, 5), reserve(t, host, 5)}
	common := fmt.Sprintf(`"trustedNetwork":true,"limits":{"memoryMb":%d}`, l.memoryMB)
	f.control = &node{name: "control", caller: control.addresses[0], admin: control.addresses[1]}
	f.start(f.control, control, fmt.Sprintf(`{%s,"adminAddress":%q,"control":{"name":"core-0","failureDomain":"d1","address":%q,`+
		`"dataFolder":%q,"seeds":[%q],"firstStart":true,"face":"platform"}}`, common, f.control.admin, f.control.caller,
		filepath.Join(f.folder, "data"), f.control.caller))
	for i, r := range nodes {
		n := &node{
			name: fmt.Sprintf("side-%d", i), caller: r.addresses[0], announce: r.addresses[1], peer: r.addresses[2], ready: r.addresses[3],
			admin: r.addresses[4], upstream: startUpstream(t, fmt.Sprintf("i-%d", i)),
		}
		f.start(n, r, fmt.Sprintf(`{%s,"adminAddress":%q,"node":{"name":%q,"failureDomain":"d1",`+
			`"region":"r1","callerAddress":%q,"peerAddress":%q,"announceAddress":%q,"readyAddress":%q,"controlAddresses":[%q],`+
			`"callerMemoryBytes":%d,"service":"svc%d","heartbeatInterval":"60s","face":"platform","upstreamAddress":%q}}`, common, n.admin, n.name,
			n.caller, n.peer, n.announce, n.ready, f.control.caller, l.callerMemory, i, n.upstream.address()))
		f.nodes = append(f.nodes, n)
	}
	f.configure()
	for i, n := range f.nodes {
		f.waitUntil("a heartbeat is accepted", func() bool { return f.heartbeat(i, n) })
	}
	f.waitUntil("requests are served", func() bool { return f.request() == http.StatusOK })
	return f
}

// start starts the binary as a process of the fleet, with settings that use the reserved addresses.
func (f *fleet) start(n *node, r *reservation, settings string) {
	f.t.Helper()
	file := filepath.Join(f.folder, n.name+".jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(f.folder, n.name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	command := fmt.Sprintf(`ulimit -n %d; exec "$0" serve --config "$1"`, f.limits.descriptors)
	f.logs = append(f.logs, log.Name())
	r.release()
	p, err := os.StartProcess("/bin/sh", []string{"sh", "-c", command, binary, file}, &os.ProcAttr{Files: []*os.File{nil, log, log}})
	if err != nil {
		f.t.Fatal(err)
	}
	n.process, n.log, n.exited = p, log.Name(), make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		_, _ = p.Wait()
		close(n.exited)
	})
	f.t.Cleanup(func() {
		_ = p.Signal(syscall.SIGKILL)
		wait.Wait()
	})
}

func (f *fleet) configure() {
	const common = `"timeoutS":20,"targetLatencyS":10,"priority":1,"maxAttempts":1,"public":false`
	text := fmt.Sprintf(`{"version":"r1","baseVersion":"r0","routes":{`+
		`"zero":{"host":"a.example","pathPrefix":"/zero/","kind":"idempotent","service":"svc0",%s},`+
		`"one":{"host":"a.example","pathPrefix":"/one/","kind":"non_idempotent","service":"svc1",%s}},`+
		`"services":{"svc0":{"healthPath":"/h","maxConns":900},"svc1":{"healthPath":"/h","maxConns":900}},`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutS":3,"idleTimeoutS":15},`+
		`"tenants":{"school":{"apiKeys":["key-a"],"ratePerS":9000,"burst":9000}}}`, common, common, f.limits.maxBodyBytes)
	f.waitUntil("the configuration is acknowledged", func() bool { return post("http://"+f.control.caller+"/config/replace", text) })
}

func (f *fleet) heartbeat(i int, n *node) bool {
	return post("http://"+n.announce+"/instances/"+n.upstream.instance+"/heartbeat", fmt.Sprintf(
		`{"address":%q,"info":{"service":"svc%d","zone":"d1","slots":400},"status":{"state":"ready","seq":1,"coldLeftS":0},"born":1000}`,
		n.upstream.address(), i))
}

func post(url, body string) bool {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// request sends one ordinary request to the first node and returns the status, or zero if there was none.
func (f *fleet) request() int {
	return f.send(strings.NewReader("ordinary"), 8)
}

// send sends a request with a body to the first node and returns the status, or zero if there was none.
func (f *fleet) send(body io.Reader, size int64) int {
	f.requestID++
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.nodes[0].caller+"/one/a", body)
	if err != nil {
		f.t.Fatal(err)
	}
	req.ContentLength = size
	req.Host = "a.example"
	req.Header.Set("Authorization", "Bearer key-a")
	req.Header.Set("X-Attempt-Id", fmt.Sprintf("ordinary-%d", f.requestID))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// check checks that all processes live, that their memory and descriptors are under their bounds, and that an ordinary request is
// answered.
func (f *fleet) check() {
	f.t.Helper()
	f.waitUntil("an ordinary request is answered", func() bool { return f.request() == http.StatusOK })
	for _, n := range f.processes() {
		select {
		case <-n.exited:
			f.t.Errorf("%s has ended:\n%s", n.name, lastLines(n.log))
			continue
		default:
		}
		peak, open := n.peakMemoryMB(f.t), max(n.openFiles, n.countFiles())
		f.t.Logf("%s: peak memory %d MB of %d, %d descriptors of %d", n.name, peak, f.limits.memoryMB, open, f.limits.descriptors)
		if peak > f.limits.memoryMB {
			f.t.Errorf("%s: peak memory %d MB, want at most %d", n.name, peak, f.limits.memoryMB)
		}
		// A tenth of the descriptors must stay free for connections to upstreams and peers.
		if most := f.limits.descriptors * 9 / 10; open > most {
			f.t.Errorf("%s: %d open descriptors, want at most %d", n.name, open, most)
		}
	}
}

func (f *fleet) processes() []*node {
	return append([]*node{f.control}, f.nodes...)
}

// observe records the open descriptors of the processes.
func (f *fleet) observe() {
	for _, n := range f.processes() {
		n.openFiles = max(n.openFiles, n.countFiles())
	}
}

func (n *node) countFiles() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Pid))
	return len(entries)
}

func (n *node) peakMemoryMB(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	t.Error("no VmHWM")
	return 0
}

func lastLines(file string) string {
	text, _ := os.ReadFile(file)
	return string(text[max(0, len(text)-2000):])
}

// waitUntil waits for a condition. The limit only ends a test that would hang.
func (f *fleet) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	for began := time.Now(); !condition(); time.Sleep(50 * time.Millisecond) {
		f.observe()
		if time.Since(began) > 30*time.Second {
			for _, file := range f.logs {
				f.t.Logf("%s:\n%s", filepath.Base(file), lastLines(file))
			}
			f.t.Fatalf("not within 30 s: %s", what)
		}
	}
}

// randomLoopback returns a loopback address that other processes do not use. On 127.0.0.1 they could take a port between its reservation
// and the start of the process that listens on it.
func randomLoopback() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
}

// reservation holds addresses until the process that listens on them starts, so that none is given twice.
type reservation struct {
	addresses []string
	listeners []net.Listener
}

func reserve(t *testing.T, host netip.Addr, n int) *reservation {
	t.Helper()
	r := &reservation{}
	for range n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		r.addresses = append(r.addresses, ln.Addr().String())
		r.listeners = append(r.listeners, ln)
	}
	return r
}

func (r *reservation) release() {
	for _, ln := range r.listeners {
		_ = ln.Close()
	}
}

// upstream answers requests after reading their bodies. Requests below /one/large get a response of largeResponse bytes, those
// below /one/slow are answered after slowTime.
type upstream struct {
	instance string
	listener net.Listener
	conns    sync.WaitGroup
	requests atomic.Int64
}

const (
	largeResponse = 8 << 20
	slowTime      = 2 * time.Second
)

func startUpstream(t *testing.T, instance string) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{instance: instance, listener: ln}
	u.conns.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.conns.Go(func() { u.serve(c) })
		}
	})
	t.Cleanup(func() { _ = ln.Close() })
	return u
}

func (u *upstream) address() string { return u.listener.Addr().String() }

func (u *upstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	block := bytes.Repeat([]byte("x"), 64<<10)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if strings.HasPrefix(r.URL.Path, "/one/") {
			u.requests.Add(1)
		}
		size := 5
		switch {
		case strings.HasPrefix(r.URL.Path, "/one/large"):
			size = largeResponse
		case strings.HasPrefix(r.URL.Path, "/one/slow"):
			time.Sleep(slowTime)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Server-Load: 3,0,400\r\nContent-Length: %d\r\n\r\n",
			r.Header.Get("X-Attempt-Id"), u.instance, size)
		for size > 0 {
			n, err := c.Write(block[:min(size, len(block))])
			if err != nil {
				return
			}
			size -= n
		}
	}
}
