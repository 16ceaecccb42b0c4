package cmd

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/lavenderhub/lavenderhub/internal/experimenter"
	"github.com/lavenderhub/lavenderhub/internal/logger"
)

var cmdExperiment = command{
	name:    "experiment",
	short:   "Run a measurement on a fleet in this process: experiment NAME, where NAME is one of " + experimentNames(),
	example: "  lavenderhub experiment overload --seed 1",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		var o experimenter.Options
		c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the random load")
		c.Flags().BoolVar(&o.Quick, "quick", false, "run for a tenth of the time; the figures are not valid measurements")
		c.Flags().BoolVar(&o.SkipBaselines, "first", false, "skip the baselines")
		output := c.Flags().String("output", "text", "output format: text (a Markdown table) or json")
		level := c.Flags().String("log-level", "error", "minimum level of logged events: debug, info, warn or error")
		return func(args []string) error {
			minLevel, err := parseLogLevel(*level)
			if err != nil {
				return err
			}
			ctx, stop := interruptContext()
			defer stop()
			rows, err := experimenter.Run(ctx, args[0], o, logger.New(logOutput(), minLevel))
			if err != nil {
				return err
			}
			switch *output {
			case "json":
				return json.NewEncoder(c.OutOrStdout()).Encode(rows)
			case "text":
				return experimenter.WriteTable(c.OutOrStdout(), rows)
			default:
				return errors.Errorf("bad output %q, want text or json", *output)
			}
		}
	},
}

func experimentNames() string {
	names := make([]string, len(experimenter.All))
	for i, x := range experimenter.All {
		names[i] = x.Name
	}
	return strings.Join(names, ", ")
}
