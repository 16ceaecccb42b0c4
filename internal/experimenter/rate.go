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

// rate loads one client account at parts of its rate, spread evenly and unevenly over the nodes.
func rate(ctx context.Context, e *Env) error {
	const (
		accountRate = 200.0
		nodes       = 8
	)
	cfg := &schema.FleetSettings{
		Services: []*schema.FleetService{service("s", 100, millis(2, 2, 2, 2, 2, 2, 2, 2))},
		Accounts: []*schema.FleetAccount{fleetAccount("a", accountRate, accountRate)},
	}
	cases := []struct {
		name     string
		baseline runner.Baseline
	}{{"leased tokens", runner.Baseline{}}, {"equal split per node", runner.Baseline{SplitOver: nodes}}}
	for i, c := range cases {
		fleet, err := e.start(ctx, string(rune('a'+i)), cfg, c.baseline)
		if err != nil {
			return err
		}
		for _, skewed := range []bool{false, true} {
			for _, part := range []float64{0.5, 0.9, 1.0} {
				result, err := e.rateLoad(ctx, fleet, accountRate*part, skewed)
				if err != nil {
					fleet.Kill()
					return err
				}
				spread := "evenly"
				if skewed {
					spread = "80 % at one node"
				}
				f := result.Total
				e.note("refused within rate", fmt.Sprintf("%s, %.0f %% of rate, %s", c.name, 100*part, spread), "",
					"%.2f %% of %d", 100*float64(f.Reasons["rateLimited"])/float64(f.Sent), f.Sent)
			}
		}
		fleet.Kill()
	}
	return nil
}

func (e *Env) rateLoad(ctx context.Context, fleet *runner.Fleet, total float64, skewed bool) (*loader.Result, error) {
	targets := callerAddresses(fleet, "s")
	if skewed {
		// Requests go to the targets in turn: the first stands in the list for 80 % of them.
		first := targets[0]
		list := make([]netip.AddrPort, 0, 5*len(targets))
		for _, t := range targets[1:] {
			list = append(list, t, first, first, first, first)
		}
		targets = list
	}
	result, _, err := e.measure(ctx, loader.Plan{
		Targets: targets, Duration: e.span(20 * time.Second), Seed: e.Seed, Timeout: callerTimeout,
		Streams: []loader.Stream{{Account: "a", Key: fleet.Keys[0].Key, Rate: total, Method: http.MethodGet, Path: "/s/x"}},
	})
	return result, err
}
