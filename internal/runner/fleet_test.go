package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/responder"
	"github.com/lavenderhub/lavenderhub/schema"
)

func workerSettings(domain string, slots uint32, serviceTime time.Duration) *schema.FleetWorker {
	return &schema.FleetWorker{FailureDomain: domain, Slots: slots, ServiceTime: durationpb.New(serviceTime)}
}

// twoServiceFleet returns the settings of a fleet with two services, front and back. Every request to front makes a nested
// call to back.
func twoServiceFleet() *schema.FleetSettings {
	return &schema.FleetSettings{
		Services: []*schema.FleetService{
			{Name: "front", Calls: []string{"back"}, Workers: []*schema.FleetWorker{
				workerSettings("d1", 50, time.Millisecond), workerSettings("d2", 50, time.Millisecond),
			}},
			{Name: "back", Workers: []*schema.FleetWorker{
				workerSettings("d3", 20, time.Millisecond), workerSettings("d4", 20, 4*time.Millisecond),
			}},
		},
		Accounts: []*schema.FleetAccount{
			{Id: "school", Policy: &schema.Policy{Rate: proto.Float64(1000), Burst: proto.Float64(1000)}},
			{Id: "college", Policy: &schema.Policy{Rate: proto.Float64(1000), Burst: proto.Float64(1000)}},
		},
		Branches: []*schema.FleetBranch{
			{Path: "service/front/route/open", Policy: &schema.Policy{Open: proto.Bool(true)}},
		},
	}
}

// startFleet starts a fleet that is killed at the end of the test.
func startFleet(t *testing.T, cfg *schema.FleetSettings, opts ...FleetOption) *Fleet {
	t.Helper()
	f, err := StartFleet(t.Context(), cfg, t.TempDir(), zap.NewNop(), opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	return f
}

// replaceResponder replaces the simulated upstream of the first worker of a service by one with the given handler, and
// stops the upstreams of the service's other workers. OnRequest, if not nil, is called with every request.
func replaceResponder(t *testing.T, f *Fleet, service string, handle http.HandlerFunc, onRequest func(*http.Request, []byte)) {
	t.Helper()
	first := true
	for _, w := range f.Workers {
		if w.Service != service {
			continue
		}
		if err := w.Responder.Stop(); err != nil {
			t.Fatal(err)
		}
		if !first {
			continue
		}
		first = false
		w.responderConfig.Handler, w.responderConfig.OnRequest = handle, onRequest
		if err := f.StartResponder(w); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for {
		if resp := call(t, f, f.Workers[0], f.Keys[0].Key, http.MethodGet, "/"+service+"/warm"); resp.status != http.StatusServiceUnavailable {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the replacement upstream got no request")
		}
	}
}

// response is the result of a request at a caller.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func call(t *testing.T, _ *Fleet, w *FleetWorker, key, method, path string, headers ...string) response {
	t.Helper()
	return send(t.Context(), w, key, method, path, "", headers...)
}

func send(ctx context.Context, w *FleetWorker, key, method, path, body string, headers ...string) response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.CallerAddr().String()+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers) && headers[i] != ""; i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func TestPath(t *testing.T) {
	f := startFleet(t, twoServiceFleet())
	for _, w := range f.Workers {
		for i := range 20 {
			id := fmt.Sprintf("%s-%d", w.Settings.GetName(), i)
			r := call(t, f, w, f.Keys[0].Key, http.MethodGet, "/front/a?id="+id)
			if r.err != nil || r.status != http.StatusOK || r.body != string(responder.Payload("front", id, 512)) {
				t.Fatalf("from %s: %d %v %s", w.Settings.GetName(), r.status, r.err, r.body)
			}
		}
	}
	nestedCalls := int64(0)
	for _, w := range f.Workers {
		if w.Service == "back" {
			nestedCalls += w.Responder.Served()
		}
	}
	if nestedCalls != 80 {
		t.Fatalf("back served %d nested calls, want 80", nestedCalls)
	}
}

