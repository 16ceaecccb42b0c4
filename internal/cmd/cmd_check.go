package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/lavenderhub/lavenderhub/internal/checker"
	"github.com/lavenderhub/lavenderhub/internal/parser"
	"github.com/lavenderhub/lavenderhub/platform"
	"github.com/lavenderhub/lavenderhub/schema"
)

var cmdCheck = command{
	name:  "check",
	short: "Check a settings file, or a full configuration before it is sent",
	example: "  lavenderhub check --config node.jsonc\n" +
		"  lavenderhub check --configuration next.json --against current.json\n" +
		"  lavenderhub check --configuration next.json --server 127.0.0.1:9001 --token-file operator-token",
	args: cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		o := &checkOptions{admin: adminOptions{cobraCmd: c, output: "text"}}
		c.Flags().StringVar(&o.settings, "config", "", "settings file")
		c.Flags().StringVar(&o.file, "configuration", "", "file with a full configuration, as it is sent to a control host")
		c.Flags().StringVar(&o.against, "against", "", "file with the full configuration to compare with")
		c.Flags().StringArrayVar(&o.admin.servers, "server", nil, "control host, to compare with the version in force; may be repeated")
		c.Flags().StringVar(&o.admin.tokenFile, "token-file", "", "file that contains the operator token")
		c.Flags().StringVar(&o.admin.authority, "authority-file", "", "file with the fleet's CA certificates; if set, connections use TLS")
		c.MarkFlagsOneRequired("config", "configuration")
		c.MarkFlagsMutuallyExclusive("config", "configuration")
		c.MarkFlagsMutuallyExclusive("config", "against")
		c.MarkFlagsMutuallyExclusive("config", "server")
		c.MarkFlagsMutuallyExclusive("against", "server")
		c.MarkFlagsRequiredTogether("server", "token-file")
		return func([]string) error { return o.run() }
	},
}

// checkOptions holds the flags of the check command.
type checkOptions struct {
	settings string
	file     string
	against  string
	admin    adminOptions
}

func (o *checkOptions) run() error {
	if o.settings != "" {
		if _, err := parser.ParseFile(o.settings); err != nil {
			return err
		}
		return o.print(o.settings + ": ok")
	}
	next, err := readConfigurationFile(o.file)
	if err != nil {
		return err
	}
	findings := checker.Check(next.GetConfiguration())
	current, err := o.current()
	if err != nil {
		return err
	}
	if current != nil {
		findings = append(findings, checker.CheckBase(next, current.GetVersion())...)
	}
	refused := false
	for _, f := range findings {
		refused = refused || f.Severity == checker.Error
		if err := o.print(fmt.Sprintf("%s: %s", o.file, f)); err != nil {
			return err
		}
	}
	if current != nil {
		for _, line := range checker.Compare(current, next.GetConfiguration()) {
			if err := o.print("change: " + line); err != nil {
				return err
			}
		}
	}
	if refused {
		return errors.Errorf("%s: the control hosts would refuse it", o.file)
	}
	return o.print(o.file + ": ok")
}

// current returns the configuration to compare with, or nil if none was asked for.
func (o *checkOptions) current() (*schema.Configuration, error) {
	if o.against != "" {
		c, err := readConfigurationFile(o.against)
		return c.GetConfiguration(), err
	}
	if len(o.admin.servers) == 0 {
		return nil, nil //nolint:nilnil // The documented result if there is nothing to compare with.
	}
	var reply *schema.GetConfigurationReply
	err := o.admin.read(func(ctx context.Context, a schema.Admin) (err error) {
		reply, err = a.GetConfiguration(ctx, &schema.GetConfigurationRequest{})
		return err
	})
	if err != nil {
		return nil, err
	}
	if reply.GetVersion() == 0 {
		return &schema.Configuration{}, nil
	}
	c, err := platform.ReadConfiguration(reply.GetDocument())
	return c.GetConfiguration(), errors.Wrap(err, "configuration in force")
}

func (o *checkOptions) print(line string) error {
	_, err := fmt.Fprintln(o.admin.cobraCmd.OutOrStdout(), line)
	return err
}

func readConfigurationFile(file string) (*schema.ReplaceConfiguration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration")
	}
	c, err := platform.ReadConfiguration(data)
	return c, errors.Wrap(err, file)
}

// addConfigFlag adds the required flag for the settings file.
func addConfigFlag(c *cobra.Command) *string {
	file := c.Flags().String("config", "", "settings file")
	_ = c.MarkFlagRequired("config")
	return file
}
