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
	short:   "Create client accounts and renew their terms",
	example: "  lavenderhub admin account create school --group schools rate=50 burst=100 priority=8 --server … --token-file …",
}

var cmdAccountCreate = command{
	name: "create", parent: "admin account",
	short:   "Create a client account: create ID [name=value…]",
	example: "  lavenderhub admin account create school --group schools rate=50 burst=100 --server 127.0.0.1:9001 --token-file token",
	args:    cobra.MinimumNArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := changeFlags(c)
		group := c.Flags().String("group", "", "group that the account inherits from")
		return func(args []string) error {
			policy, err := parser.ParsePolicy(args[1:])
			if err != nil {
				return err
			}
			create := &schema.CreateAccount{Id: args[0], Group: *group, Policy: policy}
			return o.change(&schema.Command{Change: &schema.Command_CreateAccount{CreateAccount: create}}, resultText)
		}
	},
}

var cmdAccountSet = command{
	name: "set", parent: "admin account",
	short:   "Renew a client account's terms: set ID name=value…",
	example: "  lavenderhub admin account set school rate=80 burst=160 --if-version 1 --server 127.0.0.1:9001 --token-file token",
	args:    cobra.MinimumNArgs(2),
	setup: func(c *cobra.Command) func([]string) error {
		o := changeFlags(c)
		return func(args []string) error { return o.set(resolver.AccountPath(args[0]), args[1:]) }
	},
}

var cmdAccountShow = command{
	name: "show", parent: "admin account",
	short:   "Show a client account's terms and where each comes from: show ID",
	example: "  lavenderhub admin account show school --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := adminFlags(c)
		return func(args []string) error { return o.get(resolver.AccountPath(args[0]), true) }
	},
}

var cmdAccountList = command{
	name: "list", parent: "admin account",
	short:   "List the client accounts with their terms in force",
	example: "  lavenderhub admin account list --server 127.0.0.1:9001 --token-file token",
	args:    cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		o := adminFlags(c)
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

// resultText says what a change made.
func resultText(r *schema.Result) string {
	if b := r.GetBranch(); b != nil {
		return branchText(b)
	}
	return fmt.Sprintf("done at revision %d\n", r.GetRevision())
}

func branchText(b *schema.Branch) string {
	return fmt.Sprintf("%s version %d: %s\n", b.GetPath(), b.GetVersion(), strings.Join(parser.FormatPolicy(b.GetPolicy()), " "))
}
