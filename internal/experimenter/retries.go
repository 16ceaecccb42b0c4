package experimenter

import (
	"context"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

// runRetries makes the deepest of five services fail every request, and counts the calls that reach it.
func runRetries(ctx context.Context, e *Env) error {
	cfg := &schema.FleetSettings{
		Services: []*schema.FleetService{
			fleetService("s1", 100, millis(1, 1), "s2"), fleetService("s2", 100, millis(1, 1), "s3"), fleetService("s3", 100, millis(1, 1), "s4"),
			fleetService("s4", 100, millis(1, 1), "s5"), fleetService("s5", 100, millis(1, 1, 1)),
		},
		Accounts: []*schema.FleetAccount{fleetAccount("a", 1000, 1000)},
	}
	cases := []struct {
		name     string
		baseline runner.Baseline
		retries  int
	}{
		{"lavenderhub", runner.Baseline{}, 0},
		{"lavenderhub, 3 client retries", runner.Baseline{}, 3},
		{"no control", uncontrolledBaseline(), 0},
		{"no control, 3 client retries", uncontrolledBaseline(), 3},
	}
	for i, c := range cases {
		fleet, err := e.startFleet(ctx, string(rune('a'+i)), cfg, c.baseline)
		if err != nil {
			return err
		}
		for _, w := range fleet.Workers {
			w.Responder.SetFailing(w.Service == "s5")
		}
		const rootRate = 40
		l, err := loader.New(loader.Plan{
			Targets: callerAddresses(fleet, "s1"), Duration: e.scale(30 * time.Second), Seed: e.Seed, Timeout: callerTimeout,
			ClientRetries: c.retries, ClientRetryDelay: 50 * time.Millisecond,
			Streams: []loader.Stream{{Account: "a", Key: fleet.Keys[0].Key, Rate: rootRate, Method: http.MethodGet, Path: "/s1/x"}},
		}, e.Timer)
		if err != nil {
			fleet.Kill()
			return err
		}
		result := l.Run(ctx)
		stats := fleet.Executions["s5"].Stats(http.MethodGet)
		fleet.Kill()
		e.record("calls to the deepest service per root call", c.name, "≤ 1.1",
			"%.3f mean, %d at most", float64(stats.Executions)/float64(result.Total.Sent), stats.MaxPerRequest)
	}
	return nil
}
