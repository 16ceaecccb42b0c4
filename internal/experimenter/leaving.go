package experimenter

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

// runLeaving drains and kills workers and restarts nodes one after another, under a load of idempotent and non-idempotent
// requests.
func runLeaving(ctx context.Context, e *Env) error {
	cfg := &schema.FleetSettings{
		Services: []*schema.FleetService{
			fleetService("entry", 50, millis(5)),
			fleetService("front", 50, millis(10, 15, 20, 25), "deep"),
			fleetService("deep", 50, millis(10, 15, 20, 25)),
		},
		Accounts: []*schema.FleetAccount{fleetAccount("a", 2000, 2000)},
	}
	fleet, err := e.startFleet(ctx, "leaving", cfg, runner.Baseline{})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	events := []struct {
		name   string
		target string
		inject func(w *runner.FleetWorker) error
	}{
		{"drain of a worker", "0", func(w *runner.FleetWorker) error { return w.Responder.Stop() }},
		{"kill of a worker with its node", "0 except those in progress at the worker", func(w *runner.FleetWorker) error {
			_ = w.Responder.Kill()
			return w.Kill()
		}},
		{"stop of each node of front and deep in turn", "0", func(*runner.FleetWorker) error { return restartEach(fleet) }},
	}
	for i, event := range events {
		if err := e.measureEvent(ctx, fleet, event.name, event.target, i, event.inject); err != nil {
			return err
		}
	}
	return nil
}

// measureEvent runs a load, injects event n after a fifth of its duration, and records the requests that failed.
func (e *Env) measureEvent(ctx context.Context, f *runner.Fleet, name, target string, n int, inject func(*runner.FleetWorker) error) error {
	entry := []netip.AddrPort{f.Workers[0].CallerAddr()}
	key := f.Keys[0].Key
	const streamRate = 150
	duration := e.scale(20 * time.Second)
	if n == 2 {
		duration = time.Minute
	}
	plan := loader.Plan{
		Targets: entry, Duration: duration, Seed: e.Seed + uint64(n), Timeout: callerTimeout,
		Streams: []loader.Stream{
			{Account: "idempotent", Key: key, Rate: streamRate, Method: http.MethodGet, Path: "/front/a"},
			{Account: "once", Key: key, Rate: streamRate, Method: http.MethodPost, Path: "/front/b"},
		},
	}
	l, err := loader.New(plan, e.Timer)
	if err != nil {
		return err
	}
	worker := f.Workers[2+n]
	var injectErr error
	wait := e.runAfter(ctx, duration/5, func() { injectErr = inject(worker) })
	result := l.Run(ctx)
	wait()
	if injectErr != nil {
		return injectErr
	}
	get, post := result.Accounts["idempotent"], result.Accounts["once"]
	e.record("idempotent requests that failed", name, target, "%d of %d %v", get.Sent-get.Good, get.Sent, get.Reasons)
	e.record("non-idempotent requests that failed", name, "", "%d of %d %v", post.Sent-post.Good, post.Sent, post.Reasons)
	e.record("non-idempotent requests executed twice", name, "0", "%d", f.Executions["front"].Stats(http.MethodPost).Duplicated)
	return nil
}

// restartEach restarts every worker and its node one after another, except the first, which is the entry node of the load.
func restartEach(f *runner.Fleet) error {
	for _, w := range f.Workers[1:] {
		if w.Responder.Stop() != nil || w.Stop() != nil {
			// An earlier event has already stopped this worker, so it is only started again.
			_ = w.Kill()
		}
		if err := f.StartNode(w); err != nil {
			return err
		}
		if err := f.StartResponder(w); err != nil {
			return err
		}
	}
	return nil
}
