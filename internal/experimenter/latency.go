package experimenter

import (
	"context"
	"net/http"
	"net/netip"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

const latencyRate = 500.0

// runLatency sends the same load directly to a simulated upstream, through one node, and through two nodes.
func runLatency(ctx context.Context, e *Env) error {
	cfg := &schema.FleetSettings{
		Services: []*schema.FleetService{
			fleetService("near", 100, millis(5)),
			fleetService("entry", 100, millis(5)),
		},
		Accounts: []*schema.FleetAccount{{Id: "a", Policy: &schema.Policy{
			Rate: proto.Float64(10 * latencyRate), Burst: proto.Float64(10 * latencyRate),
		}}},
	}
	fleet, err := e.startFleet(ctx, "latency", cfg, runner.Baseline{})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	near, entry := fleet.Workers[0], fleet.Workers[1]
	cases := []struct {
		name   string
		target netip.AddrPort
		direct bool
	}{
		{"directly to the simulated upstream", near.Responder.Addr(), true},
		{"one node (entry and gate on one host)", near.CallerAddr(), false},
		{"two nodes (entry, then gate)", entry.CallerAddr(), false},
	}
	var direct *loader.Result
	var directCPU time.Duration
	for _, c := range cases {
		plan := loader.Plan{
			Targets: []netip.AddrPort{c.target}, Duration: e.scale(30 * time.Second), Seed: e.Seed, Timeout: callerTimeout, Direct: c.direct,
			Streams: []loader.Stream{{Account: "a", Key: fleet.Keys[0].Key, Rate: latencyRate, Method: http.MethodGet, Path: "/near/x"}},
		}
		result, cpu, err := e.measure(ctx, plan)
		if err != nil {
			return err
		}
		if direct == nil {
			direct, directCPU = result, cpu
		}
		f := result.Total
		e.record("latency at 500/s", c.name, "", "p50 %.2f ms, p99 %.2f ms, %d of %d good", f.P50Ms, f.P99Ms, f.Good, f.Sent)
		e.record("added at p50 and p99", c.name, "≤ 0.91 ms at p99", "%.2f ms, %.2f ms", f.P50Ms-direct.Total.P50Ms, f.P99Ms-direct.Total.P99Ms)
		e.record("CPU time added per request", c.name, "", "%d µs", (cpu-directCPU).Microseconds()/max(1, f.Sent))
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	e.record("heap of the whole process (2 nodes, 3 control hosts, simulated upstreams, load generator)", "after the load", "",
		"%d MB", mem.HeapAlloc>>20)
	return nil
}

// measure runs a plan after a short warm-up, and returns the result and the CPU time that this process used for the plan.
func (e *Env) measure(ctx context.Context, plan loader.Plan) (*loader.Result, time.Duration, error) {
	warmUp := plan
	warmUp.Duration = e.scale(3 * time.Second)
	// Request IDs derive from the seed and serve as idempotency keys: the plan must not reuse those of the warm-up.
	warmUp.Seed += 1 << 32
	for _, p := range []loader.Plan{warmUp, plan} {
		l, err := loader.New(p, e.Timer)
		if err != nil {
			return nil, 0, err
		}
		cpuBefore := cpuTime()
		result := l.Run(ctx)
		if p.Duration == plan.Duration {
			return result, cpuTime() - cpuBefore, nil
		}
	}
	return nil, 0, nil
}
