package experimenter

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

// runRate sends load of one client account at several shares of its rate, spread evenly and unevenly over the nodes.
func runRate(ctx context.Context, e *Env) error {
	const (
		accountRate = 200.0
		nodes       = 8
	)
	cfg := &schema.FleetSettings{
		Services: []*schema.FleetService{fleetService("s", 100, millis(2, 2, 2, 2, 2, 2, 2, 2))},
		Accounts: []*schema.FleetAccount{fleetAccount("a", accountRate, accountRate)},
	}
	cases := []struct {
		name     string
		baseline runner.Baseline
	}{{"leased tokens", runner.Baseline{}}, {"equal split per node", runner.Baseline{SplitOver: nodes}}}
	for i, c := range cases {
		fleet, err := e.startFleet(ctx, string(rune('a'+i)), cfg, c.baseline)
		if err != nil {
			return err
		}
		for _, skewed := range []bool{false, true} {
			for _, share := range []float64{0.5, 0.9, 1.0} {
				result, err := e.measureRateLoad(ctx, fleet, accountRate*share, skewed)
				if err != nil {
					fleet.Kill()
					return err
				}
				spread := "evenly"
				if skewed {
					spread = "80 % at one node"
				}
				f := result.Total
				e.record("refused within rate", fmt.Sprintf("%s, %.0f %% of rate, %s", c.name, 100*share, spread), "",
					"%.2f %% of %d", 100*float64(f.Reasons["rateLimited"])/float64(f.Sent), f.Sent)
			}
		}
		fleet.Kill()
	}
	return nil
}

func (e *Env) measureRateLoad(ctx context.Context, fleet *runner.Fleet, rate float64, skewed bool) (*loader.Result, error) {
	targets := callerAddresses(fleet, "s")
	if skewed {
		// Requests go to the targets in turn, so the first target fills 80 % of the list.
		first := targets[0]
		list := make([]netip.AddrPort, 0, 5*len(targets))
		for _, t := range targets[1:] {
			list = append(list, t, first, first, first, first)
		}
		targets = list
	}
	result, _, err := e.measure(ctx, loader.Plan{
		Targets: targets, Duration: e.scale(20 * time.Second), Seed: e.Seed, Timeout: callerTimeout,
		Streams: []loader.Stream{{Account: "a", Key: fleet.Keys[0].Key, Rate: rate, Method: http.MethodGet, Path: "/s/x"}},
	})
	return result, err
}
