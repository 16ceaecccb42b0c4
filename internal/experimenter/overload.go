package experimenter

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	overloadRate    = 570.0
	surgeFactor     = 3.0
	slowdownPercent = 400
	callerTimeout   = 2 * time.Second
	overloadBurst   = 4000.0
)

// accountShares holds the share of the load of each of the eight client accounts.
var accountShares = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}

// routeClasses lists the routes of the load with their importance and their share of the load.
var routeClasses = []struct {
	route      string
	importance uint32
	share      float64
}{{"vital", 7, 0.1}, {"usual", 3, 0.6}, {"bulk", 0, 0.3}}

// chainFleet returns a fleet with a call chain of three services, of the size that the project is designed for. The
// deepest service can handle about 950 requests per second.
func chainFleet() *schema.FleetSettings {
	cfg := &schema.FleetSettings{Services: []*schema.FleetService{
		fleetService("front", 110, millis(5, 8, 10, 15), "middle"),
		fleetService("middle", 80, millis(5, 8, 10, 15), "deep"),
		fleetService("deep", 20, millis(60, 80, 100, 120)),
	}}
	for i, share := range accountShares {
		cfg.Accounts = append(cfg.Accounts, fleetAccount(accountName(i), overloadRate*share*surgeFactor*4, overloadBurst))
	}
	for _, c := range routeClasses {
		cfg.Branches = append(cfg.Branches, &schema.FleetBranch{
			Path: "service/front/route/" + c.route, Policy: &schema.Policy{Importance: proto.Uint32(c.importance)},
		})
	}
	cfg.Branches = append(cfg.Branches, &schema.FleetBranch{
		Path: "root", Policy: &schema.Policy{Timeout: durationpb.New(callerTimeout)},
	})
	return cfg
}

func accountName(i int) string {
	return "account-" + string(rune('1'+i))
}

// runOverload slows the deepest service down and triples the load at the same time, while callers retry failed requests.
func runOverload(ctx context.Context, e *Env) error {
	cases := []struct {
		name     string
		baseline runner.Baseline
	}{
		{"lavenderhub", runner.Baseline{}},
		{"static limits, FIFO queue", staticLimitsBaseline()},
		{"no control", uncontrolledBaseline()},
	}
	if e.SkipBaselines {
		cases = cases[:1]
	}
	for i, c := range cases {
		if err := runOverloadCase(ctx, e, c.name, string(rune('a'+i)), c.baseline); err != nil {
			return err
		}
	}
	return nil
}

func runOverloadCase(ctx context.Context, e *Env, name, folder string, b runner.Baseline) error {
	fleet, err := e.startFleet(ctx, folder, chainFleet(), b)
	if err != nil {
		return err
	}
	defer fleet.Kill()
	before, surge, after := e.scale(10*time.Second), e.scale(30*time.Second), e.scale(20*time.Second)
	plan := loader.Plan{
		Targets: callerAddresses(fleet, "front"), Streams: classStreams(fleet, overloadRate), Duration: before + surge + after,
		Seed: e.Seed, Timeout: callerTimeout, ClientRetries: 3, ClientRetryDelay: 50 * time.Millisecond,
		SurgeStart: before, SurgeEnd: before + surge,
	}
	l, err := loader.New(plan, e.Timer)
	if err != nil {
		return err
	}
	settlingTime := e.scale(2 * time.Second)
	var servedAtStart, servedAtEnd int64
	waits := []func(){
		e.runAfter(ctx, before, func() { setServiceTimePercent(fleet, "deep", slowdownPercent) }),
		e.runAfter(ctx, before+settlingTime, func() { servedAtStart = completedRequests(fleet, "deep") }),
		e.runAfter(ctx, before+surge, func() {
			servedAtEnd = completedRequests(fleet, "deep")
			setServiceTimePercent(fleet, "deep", 100)
		}),
	}
	result := l.Run(ctx)
	for _, wait := range waits {
		wait()
	}
	e.record("responses of the deepest service during the surge", name, "", "%.0f/s",
		float64(servedAtEnd-servedAtStart)/(surge-settlingTime).Seconds())
	reportOverload(e, name, result, before, surge)
	return nil
}

// runAfter calls f after a delay, unless ctx ends first. The returned function waits until f has returned.
func (e *Env) runAfter(ctx context.Context, delay time.Duration, f func()) (wait func()) {
	g := newGroup()
	g.start(func() {
		if e.Timer.Sleep(ctx, delay) == nil {
			f()
		}
	})
	return g.wait
}

