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

// leaving drains and kills workers, and stops nodes in turn, under a load of idempotent and other requests.
func leaving(ctx context.Context, e *Env) error {
	cfg := &schema.FleetSettings{
		Services: []*schema.FleetService{
			service("entry", 50, millis(5)),
			service("front", 50, millis(10, 15, 20, 25), "deep"),
			service("deep", 50, millis(10, 15, 20, 25)),
		},
		Accounts: []*schema.FleetAccount{fleetAccount("a", 2000, 2000)},
	}
	fleet, err := e.start(ctx, "leaving", cfg, runner.Baseline{})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	events := []struct {
		name   string
		target string
		act    func(w *runner.FleetWorker) error
	}{
		{"drain of a worker", "0", func(w *runner.FleetWorker) error { return w.Responder.Stop() }},
		{"kill of a worker with its node", "0 beyond those in progress at it", func(w *runner.FleetWorker) error {
			_ = w.Responder.Kill()
			return w.Kill()
		}},
		{"stop of each node of front and deep in turn", "0", func(*runner.FleetWorker) error { return stopEach(fleet) }},
	}
	for i, event := range events {
		if err := e.leave(ctx, fleet, event.name, event.target, i, event.act); err != nil {
			return err
		}
	}
	return nil
}

func (e *Env) leave(ctx context.Context, fleet *runner.Fleet, name, target string, n int, act func(*runner.FleetWorker) error) error {
	entry := []netip.AddrPort{fleet.Workers[0].CallerAddr()}
	key := fleet.Keys[0].Key
	const half = 150
	length := e.span(20 * time.Second)
	if n == 2 {
		length = time.Minute
	}
	plan := loader.Plan{
		Targets: entry, Duration: length, Seed: e.Seed + uint64(n), Timeout: callerTimeout,
		Streams: []loader.Stream{
			{Account: "idempotent", Key: key, Rate: half, Method: http.MethodGet, Path: "/front/a"},
			{Account: "once", Key: key, Rate: half, Method: http.MethodPost, Path: "/front/b"},
		},
	}
	l, err := loader.New(plan, e.Timer)
	if err != nil {
		return err
	}
	victim := fleet.Workers[2+n]
	var actErr error
	wait := e.switchAt(ctx, length/5, func() { actErr = act(victim) })
	result := l.Run(ctx)
	wait()
	if actErr != nil {
		return actErr
	}
	get, post := result.Accounts["idempotent"], result.Accounts["once"]
	e.note("idempotent requests that failed", name, target, "%d of %d %v", get.Sent-get.Good, get.Sent, get.Reasons)
	e.note("other requests that failed", name, "", "%d of %d %v", post.Sent-post.Good, post.Sent, post.Reasons)
	e.note("other requests run twice", name, "0", "%d", fleet.Runs["front"].Tally(http.MethodPost).Repeated)
	return nil
}

// stopEach stops the node of every worker but the entry, and starts it again.
func stopEach(f *runner.Fleet) error {
	for _, w := range f.Workers[1:] {
		if w.Responder.Stop() != nil || w.Stop() != nil {
			// A worker that an earlier event ended is only started again.
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
