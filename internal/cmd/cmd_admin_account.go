package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/lavenderhub/lavenderhub/internal/parser"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

var cmdAccount = command{
	name: "account", parent: "admin",
	short:   "Create client accounts and change their policies",
	example: "  lavenderhub admin account create school --group schools rate=50 burst=100 priority=8 --server … --token-file …",
}

var cmdAccountCreate = command{
	name: "create", parent: "admin account",
	short:   "Create a client account: create ID [name=value…]",
	example: "  lavenderhub admin account create school --group schools rate=50 burst=100 --server 127.0.0.1:9001 --token-file token",
	args:    cobra.MinimumNArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := addChangeFlags(c)
		group := c.Flags().String("group", "", "group that the account inherits from")
		return func(args []string) error {
			policy, err := parser.ParsePolicy(args[1:])
			if err != nil {
				return err
			}
			create := &schema.CreateAccount{Id: args[0], Group: *group, Policy: policy}
			return o.change(&schema.Command{Change: &schema.Command_CreateAccount{CreateAccount: create}}, formatResult)
		}
	},
}

var cmdAccountSet = command{
	name: "set", parent: "admin account",
	short:   "Change a client account's policy: set ID name=value…",
	example: "  lavenderhub admin account set school rate=80 burst=160 --if-version 1 --server 127.0.0.1:9001 --token-file token",
	args:    cobra.MinimumNArgs(2),
	setup: func(c *cobra.Command) func([]string) error {
		o := addChangeFlags(c)
		return func(args []string) error { return o.set(resolver.AccountPath(args[0]), args[1:]) }
	},
}

var cmdAccountShow = command{
	name: "show", parent: "admin account",
	short:   "Show a client account's policy and the branch that sets each value: show ID",
	example: "  lavenderhub admin account show school --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := addAdminFlags(c)
		return func(args []string) error { return o.get(resolver.AccountPath(args[0]), true) }
	},
}

var cmdAccountList = command{
	name: "list", parent: "admin account",
	short:   "List the client accounts with their effective policies",
	example: "  lavenderhub admin account list --server 127.0.0.1:9001 --token-file token",
	args:    cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		o := addAdminFlags(c)
		return func([]string) error {
			var reply *schema.ListAccountsReply
			err := o.read(func(ctx context.Context, a schema.Admin) (err error) {
				reply, err = a.ListAccounts(ctx, &schema.ListAccountsRequest{})
				return err
			})
			if err != nil {
				return err
			}
			var text strings.Builder
			for _, a := range reply.GetAccounts() {
				p := a.GetEffective()
				fmt.Fprintf(&text, "%s group=%s rate=%g burst=%g priority=%d\n",
					a.GetAccount().GetId(), a.GetAccount().GetGroup(), p.GetRate(), p.GetBurst(), p.GetPriority())
			}
			return o.print(reply, text.String())
		}
	},
}

// formatResult returns the text output of a successful change.
func formatResult(r *schema.Result) string {
	if b := r.GetBranch(); b != nil {
		return formatBranch(b)
	}
	return fmt.Sprintf("done at revision %d\n", r.GetRevision())
}

func formatBranch(b *schema.Branch) string {
	return fmt.Sprintf("%s version %d: %s\n", b.GetPath(), b.GetVersion(), strings.Join(parser.FormatPolicy(b.GetPolicy()), " "))
}