func setServiceTimePercent(f *runner.Fleet, service string, percent int) {
	for _, w := range f.Workers {
		if w.Service == service {
			w.Responder.SetServiceTimePercent(percent)
		}
	}
}

func completedRequests(f *runner.Fleet, service string) int64 {
	total := int64(0)
	for _, w := range f.Workers {
		if w.Service == service {
			total += w.Responder.Served()
		}
	}
	return total
}

// serviceCapacity returns how many requests per second the workers of a service can handle when their service time is
// multiplied by percent/100.
func serviceCapacity(cfg *schema.FleetSettings, service string, percent float64) float64 {
	total := 0.0
	for _, s := range cfg.GetServices() {
		if s.GetName() != service {
			continue
		}
		for _, w := range s.GetWorkers() {
			total += float64(w.GetSlots()) / (w.GetServiceTime().AsDuration().Seconds() * percent / 100)
		}
	}
	return total
}

func callerAddresses(f *runner.Fleet, service string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, w := range f.Workers {
		if w.Service == service {
			out = append(out, w.CallerAddr())
		}
	}
	return out
}

// classStreams divides a load among accounts and routes. The results are counted by route and account.
func classStreams(f *runner.Fleet, totalRate float64) []loader.Stream {
	var out []loader.Stream
	for i, k := range f.Keys {
		for _, c := range routeClasses {
			out = append(out, loader.Stream{
				Account: c.route + " " + k.Account, Key: k.Key, Rate: totalRate * accountShares[i] * c.share,
				Method: http.MethodGet, Path: "/front/" + c.route, SurgeFactor: surgeFactor,
			})
		}
	}
	return out
}

func reportOverload(e *Env, name string, r *loader.Result, before, surge time.Duration) {
	capacity := serviceCapacity(chainFleet(), "deep", slowdownPercent)
	start, end := bucketIndex(before), bucketIndex(before+surge)
	// The first two seconds of the surge are not counted, because requests from before it are still in progress.
	settling := bucketIndex(e.scale(2 * time.Second))
	during := ratePerSecond(r.Series[start+settling : end])
	normal := ratePerSecond(r.Series[bucketIndex(before/2):start])
	e.record("goodput before the surge", name, "", "%.0f/s", normal)
	e.record("goodput during the surge, share of capacity", name, "≥ 90 %", "%.0f/s of %.0f/s, %.0f %%", during, capacity, 100*during/capacity)
	recovered := recoveryTime(r.Series[end:], normal)
	if recovered < 0 {
		e.record("time to recover", name, "≤ 2 s", "not within %.0f s", float64(len(r.Series)-end)*loader.BucketSpan.Seconds())
	} else {
		e.record("time to recover", name, "≤ 2 s", "%.1f s", recovered.Seconds())
	}
	for _, c := range routeClasses {
		sent, good, shed := int64(0), int64(0), int64(0)
		reasons := map[string]int64{}
		for i := range accountShares {
			f := r.Accounts[c.route+" "+accountName(i)]
			sent, good, shed = sent+f.Sent, good+f.Good, shed+f.Reasons["overloaded"]
			for reason, n := range f.Reasons {
				reasons[reason] += n
			}
		}
		e.record("entire run, route "+c.route, name, "", "%.1f %% good, %d of %d shed, %v",
			100*float64(good)/float64(sent), shed, sent, reasons)
	}
	e.record("failed requests, by reason", name, "", "%v", r.Total.Reasons)
	lowest := 100.0
	for i := range accountShares {
		f := r.Accounts["usual "+accountName(i)]
		lowest = min(lowest, 100*float64(f.Good)/float64(f.Sent))
	}
	e.record("account with the lowest goodput on the usual route", name, "", "%.1f %% good", lowest)
	e.record("responses with a wrong length or checksum", name, "0", "%d", r.Total.Corrupt)
}

func bucketIndex(d time.Duration) int {
	return int(d / loader.BucketSpan)
}

func ratePerSecond(series []int64) float64 {
	total := int64(0)
	for _, n := range series {
		total += n
	}
	if len(series) == 0 {
		return 0
	}
	return float64(total) / (float64(len(series)) * loader.BucketSpan.Seconds())
}

// recoveryTime returns the time until the goodput over the following second is at least 95 % of normal, or -1 when it
// stays below.
func recoveryTime(series []int64, normal float64) time.Duration {
	second := bucketIndex(time.Second)
	for i := 0; i+second <= len(series)-1; i++ {
		if ratePerSecond(series[i:i+second]) >= 0.95*normal {
			return time.Duration(i) * loader.BucketSpan
		}
	}
	return -1
}
