package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/lavenderhub/lavenderhub/internal/parser"
	"github.com/lavenderhub/lavenderhub/schema"
)

var cmdSettings = command{
	name: "settings", parent: "admin",
	short:   "Read and change the settings tree",
	example: "  lavenderhub admin settings set service/dictionary/route/editorial importance=6 idempotent=false --server … --token-file …",
}

var cmdSettingsGet = command{
	name: "get", parent: "admin settings",
	short:   "Show a branch: get PATH",
	example: "  lavenderhub admin settings get service/dictionary --effective --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := adminFlags(c)
		effective := c.Flags().Bool("effective", false, "show the values in force and the branch that each comes from")
		return func(args []string) error { return o.get(args[0], *effective) }
	},
}

var cmdSettingsSet = command{
	name: "set", parent: "admin settings",
	short:   "Set values of a branch: set PATH name=value…",
	example: "  lavenderhub admin settings set root timeout=5s --server 127.0.0.1:9001 --token-file token",
	args:    cobra.MinimumNArgs(2),
	setup: func(c *cobra.Command) func([]string) error {
		o := changeFlags(c)
		return func(args []string) error { return o.set(args[0], args[1:]) }
	},
}

var cmdSettingsUnset = command{
	name: "unset", parent: "admin settings",
	short:   "Remove values of a branch, or the whole branch: unset PATH [name…]",
	example: "  lavenderhub admin settings unset group/schools priority --server 127.0.0.1:9001 --token-file token",
	args:    cobra.MinimumNArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := changeFlags(c)
		return func(args []string) error {
			unset := &schema.UnsetBranch{Path: args[0], Fields: args[1:]}
			return o.change(&schema.Command{Change: &schema.Command_UnsetBranch{UnsetBranch: unset}}, resultText)
		}
	},
}

func (o *adminOptions) set(path string, values []string) error {
	policy, err := parser.ParsePolicy(values)
	if err != nil {
		return err
	}
	set := &schema.SetBranch{Path: path, Policy: policy}
	return o.change(&schema.Command{Change: &schema.Command_SetBranch{SetBranch: set}}, resultText)
}

func (o *adminOptions) get(path string, effective bool) error {
	var reply *schema.GetBranchReply
	err := o.read(func(ctx context.Context, a schema.Admin) (err error) {
		reply, err = a.GetBranch(ctx, &schema.GetBranchRequest{Path: path})
		return err
	})
	if err != nil {
		return err
	}
	var text strings.Builder
	if reply.GetFound() {
		text.WriteString(branchText(reply.GetBranch()))
	} else {
		fmt.Fprintf(&text, "%s sets nothing\n", path)
	}
	if effective {
		text.WriteString(effectiveText(reply))
	}
	return o.print(reply, text.String())
}

// effectiveText lists the values in force, each with the branch that sets it.
func effectiveText(reply *schema.GetBranchReply) string {
	from := map[string]string{}
	for _, origin := range reply.GetOrigins() {
		from[origin.GetField()] = origin.GetPath()
	}
	var text strings.Builder
	for _, value := range parser.FormatPolicy(reply.GetEffective()) {
		name, _, _ := strings.Cut(value, "=")
		fmt.Fprintf(&text, "  %-28s from %s\n", value, from[name])
	}
	return text.String()
}