func TestRefusals(t *testing.T) {
	f := startFleet(t, twoServiceFleet())
	w, key := f.Workers[0], f.Keys[0].Key
	unknownKey, _ := authenticator.NewKey()
	tests := []struct {
		name   string
		key    string
		method string
		path   string
		body   string
		header string
		value  string
		status int
		reason string
	}{
		{name: "no key", path: "/front/a", status: 401, reason: "unauthorized"},
		{name: "unknown key", key: unknownKey, path: "/front/a", status: 401, reason: "unauthorized"},
		{name: "open route", path: "/front/open/a", status: 200},
		{name: "path that extends the open prefix", path: "/front/opened", status: 401, reason: "unauthorized"},
		{name: "unknown service", key: key, path: "/nowhere/a", status: 404, reason: "unknownService"},
		{name: "no service", key: key, path: "/", status: 404, reason: "unknownService"},
		{name: "key in the URL", key: key, path: "/front/a?k=" + key, status: 400, reason: "badRequest"},
		{
			name: "key escaped in the URL", key: key,
			path: "/front/a?k=" + strings.ReplaceAll(key, "_", "%5F"), status: 400, reason: "badRequest",
		},
		{name: "key in the body", key: key, method: "POST", path: "/front/a", body: "x" + key, status: 400, reason: "badRequest"},
		{
			name: "bad timeout", key: key,
			path: "/front/a", header: "Lavenderhub-Timeout", value: "soon", status: 400, reason: "badRequest",
		},
		{
			name: "bad priority", key: key,
			path: "/front/a", header: "Lavenderhub-Priority", value: "high", status: 400, reason: "badRequest",
		},
		{
			name: "expired deadline", key: key,
			path: "/front/a", header: "Lavenderhub-Timeout", value: "1ns", status: 504, reason: "deadlineExceeded",
		},
		{
			name: "bad request token", key: key,
			path: "/front/a", header: "Lavenderhub-Request", value: "made-up", status: 401, reason: "unauthorized",
		},
		{
			name: "body over the limit", key: key,
			method: "POST", path: "/front/a", body: strings.Repeat("x", 1<<20+1), status: 413, reason: "bodyTooLarge",
		},
		{
			name: "long idempotency key", key: key, method: "POST", path: "/front/a",
			header: "Idempotency-Key", value: strings.Repeat("x", 256), status: 400, reason: "badRequest",
		},
		{
			name: "old idempotency key", key: key, method: "POST", path: "/front/a",
			header: "Idempotency-Key", value: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", status: 422, reason: "idempotencyKeyExpired",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.method == "" {
				tt.method = http.MethodGet
			}
			r := send(t.Context(), w, tt.key, tt.method, tt.path, tt.body, tt.header, tt.value)
			if r.err != nil || r.status != tt.status || r.header.Get("Lavenderhub-Reason") != tt.reason {
				t.Fatalf("got %d %q %v %s", r.status, r.header.Get("Lavenderhub-Reason"), r.err, r.body)
			}
			if tt.status != 200 && (r.header.Get("Lavenderhub-Outcome") != "notRun" || !strings.Contains(r.body, `"reason":"`+tt.reason+`"`)) {
				t.Fatalf("outcome %q, body %s", r.header.Get("Lavenderhub-Outcome"), r.body)
			}
			if strings.Contains(r.body, key) {
				t.Fatal("the refusal contains the key")
			}
		})
	}
}

func TestAnnouncementValidation(t *testing.T) {
	f := startFleet(t, twoServiceFleet())
	tests := []struct {
		name string
		body string
		want int
	}{
		{name: "host name", body: `{"service":"x","address":"localhost:80","slots":1,"state":"ready"}`, want: 400},
		{name: "no port", body: `{"service":"x","address":"127.0.0.1","slots":1,"state":"ready"}`, want: 400},
		{name: "port zero", body: `{"service":"x","address":"127.0.0.1:0","slots":1,"state":"ready"}`, want: 400},
		{name: "no slots", body: `{"service":"x","address":"127.0.0.1:9","slots":0,"state":"ready"}`, want: 400},
		{name: "unknown state", body: `{"service":"x","address":"127.0.0.1:9","slots":1,"state":"well"}`, want: 400},
		{name: "unknown field", body: `{"service":"x","address":"127.0.0.1:9","slots":1,"state":"ready","colour":1}`, want: 400},
		{name: "bad service", body: `{"service":"X/","address":"127.0.0.1:9","slots":1,"state":"ready"}`, want: 400},
		{name: "not JSON", body: `ready`, want: 400},
		{name: "valid", body: `{"service":"x","address":"127.0.0.1:9","slots":1,"state":"starting"}`, want: 204},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := send(t.Context(), f.Workers[0], "", http.MethodPost, "/lavenderhub/v1/upstreams", tt.body)
			if r.err != nil || r.status != tt.want {
				t.Fatalf("got %d %v %s", r.status, r.err, r.body)
			}
		})
	}
}

