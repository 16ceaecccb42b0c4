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

// runSlopes measures the cost of control traffic in fleets with increasing numbers of idle nodes.
func runSlopes(ctx context.Context, e *Env) error {
	for i, n := range []int{4, 16, 64, 200} {
		if err := e.measureFleet(ctx, n, string(rune('a'+i))); err != nil {
			return err
		}
	}
	return nil
}

// measureFleet measures one fleet. The n nodes have no upstreams, so that the cost is that of control alone.
func (e *Env) measureFleet(ctx context.Context, n int, folder string) error {
	heapBefore := heapBytes()
	fleet, err := e.startFleet(ctx, folder, &schema.FleetSettings{
		Services: []*schema.FleetService{fleetService("s", 10, millis(1))},
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
	if err := e.waitFor(ctx, func() bool { return allReady(nodes) }); err != nil {
		return err
	}
	_ = e.Timer.Sleep(ctx, e.scale(3*time.Second))
	sentBefore, receivedBefore := controlTraffic(nodes)
	syncWork := metrics.GetOrRegisterTimer("control.syncWork", fleet.Registry)
	countBefore := syncWork.Count()
	cpuBefore, start := cpuTime(), e.Timer.Now()
	_ = e.Timer.Sleep(ctx, e.scale(10*time.Second))
	cpu, seconds := cpuTime()-cpuBefore, e.Timer.Since(start).Seconds()
	sent, received := controlTraffic(nodes)
	scenario := fmt.Sprintf("%d nodes", n)
	perNode := func(bytes int64) float64 { return float64(bytes) / float64(n) / seconds }
	e.record("control traffic per node, in bytes", scenario, "≤ 4096/s",
		"%.0f/s sent, %.0f/s received", perNode(sent-sentBefore), perNode(received-receivedBefore))
	e.record("CPU time of the whole process (nodes and 3 control hosts)", scenario, "", "%.2f %% of a core, %.3f %% per node",
		100*cpu.Seconds()/seconds, 100*cpu.Seconds()/seconds/float64(n))
	e.record("control goroutine's time per sync exchange", scenario, "", "mean %.1f µs, %d exchanges",
		syncWork.Mean()/1000, syncWork.Count()-countBefore)
	e.record("heap per node", scenario, "≤ 256 MB", "%.2f MB", float64(heapBytes()-heapBefore)/float64(n)/(1<<20))
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

func controlTraffic(nodes []*runner.Node) (sent, received int64) {
	for _, n := range nodes {
		s, r := n.ControlTraffic()
		sent, received = sent+s, received+r
	}
	return sent, received
}

func heapBytes() int64 {
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc)
}
