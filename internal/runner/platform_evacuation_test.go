package runner

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/schema"
)

// evacuateLimit is the time until an evacuation is in force in these tests. It is as long as that of the users' fleets.
const evacuateLimit = 5 * time.Second

// openZero makes the route to svc0 open. Its requests are served also while the control hosts have no leader, which happens on a busy
// machine, so that a request that fails shows a fault of the evacuation.
var openZero = []string{
	`"service":"svc0","timeoutS":1.5,"targetLatencyS":1,"priority":1,"maxAttempts":2,"public":false`,
	`"service":"svc0","timeoutS":1.5,"targetLatencyS":1,"priority":1,"maxAttempts":2,"public":true`,
}

// domainFleet is a fleet of nodes in the failure domains za and zb: two of the service svc0, one in each domain, and one of svc1 in
// za.
type domainFleet struct {
	*platformFleet
	controlSettings []*schema.Settings
	nodeSettings    []*schema.Settings
}

func startDomainFleet(t *testing.T, replacements ...string) *domainFleet {
	t.Helper()
	f := &domainFleet{platformFleet: &platformFleet{t: t, log: zap.NewNop()}}
	ports := &portAllocator{}
	allocate := func() string {
		addr, err := ports.allocate()
		if err != nil {
			t.Fatal(err)
		}
		return addr.String()
	}
	terms := &schema.Terms{ColdExcess: 1.5, ColdSlack: 8, EvacuateLimit: durationpb.New(evacuateLimit)}
	for range 3 {
		f.seeds = append(f.seeds, allocate())
	}
	for i, seed := range f.seeds {
		cfg := &schema.Settings{TrustedNetwork: true, Terms: terms, Control: &schema.ControlSettings{
			Name: fmt.Sprintf("core-%d", i), FailureDomain: "zc", Address: seed, DataFolder: t.TempDir(), Seeds: f.seeds,
			FirstStart: true, ToleratedLosses: 1, Face: schema.Face_FACE_PLATFORM,
		}}
		f.controlSettings = append(f.controlSettings, cfg)
		f.controls = append(f.controls, f.start(cfg))
	}
	for i, node := range []struct{ domain, service string }{{"za", "svc0"}, {"zb", "svc0"}, {"za", "svc1"}} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		cfg := &schema.Settings{TrustedNetwork: true, Terms: terms, Node: &schema.NodeSettings{
			Name: fmt.Sprintf("side-%d", i), FailureDomain: node.domain, Region: "r1", CallerAddress: allocate(), PeerAddress: allocate(),
			AnnounceAddress: allocate(), ReadyAddress: allocate(), ControlAddresses: f.seeds, Service: node.service,
			HeartbeatInterval: durationpb.New(time.Minute), Face: schema.Face_FACE_PLATFORM, UpstreamAddress: ln.Addr().String(),
		}}
		f.nodeSettings = append(f.nodeSettings, cfg)
		f.nodes = append(f.nodes, f.start(cfg))
		w := &platformWorker{instance: fmt.Sprintf("i-%d", i), service: node.service, listener: ln, runCounts: map[string]int{}}
		f.workers = append(f.workers, w)
		w.group.Go(w.serve)
	}
	f.configure(slices.Concat(openZero, replacements)...)
	for i := range f.workers {
		waitUntil(t, "a heartbeat is accepted", func() bool { return f.heartbeat(i, "ready", 1) == http.StatusOK })
	}
	f.waitServed()
	return f
}

// waitServed waits until all nodes serve requests to both services.
func (f *domainFleet) waitServed() {
	f.t.Helper()
	for node := range f.nodes {
		for _, target := range []string{"/zero/x", "/one/x"} {
			waitUntil(f.t, "requests are served", func() bool { return f.get(node, target).status == http.StatusOK })
		}
	}
}

func (f *domainFleet) get(node int, target string) response {
	key := "key-a"
	if strings.HasPrefix(target, "/zero/") {
		key = ""
	}
	return f.send(node, http.MethodGet, target, key, fmt.Sprintf("get-%d", time.Now().UnixNano()), "")
}

// evacuation sends a request of the operator to one control host, and repeats it until that host or the leader answers it.
func (f *domainFleet) evacuation(host int, zone, step string, want int) {
	f.t.Helper()
	waitUntil(f.t, step+" of "+zone, func() bool { return f.post("http://"+f.seeds[host]+"/evacuation/"+zone+"/"+step, "") == want })
}