// TestUpstreamsNeverSeeKey records all requests at the simulated upstreams and checks that none contains the caller's key.
func TestUpstreamsNeverSeeKey(t *testing.T) {
	f := startFleet(t, twoServiceFleet())
	var mu sync.Mutex
	var requests strings.Builder
	record := func(r *http.Request, body []byte) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&requests, "%s %s %v %v %s\n", r.Method, r.RequestURI, r.Header, r.Trailer, body)
	}
	replaceResponder(t, f, "back", nil, record)
	replaceResponder(t, f, "front", nil, record)
	key := f.Keys[0].Key
	// A raw connection allows requests that net/http would not send, with unusual header spellings and copies of the key in
	// several headers and a trailer.
	conn, err := net.Dial("tcp", f.Workers[1].CallerAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /front/a?id=x HTTP/1.1\r\nHost: a\r\naUTHORIZATION: bEARER %s\r\nX-Copy: %s\r\nCookie: k=%s\r\n"+
		"Proxy-Authorization: Bearer %s\r\nTransfer-Encoding: chunked\r\nTrailer: X-Late\r\n\r\n2\r\nhi\r\n0\r\nX-Late: %s\r\n\r\n",
		key, key, key, key, key)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v %v", resp, err)
	}
	resp.Body.Close()
	if r := call(t, f, f.Workers[1], key, http.MethodGet, "/front/open/x?id=y"); r.status != http.StatusOK {
		t.Fatalf("open route: %d", r.status)
	}
	mu.Lock()
	defer mu.Unlock()
	text := requests.String()
	if !strings.Contains(text, "id=x") || !strings.Contains(text, "/nested?id=x") || !strings.Contains(text, "Lavenderhub-Request") {
		t.Fatalf("the upstreams did not get the calls: %s", text)
	}
	for _, secret := range []string{key, url.QueryEscape(key), strings.TrimPrefix(key, "lh_"), "Bearer", "bEARER"} {
		if strings.Contains(text, secret) {
			t.Fatalf("an upstream got %q", secret)
		}
	}
}

// TestOutOfOrderResponses sends concurrent requests whose responses are delayed and arrive in a different order on the
// connections between nodes. Each caller must get its own response.
func TestOutOfOrderResponses(t *testing.T) {
	f := startFleet(t, twoServiceFleet())
	handle := func(w http.ResponseWriter, r *http.Request) {
		id := r.URL.Query().Get("id")
		// The later a request is sent, the sooner it is answered.
		var n int
		_, _ = fmt.Sscanf(id, "%d", &n)
		time.Sleep(time.Duration(20-n) * 4 * time.Millisecond)
		_, _ = w.Write(responder.Payload("back", id, 3000))
	}
	replaceResponder(t, f, "back", handle, nil)
	// A gate admits few concurrent requests to a new upstream. These requests raise its limit.
	for range 40 {
		call(t, f, f.Workers[1], f.Keys[0].Key, http.MethodGet, "/back/a?id=19")
	}
	var group sync.WaitGroup
	for n := range 18 {
		group.Go(func() {
			id := fmt.Sprint(n)
			r := send(t.Context(), f.Workers[1], f.Keys[n%2].Key, http.MethodGet, "/back/a?id="+id, "")
			if r.err != nil || r.body != string(responder.Payload("back", id, 3000)) {
				t.Errorf("request %d: %d %v", n, r.status, r.err)
			}
		})
	}
	group.Wait()
}

// TestTruncatedResponses has the upstream abort small and large responses, with and without a length. A caller must not
// get a truncated response that looks complete.
func TestTruncatedResponses(t *testing.T) {
	f := startFleet(t, twoServiceFleet())
	handle := func(w http.ResponseWriter, r *http.Request) {
		size := 1000
		if strings.Contains(r.URL.Path, "large") {
			size = 300_000
		}
		if strings.Contains(r.URL.Path, "length") {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		_, _ = w.Write(responder.Payload("back", "", size-100))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	replaceResponder(t, f, "back", handle, nil)
	for _, path := range []string{"small", "small-length", "large", "large-length"} {
		for _, w := range f.Workers {
			r := call(t, f, w, f.Keys[0].Key, http.MethodPost, "/back/"+path)
			aborted := r.err != nil
			refused := r.status == http.StatusBadGateway && r.header.Get("Lavenderhub-Reason") == "upstreamBroke"
			if !aborted && !refused {
				t.Fatalf("%s from %s looked complete: %d, %d bytes", path, w.Settings.GetName(), r.status, len(r.body))
			}
			if refused && r.header.Get("Lavenderhub-Outcome") == "notRun" {
				t.Fatalf("%s has outcome notRun", path)
			}
		}
	}
}
