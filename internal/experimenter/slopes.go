package experimenter

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

// slopes runs fleets of growing numbers of idle nodes and measures what their control costs.
func slopes(ctx context.Context, e *Env) error {
	for i, n := range []int{4, 16, 64, 200} {
		if err := e.slope(ctx, n, string(rune('a'+i))); err != nil {
			return err
		}
	}
	return nil
}

// slope measures one fleet. Its nodes have no stand-ins: what is measured is control alone.
func (e *Env) slope(ctx context.Context, n int, folder string) error {
	heapBefore := heap()
	fleet, err := e.start(ctx, folder, &schema.FleetSettings{
		Services: []*schema.FleetService{service("s", 10, millis(1))},
		Accounts: []*schema.FleetAccount{fleetAccount("a", 100, 100)},
	}, runner.Baseline{})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	nodes := make([]*runner.Node, 0, n)
	defer func() {
		for _, node := range nodes {
			_ = node.Kill()
		}
	}()
	base := fleet.Base
	base.Registry = metrics.NewRegistry()
	for i := range n {
		cfg := &schema.NodeSettings{
			Name: fmt.Sprintf("extra-%d", i), FailureDomain: "domain-1", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
			ControlAddresses: fleet.Workers[0].Settings.GetControlAddresses(),
		}
		node, err := runner.StartNode(base, cfg, netip.AddrPort{}, runner.Baseline{})
		if err != nil {
			return err
		}
		nodes = append(nodes, node)
	}
	if err := e.await(ctx, func() bool { return allReady(nodes) }); err != nil {
		return err
	}
	_ = e.Timer.Sleep(ctx, e.span(3*time.Second))
	sentBefore, receivedBefore := traffic(nodes)
	work := metrics.GetOrRegisterTimer("control.syncWork", fleet.Registry)
	countBefore := work.Count()
	cpuBefore, began := processorTime(), e.Timer.Now()
	_ = e.Timer.Sleep(ctx, e.span(10*time.Second))
	cpu, took := processorTime()-cpuBefore, e.Timer.Since(began).Seconds()
	sent, received := traffic(nodes)
	scenario := fmt.Sprintf("%d nodes", n)
	perNode := func(x int64) float64 { return float64(x) / float64(n) / took }
	e.note("control bytes of a node", scenario, "≤ 4096/s",
		"%.0f/s sent, %.0f/s received", perNode(sent-sentBefore), perNode(received-receivedBefore))
	e.note("processor time of the whole process (nodes and 3 control hosts)", scenario, "", "%.2f %% of a core, %.3f %% for each node",
		100*cpu.Seconds()/took, 100*cpu.Seconds()/took/float64(n))
	e.note("control goroutine's time for one exchange", scenario, "", "mean %.1f µs, %d exchanges",
		work.Mean()/1000, work.Count()-countBefore)
	e.note("heap for each node", scenario, "≤ 256 MB", "%.2f MB", float64(heap()-heapBefore)/float64(n)/(1<<20))
	return nil
}

func allReady(nodes []*runner.Node) bool {
	for _, n := range nodes {
		if !n.IsReady() {
			return false
		}
	}
	return true
}

func traffic(nodes []*runner.Node) (sent, received int64) {
	for _, n := range nodes {
		s, r := n.ControlTraffic()
		sent, received = sent+s, received+r
	}
	return sent, received
}

func heap() int64 {
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc)
}