// requestsAt returns the number of requests that reached a worker.
func (f *domainFleet) requestsAt(worker int) int {
	w := f.workers[worker]
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// reroutes returns the number of reroutes at all nodes.
func (f *domainFleet) reroutes() int64 {
	total := int64(0)
	for _, p := range f.nodes {
		total += metrics.GetOrRegisterCounter("reroutes", p.Registry).Count()
	}
	return total
}

// checkEvacuated sends requests through all nodes, and checks that none reaches an upstream in za.
func (f *domainFleet) checkEvacuated(when string) {
	f.t.Helper()
	before := []int{f.requestsAt(0), f.requestsAt(2)}
	for range 10 {
		for node := range f.nodes {
			if r := f.get(node, "/zero/x"); r.status != http.StatusOK || r.header.Get("X-Server-Stamp") != "stamp-i-1" {
				f.t.Errorf("%s: node %d: status %d of %q, %s, %v", when, node, r.status, r.header.Get("X-Server-Stamp"), r.body, r.err)
			}
			if r := f.get(node, "/one/x"); r.status != http.StatusServiceUnavailable {
				f.t.Errorf("%s: node %d: status %d of a service whose domains are all evacuated, want 503", when, node, r.status)
			}
		}
	}
	if after := []int{f.requestsAt(0), f.requestsAt(2)}; !slices.Equal(before, after) {
		f.t.Errorf("%s: the upstreams of the evacuated domain got requests: %v, %v before", when, after, before)
	}
}

// TestPlatformEvacuation guards against requests that reach upstreams of an evacuated failure domain, against requests that fail
// while the evacuation begins, and against an evacuation that a restart of all control hosts or of a node ends.
func TestPlatformEvacuation(t *testing.T) {
	f := startDomainFleet(t)
	stopLoad := f.loadAllNodes()
	f.evacuation(0, "zx", "start", http.StatusNotFound)
	slow := make(chan response, 1)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { slow <- f.send(0, http.MethodPost, "/one/slow", "key-a", "slow", "x") })
	waitUntil(t, "the slow request runs", func() bool { return f.workers[2].runCount("slow") == 1 })
	f.evacuation(1, "za", "start", http.StatusOK)
	inForce := time.Now().Add(evacuateLimit)
	f.evacuation(2, "za", "start", http.StatusOK)
	if r := <-slow; r.status != http.StatusOK {
		t.Errorf("the request in progress ended with %d, %v", r.status, r.err)
	}
	time.Sleep(time.Until(inForce))
	if failed := stopLoad(); len(failed) > 0 {
		t.Errorf("%d requests failed while the evacuation began, the first: %s", len(failed), failed[0])
	}
	before := f.reroutes()
	f.checkEvacuated("in force")
	if n := f.reroutes() - before; n > 0 {
		t.Errorf("%d requests were sent to the evacuated domain and refused there", n)
	}
	// Senders that have not learned of the evacuation are refused by the gates.
	for _, p := range f.nodes {
		p.node.router.SetEvacuated(nil)
	}
	f.checkEvacuated("with senders that have not learned of it")

	for i := range f.controls {
		if err := f.controls[i].control.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for i, cfg := range f.controlSettings {
		cfg.Control.FirstStart = false
		f.controls[i] = f.start(cfg)
	}
	if err := f.nodes[0].node.Kill(); err != nil {
		t.Fatal(err)
	}
	f.nodes[0] = f.start(f.nodeSettings[0])
	waitUntil(t, "a control host leads", func() bool {
		resp, err := http.Get("http://" + f.seeds[0] + "/config/get")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	for node := range f.nodes {
		waitUntil(t, "requests are served after the restart", func() bool { return f.get(node, "/zero/x").status == http.StatusOK })
	}
	f.heartbeat(0, "ready", 2)
	f.checkEvacuated("after the restart")
	f.configure(openZero...)
	f.checkEvacuated("after a configuration")

	f.evacuation(2, "za", "finish", http.StatusOK)
	f.evacuation(0, "za", "finish", http.StatusOK)
	served := []int{f.requestsAt(0), f.requestsAt(2)}
	f.heartbeat(0, "ready", 3)
	f.waitServed()
	waitUntil(t, "the upstreams of the domain serve again", func() bool {
		f.get(0, "/zero/x")
		return f.requestsAt(0) > served[0] && f.requestsAt(2) > served[1]
	})
}

// loadAllNodes sends requests to the service in both domains through all nodes. The returned function ends the load and returns the
// requests that were not served.
func (f *domainFleet) loadAllNodes() (stop func() []string) {
	var mu sync.Mutex
	var failed []string
	var group sync.WaitGroup
	done := make(chan struct{})
	for node := range f.nodes {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				id := fmt.Sprintf("load-%d-%d", node, i)
				if r := f.send(node, http.MethodGet, "/zero/x", "", id, ""); r.status != http.StatusOK {
					mu.Lock()
					failed = append(failed, fmt.Sprintf("%s: %d %s %v", id, r.status, r.body, r.err))
					mu.Unlock()
				}
			}
		})
	}
	return func() []string {
		close(done)
		group.Wait()
		return failed
	}
}

