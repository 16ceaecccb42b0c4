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
	short:   "Measure the system on a fleet in this process: experiment NAME, with NAME one of " + experimentNames(),
	example: "  lavenderhub experiment overload --seed 1",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		var o experimenter.Options
		c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the load")
		c.Flags().BoolVar(&o.Short, "quick", false, "take a tenth of the time; the figures are no measurement")
		c.Flags().BoolVar(&o.First, "first", false, "leave out the baselines")
		output := c.Flags().String("output", "text", "form of the figures: text (a table in Markdown) or json")
		level := c.Flags().String("log-level", "error", "least level of the events to log: debug, info, warn or error")
		return func(args []string) error {
			least, err := logLevel(*level)
			if err != nil {
				return err
			}
			ctx, stop := untilInterrupted()
			defer stop()
			rows, err := experimenter.Run(ctx, args[0], o, logger.New(logTarget(), least))
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
