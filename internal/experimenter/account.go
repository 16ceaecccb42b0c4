package experimenter

import (
	"context"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

// account lets one of eight client accounts send six times its rate while the others keep to theirs.
func account(ctx context.Context, e *Env) error {
	const (
		accountRate = 60.0
		excess      = 6.0
		within      = 0.9
	)
	cfg := &schema.FleetSettings{Services: []*schema.FleetService{
		service("front", 80, millis(5, 8, 10, 15), "deep"),
		service("deep", 20, millis(60, 80, 100, 120)),
	}}
	for i := range accountShares {
		cfg.Accounts = append(cfg.Accounts, fleetAccount(accountName(i), accountRate, accountRate))
	}
	cases := []struct {
		name     string
		baseline runner.Baseline
	}{{"lavenderhub", runner.Baseline{}}, {"no control but the rate", uncontrolled()}}
	for i, c := range cases {
		fleet, err := e.start(ctx, string(rune('a'+i)), cfg, c.baseline)
		if err != nil {
			return err
		}
		var streams []loader.Stream
		for j, k := range fleet.Keys {
			rate := accountRate * within
			if j == 0 {
				rate = accountRate * excess
			}
			streams = append(streams, loader.Stream{Account: k.Account, Key: k.Key, Rate: rate, Method: http.MethodGet, Path: "/front/x"})
		}
		result, _, err := e.measure(ctx, loader.Plan{
			Targets: callerAddresses(fleet, "front"), Streams: streams, Duration: e.span(30 * time.Second), Seed: e.Seed, Timeout: callerTimeout,
		})
		fleet.Kill()
		if err != nil {
			return err
		}
		sent, good, worst := int64(0), int64(0), 100.0
		for j := 1; j < len(accountShares); j++ {
			f := result.Accounts[accountName(j)]
			sent, good = sent+f.Sent, good+f.Good
			worst = min(worst, 100*float64(f.Good)/float64(f.Sent))
		}
		heavy := result.Accounts[accountName(0)]
		e.note("other seven accounts, within rate", c.name, "≥ 99.9 %", "%.3f %% good of %d", 100*float64(good)/float64(sent), sent)
		e.note("worst-served of them", c.name, "", "%.3f %% good", worst)
		e.note("the heavy account", c.name, "60/s", "%.1f/s good of %.0f/s sent",
			float64(heavy.Good)/result.Seconds, float64(heavy.Sent)/result.Seconds)
	}
	return nil
}