// TestPlatformColdUpstream guards against a cold upstream that gets more requests from all nodes together than it takes, and against
// requests that fail although another upstream of the service is warm.
func TestPlatformColdUpstream(t *testing.T) {
	// bound is 11 * 1.5 + 8, in requests per second.
	const bound, samples, sampleTime = 24, 80, 50 * time.Millisecond
	f := startDomainFleet(t, `"svc0":{`, `"svc0":{"coldPerS":11,`)
	w := f.workers[0]
	cold := func(seq int, left float64) int {
		return f.post("http://"+f.nodes[0].node.cfg.GetAnnounceAddress()+"/instances/"+w.instance+"/heartbeat", fmt.Sprintf(
			`{"address":%q,"info":{"service":"svc0","slots":20},"status":{"state":"ready","seq":%d,"coldLeftS":%g},"born":1000}`,
			w.listener.Addr().String(), seq, left))
	}
	if status := cold(2, 30); status != http.StatusOK {
		t.Fatalf("status %d of a cold heartbeat", status)
	}
	stopLoad := f.loadAllNodes()
	var counts []int
	for range samples {
		counts = append(counts, f.requestsAt(0))
		time.Sleep(sampleTime)
	}
	if failed := stopLoad(); len(failed) > 0 {
		t.Errorf("%d requests failed, the first: %s", len(failed), failed[0])
	}
	perSecond := int(time.Second / sampleTime)
	for i := perSecond; i < samples; i++ {
		if n := counts[i] - counts[i-perSecond]; n > bound {
			t.Errorf("the cold upstream got %d requests in a second, want at most %d", n, bound)
		}
	}
	if n := counts[samples-1] - counts[0]; n < samples/perSecond {
		t.Errorf("the cold upstream got %d requests, want some", n)
	}
	if status := cold(3, 0); status != http.StatusOK {
		t.Fatalf("status %d of a warm heartbeat", status)
	}
	before := f.requestsAt(0)
	for range 100 {
		f.get(0, "/zero/x")
	}
	if n := f.requestsAt(0) - before; n < 80 {
		t.Errorf("the warm upstream got %d of 100 requests of its own node", n)
	}
}

// TestPlatformEvacuationRequests checks the answers of every control host to requests of the operator.
func TestPlatformEvacuationRequests(t *testing.T) {
	f := startDomainFleet(t)
	tests := []struct {
		method, path string
		want         int
	}{
		{http.MethodPost, "/evacuation/za/start", 200},
		{http.MethodPost, "/evacuation/za/start", 200},
		{http.MethodPost, "/evacuation/za/finish", 200},
		{http.MethodPost, "/evacuation/za/finish", 200},
		{http.MethodPost, "/evacuation/zb/finish", 200},
		{http.MethodPost, "/evacuation/zc/start", 200},
		{http.MethodPost, "/evacuation/unknown/start", 404},
		{http.MethodPost, "/evacuation/unknown/finish", 404},
		{http.MethodPost, "/evacuation/z%2Fa/start", 404},
		{http.MethodPost, "/evacuation/" + strings.Repeat("z", 2000) + "/start", 404},
	}
	for _, tt := range tests {
		for host := range f.seeds {
			status := 0
			waitUntil(t, "an answer", func() bool {
				req, err := http.NewRequestWithContext(t.Context(), tt.method, "http://"+f.seeds[host]+tt.path, http.NoBody)
				if err != nil {
					t.Fatal(err)
				}
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return false
				}
				_ = resp.Body.Close()
				status = resp.StatusCode
				return status != http.StatusServiceUnavailable
			})
			if status != tt.want {
				t.Errorf("%s at host %d: status %d, want %d", tt.path, host, status, tt.want)
			}
		}
	}
}
