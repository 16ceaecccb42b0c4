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
	short: "Send requests at a stated rate and verify the answers",
	example: "  lavenderhub load --target 127.0.0.1:8080 --account demo:KEY:100 --route GET:/dictionary/a:3 " +
		"--route POST:/dictionary/b:1 --duration 10s",
	args: cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		var o loadOptions
		c.Flags().StringArrayVar(&o.targets, "target", nil, "caller address of a node on loopback; may be repeated")
		c.Flags().StringArrayVar(&o.accounts, "account", nil, "client account as ID:KEY:RATE, in requests a second; may be repeated")
		c.Flags().StringArrayVar(&o.routes, "route", nil, "route as METHOD:PATH:WEIGHT; may be repeated")
		c.Flags().DurationVar(&o.duration, "duration", 10*time.Second, "length of the load")
		c.Flags().DurationVar(&o.timeout, "timeout", 5*time.Second, "caller's timeout for each request")
		c.Flags().IntVar(&o.size, "size", 0, "length of the answers in bytes; 0 leaves it to the stand-in")
		c.Flags().IntVar(&o.resends, "resends", 0, "how often a failed request is sent again")
		c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
		c.Flags().BoolVar(&o.direct, "direct", false, "the targets are stand-in upstreams, not nodes")
		c.Flags().StringVar(&o.output, "output", "text", "form of the result: text or json")
		return func([]string) error { return load(c, o) }
	},
}

// resendPause is the pause before a failed request is sent again.
const resendPause = 50 * time.Millisecond

type loadOptions struct {
	targets  []string
	accounts []string
	routes   []string
	duration time.Duration
	timeout  time.Duration
	size     int
	resends  int
	seed     uint64
	direct   bool
	output   string
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
	ctx, stop := untilInterrupted()
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
		Duration: o.duration, Seed: o.seed, Timeout: o.timeout, Size: o.size, Resends: o.resends, ResendPause: resendPause, Direct: o.direct,
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

// streams spreads an account's rate over the routes by their weights.
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
	total := 0.0
	for _, r := range o.routes {
		fields := strings.Split(r, ":")
		if len(fields) != 3 {
			return nil, errors.Errorf("bad route %q, want METHOD:PATH:WEIGHT", r)
		}
		weight, err := strconv.ParseFloat(fields[2], 64)
		if err != nil || weight <= 0 {
			return nil, errors.Errorf("bad weight in route %q", r)
		}
		total += weight
		streams = append(streams, loader.Stream{Account: parts[0], Key: parts[1], Method: fields[0], Path: fields[1], Rate: weight})
	}
	for i := range streams {
		streams[i].Rate *= rate / total
	}
	return streams, nil
}
