package runner

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

var extremeSeed = flag.Uint64("extremeSeed", 42, "seed of TestPlatformExtremeFiguresEndProcess")

// extremeFigures draws figures from all that the platform's pages allow, evenly over the orders of magnitude.
type extremeFigures struct {
	random *rand.Rand
}

// number returns a number that is not negative.
func (x extremeFigures) number() float64 {
	special := []float64{0, 1, 1 << 31, 1 << 33, 1<<53 - 1, 1 << 63, 1e300, math.MaxFloat64, math.SmallestNonzeroFloat64}
	if x.random.IntN(2) == 0 {
		return special[x.random.IntN(len(special))]
	}
	return math.Float64frombits(x.random.Uint64N(math.Float64bits(math.MaxFloat64) + 1))
}

// positive returns a number above zero.
func (x extremeFigures) positive() float64 {
	return max(x.number(), math.SmallestNonzeroFloat64)
}

// integer returns an integer of up to the given number of bits.
func (x extremeFigures) integer(bits int) uint64 {
	return x.random.Uint64() >> (64 - bits + x.random.IntN(bits+1))
}

// maxTimeout is the longest timeout in seconds. Longer ones are out of the range of a duration and are refused.
const maxTimeout = 9.2e9

// timeout returns a timeout in seconds that is long enough for the test.
func (x extremeFigures) timeout() float64 {
	return min(maxTimeout, max(1.5, x.number()))
}

// route returns a route with extreme figures.
func (x extremeFigures) route(prefix, kind, service string, public bool) map[string]any {
	timeout := x.timeout()
	return map[string]any{
		"host": "a.example", "pathPrefix": prefix, "kind": kind, "timeoutS": timeout, "targetLatencyS": min(timeout, max(1, x.number())),
		"priority": x.integer(32), "maxAttempts": x.integer(32), "public": public,
		"trafficSplit": []map[string]any{{"service": service, "weight": x.positive()}, {"service": service, "weight": x.number()}},
	}
}

// configuration returns a valid configuration in which the tenant of key-a has a quota beyond what the test sends.
func (x extremeFigures) configuration(version int) string {
	service := func() map[string]any {
		return map[string]any{"healthPath": "/h", "maxConns": 90 + x.integer(31), "coldPerS": max(1000, x.number())}
	}
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprint("r", version), "baseVersion": fmt.Sprint("r", version-1),
		"routes": map[string]any{
			"zero": x.route("/zero/", "idempotent", "svc0", false), "one": x.route("/one/", "non_idempotent", "svc1", false),
			"open": x.route("/one/open/", "idempotent", "svc1", true),
		},
		"services": map[string]any{"svc0": service(), "svc1": service()},
		"limits": map[string]any{
			"maxHeaderBytes": max(16384, x.integer(64)), "maxBodyBytes": max(1<<20, x.integer(64)), "headerTimeoutS": x.positive(),
			"idleTimeoutS": x.positive(),
		},
		"tenants": map[string]any{
			"school": map[string]any{"apiKeys": []string{"key-a"}, "ratePerS": max(1000, x.number()), "burst": max(1000, x.number())},
			"other":  map[string]any{"apiKeys": []string{"key-o"}, "ratePerS": x.number(), "burst": x.number(), "priority": x.integer(32)},
		},
	})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// TestPlatformExtremeFiguresEndProcess guards against figures of a valid configuration, heartbeat or request that end a process, by a
// broken invariant or a panic, or that keep requests from being served.
func TestPlatformExtremeFiguresEndProcess(t *testing.T) {
	const configurations, requests = 8, 12
	seed := *extremeSeed
	x := extremeFigures{rand.New(rand.NewPCG(seed, 1))}
	f := startServingPlatformFleet(t)
	for i := range configurations {
		failed := false
		text := x.configuration(f.version + 1)
		waitUntil(t, "the configuration gets a response", func() bool {
			status := f.post("http://"+f.seeds[0]+"/config/replace", text)
			if status >= 400 && status < 500 {
				t.Fatalf("seed %d: status %d for the valid configuration %s", seed, status, text)
			}
			return status == http.StatusOK
		})
		f.version++
		for worker := range f.workers {
			body := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"zone":"d1","slots":%d},`+
				`"status":{"state":"ready","seq":%d,"coldLeftS":%g},"born":1000}`,
				f.workers[worker].listener.Addr().String(), f.workers[worker].service, 20+x.random.IntN(100000-20), i+2, x.number())
			url := "http://" + f.nodes[worker].node.cfg.GetAnnounceAddress() + "/instances/" + f.workers[worker].instance + "/heartbeat"
			if status := f.post(url, body); status != http.StatusOK {
				t.Fatalf("seed %d: status %d for the heartbeat %s", seed, status, body)
			}
		}
		// By then the configuration must be in force, and several exchanges have granted tokens.
		time.Sleep(time.Second)
		for n := range requests {
			id := fmt.Sprintf("extreme-%d-%d", i, n)
			deadline := strings.TrimSuffix(fmt.Sprintf("%f", max(4000, x.number())), ".000000")
			key, target := "key-a", []string{"/zero/x", "/one/x", "/one/open/x"}[n%3]
			f.send(n%2, http.MethodGet, target, "key-o", id+"-other", "", "X-Deadline-Ms", deadline)
			got := f.send(n%2, http.MethodPost, target, key, id, "order", "X-Deadline-Ms", deadline)
			if got.err != nil || got.status != http.StatusOK {
				t.Errorf("seed %d: %s with a deadline of %.40s ms: %d %v %.100s, want 200", seed, target, deadline, got.status, got.err, got.body)
				failed = true
			}
		}
		if failed {
			t.Log(text)
		}
	}
	for _, p := range append(f.controls, f.nodes...) {
		for _, c := range p.Assert.Counts() {
			if c.Broken > 0 {
				t.Errorf("seed %d: invariant %s is broken", seed, c.Invariant)
			}
		}
	}
}
