package cmd

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

var cmdLoad = command{
	name:  "load",
	short: "Send requests at a given rate and verify the responses",
	example: "  lavenderhub load --target 127.0.0.1:8080 --account demo:KEY:100 --route GET:/dictionary/a:3 " +
		"--route POST:/dictionary/b:1 --duration 10s",
	args: cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		var o loadOptions
		c.Flags().StringArrayVar(&o.targets, "target", nil, "caller address of a node on loopback; may be repeated")
		c.Flags().StringArrayVar(&o.accounts, "account", nil, "client account as ID:KEY:RATE, in requests per second; may be repeated")
		c.Flags().StringArrayVar(&o.routes, "route", nil, "route as METHOD:PATH:WEIGHT; may be repeated")
		c.Flags().DurationVar(&o.duration, "duration", 10*time.Second, "duration of the load")
		c.Flags().DurationVar(&o.timeout, "timeout", 5*time.Second, "caller's timeout for a request")
		c.Flags().IntVar(&o.size, "size", 0, "response size in bytes; 0 uses the default of the simulated upstream")
		c.Flags().IntVar(&o.clientRetries, "resends", 0, "maximum number of client retries of a failed request")
		c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the random arrival times")
		c.Flags().BoolVar(&o.direct, "direct", false, "the targets are simulated upstreams instead of nodes")
		c.Flags().StringVar(&o.output, "output", "text", "output format: text or json")
		return func([]string) error { return load(c, o) }
	},
}

// clientRetryDelay is the delay before a client retry of a failed request.
const clientRetryDelay = 50 * time.Millisecond

type loadOptions struct {
	targets       []string
	accounts      []string
	routes        []string
	duration      time.Duration
	timeout       time.Duration
	size          int
	clientRetries int
	seed          uint64
	direct        bool
	output        string
}

func load(c *cobra.Command, o loadOptions) error {
	plan, err := o.plan()
	if err != nil {
		return err
	}
	l, err := loader.New(plan, timer.New())
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	result := l.Run(ctx)
	switch o.output {
	case "json":
		return json.NewEncoder(c.OutOrStdout()).Encode(result)
	case "text":
		return result.WriteText(c.OutOrStdout())
	default:
		return errors.Errorf("bad output %q, want text or json", o.output)
	}
}

func (o *loadOptions) plan() (loader.Plan, error) {
	p := loader.Plan{
		Duration: o.duration, Seed: o.seed, Timeout: o.timeout, ResponseSize: o.size, ClientRetries: o.clientRetries,
		ClientRetryDelay: clientRetryDelay, Direct: o.direct,
	}
	for _, t := range o.targets {
		addr, err := netip.ParseAddrPort(t)
		if err != nil {
			return p, errors.Errorf("bad target %q, want an IP address and a port", t)
		}
		p.Targets = append(p.Targets, addr)
	}
	for _, a := range o.accounts {
		streams, err := o.streams(a)
		if err != nil {
			return p, err
		}
		p.Streams = append(p.Streams, streams...)
	}
	return p, nil
}

// streams parses an account flag and returns one stream per route. The account's rate is divided among the routes in
// proportion to their weights.
func (o *loadOptions) streams(account string) ([]loader.Stream, error) {
	parts := strings.Split(account, ":")
	if len(parts) != 3 {
		return nil, errors.Errorf("bad account %q, want ID:KEY:RATE", parts[0])
	}
	rate, err := strconv.ParseFloat(parts[2], 64)
	if err != nil {
		return nil, errors.Errorf("bad rate %q of account %s", parts[2], parts[0])
	}
	var streams []loader.Stream
	totalWeight := 0.0
	for _, r := range o.routes {
		fields := strings.Split(r, ":")
		if len(fields) != 3 {
			return nil, errors.Errorf("bad route %q, want METHOD:PATH:WEIGHT", r)
		}
		weight, err := strconv.ParseFloat(fields[2], 64)
		if err != nil || weight <= 0 {
			return nil, errors.Errorf("bad weight in route %q", r)
		}
		totalWeight += weight
		streams = append(streams, loader.Stream{Account: parts[0], Key: parts[1], Method: fields[0], Path: fields[1], Rate: weight})
	}
	for i := range streams {
		streams[i].Rate *= rate / totalWeight
	}
	return streams, nil
}
