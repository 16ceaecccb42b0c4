package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/lavenderhub/lavenderhub/schema"
)

var cmdDomain = command{
	name: "domain", parent: "admin",
	short:   "Evacuate failure domains",
	example: "  lavenderhub admin domain evacuate rack-1 --server 127.0.0.1:9001 --token-file token",
}

var cmdDomainEvacuate = command{
	name: "evacuate", parent: "admin domain",
	short:   "Send nothing more to the upstreams of a failure domain: evacuate NAME",
	example: "  lavenderhub admin domain evacuate rack-1 --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := addChangeFlags(c)
		return func(args []string) error { return o.evacuate(args[0], false) }
	},
}

var cmdDomainRestore = command{
	name: "restore", parent: "admin domain",
	short:   "Use the upstreams of an evacuated failure domain again: restore NAME",
	example: "  lavenderhub admin domain restore rack-1 --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := addChangeFlags(c)
		return func(args []string) error { return o.evacuate(args[0], true) }
	},
}

// evacuate begins or ends the evacuation of a failure domain.
func (o *adminOptions) evacuate(name string, restore bool) error {
	cmd := &schema.Command{Change: &schema.Command_EvacuateDomain{
		EvacuateDomain: &schema.EvacuateDomain{Name: name, Restore: restore},
	}}
	return o.change(cmd, func(*schema.Result) string {
		return formatDomain(&schema.FailureDomain{Name: name, Evacuated: !restore})
	})
}

func formatDomain(d *schema.FailureDomain) string {
	if d.GetEvacuated() {
		return d.GetName() + " evacuated\n"
	}
	return d.GetName() + " in use\n"
}

var cmdDomainList = command{
	name: "list", parent: "admin domain",
	short:   "List the known failure domains",
	example: "  lavenderhub admin domain list --server 127.0.0.1:9001 --token-file token",
	args:    cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		o := addAdminFlags(c)
		return func([]string) error { return o.listDomains() }
	},
}

func (o *adminOptions) listDomains() error {
	var reply *schema.ListDomainsReply
	err := o.read(func(ctx context.Context, c schema.Admin) (err error) {
		reply, err = c.ListDomains(ctx, &schema.ListDomainsRequest{})
		return err
	})
	if err != nil {
		return err
	}
	var text strings.Builder
	for _, d := range reply.GetDomains() {
		fmt.Fprint(&text, formatDomain(d))
	}
	return o.print(reply, text.String())
}
