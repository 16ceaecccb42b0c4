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

// latency sends the same load straight to a stand-in, through one node, and through two.
func latency(ctx context.Context, e *Env) error {
	cfg := &schema.FleetSettings{
		Services: []*schema.FleetService{
			service("near", 100, millis(5)),
			service("entry", 100, millis(5)),
		},
		Accounts: []*schema.FleetAccount{{Id: "a", Policy: &schema.Policy{
			Rate: proto.Float64(10 * latencyRate), Burst: proto.Float64(10 * latencyRate),
		}}},
	}
	fleet, err := e.start(ctx, "latency", cfg, runner.Baseline{})
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
		{"straight to the stand-in", near.Responder.Addr(), true},
		{"one node (entry and gate on one host)", near.CallerAddr(), false},
		{"two nodes (entry, then gate)", entry.CallerAddr(), false},
	}
	var base *loader.Result
	var baseCPU time.Duration
	for _, c := range cases {
		plan := loader.Plan{
			Targets: []netip.AddrPort{c.target}, Duration: e.span(30 * time.Second), Seed: e.Seed, Timeout: callerTimeout, Direct: c.direct,
			Streams: []loader.Stream{{Account: "a", Key: fleet.Keys[0].Key, Rate: latencyRate, Method: http.MethodGet, Path: "/near/x"}},
		}
		result, cpu, err := e.measure(ctx, plan)
		if err != nil {
			return err
		}
		if base == nil {
			base, baseCPU = result, cpu
		}
		f := result.Total
		e.note("latency at 500/s", c.name, "", "p50 %.2f ms, p99 %.2f ms, %d of %d good", f.P50Ms, f.P99Ms, f.Good, f.Sent)
		e.note("added at p50 and p99", c.name, "≤ 0.91 ms at p99", "%.2f ms, %.2f ms", f.P50Ms-base.Total.P50Ms, f.P99Ms-base.Total.P99Ms)
		e.note("processor time added to a request", c.name, "", "%d µs", (cpu-baseCPU).Microseconds()/max(1, f.Sent))
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	e.note("heap of the whole process (2 nodes, 3 control hosts, stand-ins, load tool)", "after the load", "", "%d MB", mem.HeapAlloc>>20)
	return nil
}

// measure carries out a plan after a short warm-up, and returns the processor time that this process used for it.
func (e *Env) measure(ctx context.Context, plan loader.Plan) (*loader.Result, time.Duration, error) {
	warm := plan
	warm.Duration = e.span(3 * time.Second)
	// Other ids, or idempotency keys would be known already.
	warm.Seed += 1 << 32
	for _, p := range []loader.Plan{warm, plan} {
		l, err := loader.New(p, e.Timer)
		if err != nil {
			return nil, 0, err
		}
		began := processorTime()
		result := l.Run(ctx)
		if p.Duration == plan.Duration {
			return result, processorTime() - began, nil
		}
	}
	return nil, 0, nil
}
