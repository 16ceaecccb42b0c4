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
	overloadBase  = 570.0
	surgeFactor   = 3.0
	slowdown      = 400
	callerTimeout = 2 * time.Second
	overloadBurst = 4000.0
)

// accountShares are the parts of the load of eight client accounts, a few of them large.
var accountShares = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}

// classes are the routes of the load with their importance and part.
var classes = []struct {
	route      string
	importance uint32
	share      float64
}{{"vital", 7, 0.1}, {"usual", 3, 0.6}, {"bulk", 0, 0.3}}

// deepFleet is three services deep, sized as the brief's. The deepest can serve about 950 requests a second.
func deepFleet() *schema.FleetSettings {
	cfg := &schema.FleetSettings{Services: []*schema.FleetService{
		service("front", 110, millis(5, 8, 10, 15), "middle"),
		service("middle", 80, millis(5, 8, 10, 15), "deep"),
		service("deep", 20, millis(60, 80, 100, 120)),
	}}
	for i, share := range accountShares {
		cfg.Accounts = append(cfg.Accounts, fleetAccount(accountName(i), overloadBase*share*surgeFactor*4, overloadBurst))
	}
	for _, c := range classes {
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

// overload slows the deepest service and triples the load at the same moment, while callers send again what fails.
func overload(ctx context.Context, e *Env) error {
	cases := []struct {
		name     string
		baseline runner.Baseline
	}{
		{"lavenderhub", runner.Baseline{}},
		{"static limits, FIFO queue", staticLimits()},
		{"no control", uncontrolled()},
	}
	if e.First {
		cases = cases[:1]
	}
	for i, c := range cases {
		if err := overloadCase(ctx, e, c.name, string(rune('a'+i)), c.baseline); err != nil {
			return err
		}
	}
	return nil
}

func overloadCase(ctx context.Context, e *Env, name, folder string, b runner.Baseline) error {
	fleet, err := e.start(ctx, folder, deepFleet(), b)
	if err != nil {
		return err
	}
	defer fleet.Kill()
	before, trouble, after := e.span(10*time.Second), e.span(30*time.Second), e.span(20*time.Second)
	plan := loader.Plan{
		Targets: callerAddresses(fleet, "front"), Streams: classStreams(fleet, overloadBase), Duration: before + trouble + after,
		Seed: e.Seed, Timeout: callerTimeout, Resends: 3, ResendPause: 50 * time.Millisecond,
		SurgeStart: before, SurgeEnd: before + trouble,
	}
	l, err := loader.New(plan, e.Timer)
	if err != nil {
		return err
	}
	settle := e.span(2 * time.Second)
	var atStart, atEnd int64
	waits := []func(){
		e.switchAt(ctx, before, func() { setSlowdown(fleet, "deep", slowdown) }),
		e.switchAt(ctx, before+settle, func() { atStart = served(fleet, "deep") }),
		e.switchAt(ctx, before+trouble, func() {
			atEnd = served(fleet, "deep")
			setSlowdown(fleet, "deep", 100)
		}),
	}
	result := l.Run(ctx)
	for _, wait := range waits {
		wait()
	}
	e.note("answers of the deepest service during", name, "", "%.0f/s", float64(atEnd-atStart)/(trouble-settle).Seconds())
	reportOverload(e, name, result, before, trouble)
	return nil
}

// switchAt calls a function after a delay. The returned function waits for it.
func (e *Env) switchAt(ctx context.Context, delay time.Duration, f func()) (wait func()) {
	g := newGroup()
	g.run(func() {
		if e.Timer.Sleep(ctx, delay) == nil {
			f()
		}
	})
	return g.wait
}

func setSlowdown(f *runner.Fleet, service string, percent int) {
	for _, w := range f.Workers {
		if w.Service == service {
			w.Responder.SetSlowdown(percent)
		}
	}
}

func served(f *runner.Fleet, service string) int64 {
	total := int64(0)
	for _, w := range f.Workers {
		if w.Service == service {
			total += w.Responder.Served()
		}
	}
	return total
}

// capacityOf returns the requests a second that the workers of a service can serve at a slowdown in percent.
func capacityOf(cfg *schema.FleetSettings, service string, percent float64) float64 {
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

// classStreams spreads a load over accounts and routes. Figures are kept by route and account.
func classStreams(f *runner.Fleet, total float64) []loader.Stream {
	var out []loader.Stream
	for i, k := range f.Keys {
		for _, c := range classes {
			out = append(out, loader.Stream{
				Account: c.route + " " + k.Account, Key: k.Key, Rate: total * accountShares[i] * c.share,
				Method: http.MethodGet, Path: "/front/" + c.route, SurgeFactor: surgeFactor,
			})
		}
	}
	return out
}

func reportOverload(e *Env, name string, r *loader.Result, before, trouble time.Duration) {
	capacity := capacityOf(deepFleet(), "deep", slowdown)
	start, end := bucketAt(before), bucketAt(before+trouble)
	// The first two seconds of the trouble are left to the requests that were on their way.
	settle := bucketAt(e.span(2 * time.Second))
	during := perSecond(r.Series[start+settle : end])
	normal := perSecond(r.Series[bucketAt(before/2):start])
	e.note("goodput before", name, "", "%.0f/s", normal)
	e.note("goodput during, share of capacity", name, "≥ 90 %", "%.0f/s of %.0f/s, %.0f %%", during, capacity, 100*during/capacity)
	recovered := recovery(r.Series[end:], normal)
	if recovered < 0 {
		e.note("time to recover", name, "≤ 2 s", "not within %.0f s", float64(len(r.Series)-end)*loader.BucketSpan.Seconds())
	} else {
		e.note("time to recover", name, "≤ 2 s", "%.1f s", recovered.Seconds())
	}
	for _, c := range classes {
		sent, good, shed := int64(0), int64(0), int64(0)
		reasons := map[string]int64{}
		for i := range accountShares {
			f := r.Accounts[c.route+" "+accountName(i)]
			sent, good, shed = sent+f.Sent, good+f.Good, shed+f.Reasons["overloaded"]
			for reason, n := range f.Reasons {
				reasons[reason] += n
			}
		}
		e.note("whole run, route "+c.route, name, "", "%.1f %% good, %d of %d shed, %v",
			100*float64(good)/float64(sent), shed, sent, reasons)
	}
	e.note("not good, by reason", name, "", "%v", r.Total.Reasons)
	worst := 100.0
	for i := range accountShares {
		f := r.Accounts["usual "+accountName(i)]
		worst = min(worst, 100*float64(f.Good)/float64(f.Sent))
	}
	e.note("worst-served account on the usual route", name, "", "%.1f %% good", worst)
	e.note("answers that were not whole", name, "0", "%d", r.Total.Broken)
}

func bucketAt(d time.Duration) int {
	return int(d / loader.BucketSpan)
}

func perSecond(series []int64) float64 {
	total := int64(0)
	for _, n := range series {
		total += n
	}
	if len(series) == 0 {
		return 0
	}
	return float64(total) / (float64(len(series)) * loader.BucketSpan.Seconds())
}

// recovery returns the time until the goodput of the following second is back at 95 % of normal, or -1.
func recovery(series []int64, normal float64) time.Duration {
	second := bucketAt(time.Second)
	for i := 0; i+second <= len(series)-1; i++ {
		if perSecond(series[i:i+second]) >= 0.95*normal {
			return time.Duration(i) * loader.BucketSpan
		}
	}
	return -1
}
