package cmd

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/internal/logger"
	"github.com/lavenderhub/lavenderhub/internal/parser"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

var cmdDev = command{
	name:    "dev",
	short:   "Run a small fleet on loopback in this process until interrupted",
	example: "  lavenderhub dev\n  lavenderhub dev --config examples/shabdakosh.jsonc",
	args:    cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		file := c.Flags().String("config", "", "settings file that describes a fleet; a demonstration fleet runs if it is not set")
		level := c.Flags().String("log-level", "warn", "minimum level of logged events: debug, info, warn or error")
		return func([]string) error { return dev(c.OutOrStdout(), *file, *level) }
	},
}

func dev(out io.Writer, file, level string) error {
	cfg := demoFleet()
	if file != "" {
		settings, err := parser.ParseFile(file)
		if err != nil {
			return err
		}
		if cfg = settings.GetFleet(); cfg == nil {
			return errors.Errorf("%s describes no fleet; run it with lavenderhub serve --config %s", file, file)
		}
	}
	minLevel, err := parseLogLevel(level)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "lavenderhub-dev-")
	if err != nil {
		return errors.Wrap(err, "create data folder of the fleet")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, stop := interruptContext()
	defer stop()
	fleet, err := runner.StartFleet(ctx, cfg, folder, logger.New(logOutput(), minLevel))
	if err != nil {
		return err
	}
	if err := printInstructions(out, fleet, folder); err != nil {
		fleet.Kill()
		return err
	}
	<-ctx.Done()
	stop()
	return fleet.Stop()
}

// printInstructions writes the operator token to a file in the folder, and prints the processes and keys of the fleet with
// example commands.
func printInstructions(out io.Writer, f *runner.Fleet, folder string) error {
	tokenFile := folder + "/operator-token"
	const ownerOnly = 0o600
	if err := os.WriteFile(tokenFile, []byte(f.OperatorToken+"\n"), ownerOnly); err != nil {
		return errors.Wrap(err, "write operator token")
	}
	for _, c := range f.Controls {
		fmt.Fprintf(out, "control  %-12s %s\n", c.Settings.GetName(), c.Settings.GetAddress())
	}
	for _, w := range f.Workers {
		fmt.Fprintf(out, "node     %-12s %s  service %s, %s\n",
			w.Settings.GetName(), w.CallerAddr(), w.Service, w.Settings.GetFailureDomain())
	}
	for _, k := range f.Keys {
		fmt.Fprintf(out, "account  %-12s key %s\n", k.Account, k.Key)
	}
	first := f.Workers[0]
	if len(f.Keys) > 0 {
		fmt.Fprintf(out, "\ncurl -i -H 'Authorization: Bearer %s' http://%s/%s/hello\n", f.Keys[0].Key, first.CallerAddr(), first.Service)
	}
	_, err := fmt.Fprintf(out, "lavenderhub admin account list --server %s --token-file %s\n\nInterrupt to stop.\n",
		f.Controls[0].Settings.GetAddress(), tokenFile)
	return err
}

// demoFleet returns the settings of a demonstration fleet: two services, one of which calls the other, and workers with
// different service times.
func demoFleet() *schema.FleetSettings {
	worker := func(domain string, slots uint32, serviceTime time.Duration) *schema.FleetWorker {
		return &schema.FleetWorker{FailureDomain: domain, Slots: slots, ServiceTime: durationpb.New(serviceTime)}
	}
	const (
		fast = 5 * time.Millisecond
		slow = 20 * time.Millisecond
	)
	return &schema.FleetSettings{
		ControlHosts: 3,
		Services: []*schema.FleetService{
			{
				Name: "dictionary", Calls: []string{"corpus"},
				Workers: []*schema.FleetWorker{worker("domain-1", 50, fast), worker("domain-2", 50, slow)},
			},
			{
				Name:    "corpus",
				Workers: []*schema.FleetWorker{worker("domain-3", 20, fast), worker("domain-4", 20, slow)},
			},
		},
		Accounts: []*schema.FleetAccount{
			{Id: "demo", Policy: &schema.Policy{Rate: proto.Float64(200), Burst: proto.Float64(400)}},
		},
	}
}
