package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/lavenderhub/lavenderhub/internal/parser"
)

var cmdCheck = command{
	name:    "check",
	short:   "Check a settings file",
	example: "  lavenderhub check --config node.jsonc",
	args:    cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		file := addConfigFlag(c)
		return func([]string) error {
			if _, err := parser.ParseFile(*file); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s: ok\n", *file)
			return err
		}
	},
}

// addConfigFlag adds the required flag for the settings file.
func addConfigFlag(c *cobra.Command) *string {
	file := c.Flags().String("config", "", "settings file")
	_ = c.MarkFlagRequired("config")
	return file
}
