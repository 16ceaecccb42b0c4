package experimenter

import (
	"context"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

// runAccount sends the load of eight client accounts, one at six times its rate and the others within theirs.
func runAccount(ctx context.Context, e *Env) error {
	const (
		accountRate = 60.0
		heavyLoad   = 6.0 // multiple of the account's rate
		usualLoad   = 0.9 // multiple of the account's rate
	)
	cfg := &schema.FleetSettings{Services: []*schema.FleetService{
		fleetService("front", 80, millis(5, 8, 10, 15), "deep"),
		fleetService("deep", 20, millis(60, 80, 100, 120)),
	}}
	for i := range accountShares {
		cfg.Accounts = append(cfg.Accounts, fleetAccount(accountName(i), accountRate, accountRate))
	}
	cases := []struct {
		name     string
		baseline runner.Baseline
	}{{"lavenderhub", runner.Baseline{}}, {"rate limit only", uncontrolledBaseline()}}
	for i, c := range cases {
		fleet, err := e.startFleet(ctx, string(rune('a'+i)), cfg, c.baseline)
		if err != nil {
			return err
		}
		var streams []loader.Stream
		for j, k := range fleet.Keys {
			rate := accountRate * usualLoad
			if j == 0 {
				rate = accountRate * heavyLoad
			}
			streams = append(streams, loader.Stream{Account: k.Account, Key: k.Key, Rate: rate, Method: http.MethodGet, Path: "/front/x"})
		}
		result, _, err := e.measure(ctx, loader.Plan{
			Targets: callerAddresses(fleet, "front"), Streams: streams, Duration: e.scale(30 * time.Second), Seed: e.Seed, Timeout: callerTimeout,
		})
		fleet.Kill()
		if err != nil {
			return err
		}
		sent, good, lowest := int64(0), int64(0), 100.0
		for j := 1; j < len(accountShares); j++ {
			f := result.Accounts[accountName(j)]
			sent, good = sent+f.Sent, good+f.Good
			lowest = min(lowest, 100*float64(f.Good)/float64(f.Sent))
		}
		heavy := result.Accounts[accountName(0)]
		e.record("other seven accounts, within rate", c.name, "≥ 99.9 %", "%.3f %% good of %d", 100*float64(good)/float64(sent), sent)
		e.record("lowest of these accounts", c.name, "", "%.3f %% good", lowest)
		e.record("account over its rate", c.name, "60/s", "%.1f/s good of %.0f/s sent",
			float64(heavy.Good)/result.Seconds, float64(heavy.Sent)/result.Seconds)
	}
	return nil
}
