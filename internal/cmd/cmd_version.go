package cmd

import (
	"fmt"

	"github.com/spf13/cobra"
)

var cmdVersion = command{
	name:    "version",
	short:   "Print the version",
	example: "  lavenderhub version",
	args:    cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		return func([]string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "lavenderhub", Version)
			return err
		}
	},
}
