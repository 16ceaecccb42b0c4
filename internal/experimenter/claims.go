package experimenter

import (
	"context"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

// runClaims sends requests with idempotency keys at increasing rates.
func runClaims(ctx context.Context, e *Env) error {
	cfg := &schema.FleetSettings{
		Services: []*schema.FleetService{fleetService("orders", 200, millis(2, 2, 2, 2))},
		Accounts: []*schema.FleetAccount{fleetAccount("a", 20000, 20000)},
	}
	fleet, err := e.startFleet(ctx, "claims", cfg, runner.Baseline{})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	for _, rate := range []float64{100, 500, 1000, 2000} {
		result, cpu, err := e.measure(ctx, loader.Plan{
			Targets: callerAddresses(fleet, "orders"), Duration: e.scale(10 * time.Second), Seed: e.Seed + uint64(rate), Timeout: callerTimeout,
			Streams: []loader.Stream{
				{Account: "a", Key: fleet.Keys[0].Key, Rate: rate, Method: http.MethodPost, Path: "/orders/x", UseIdempotencyKey: true},
			},
		})
		if err != nil {
			return err
		}
		f := result.Total
		e.record("requests with a claim and a settlement, both durable on 2 of 3 hosts before the response", itoa(int(rate))+"/s sent", "",
			"%.0f/s good, p50 %.1f ms, p99 %.1f ms, %.2f cores in total", result.GoodPerSec, f.P50Ms, f.P99Ms, cpu.Seconds()/result.Seconds)
	}
	e.record("requests executed twice", "all", "0", "%d", fleet.Executions["orders"].Stats(http.MethodPost).Duplicated)
	return nil
}
