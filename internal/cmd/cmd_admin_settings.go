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
		o := addAdminFlags(c)
		effective := c.Flags().Bool("effective", false, "also show the effective values and the branch that sets each of them")
		return func(args []string) error { return o.get(args[0], *effective) }
	},
}

var cmdSettingsSet = command{
	name: "set", parent: "admin settings",
	short:   "Set values in a branch: set PATH name=value…",
	example: "  lavenderhub admin settings set root timeout=5s --server 127.0.0.1:9001 --token-file token",
	args:    cobra.MinimumNArgs(2),
	setup: func(c *cobra.Command) func([]string) error {
		o := addChangeFlags(c)
		return func(args []string) error { return o.set(args[0], args[1:]) }
	},
}

var cmdSettingsUnset = command{
	name: "unset", parent: "admin settings",
	short:   "Remove values from a branch, or the entire branch: unset PATH [name…]",
	example: "  lavenderhub admin settings unset group/schools priority --server 127.0.0.1:9001 --token-file token",
	args:    cobra.MinimumNArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := addChangeFlags(c)
		return func(args []string) error {
			unset := &schema.UnsetBranch{Path: args[0], Fields: args[1:]}
			return o.change(&schema.Command{Change: &schema.Command_UnsetBranch{UnsetBranch: unset}}, formatResult)
		}
	},
}

func (o *adminOptions) set(path string, values []string) error {
	policy, err := parser.ParsePolicy(values)
	if err != nil {
		return err
	}
	set := &schema.SetBranch{Path: path, Policy: policy}
	return o.change(&schema.Command{Change: &schema.Command_SetBranch{SetBranch: set}}, formatResult)
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
		text.WriteString(formatBranch(reply.GetBranch()))
	} else {
		fmt.Fprintf(&text, "%s sets nothing\n", path)
	}
	if effective {
		text.WriteString(formatEffective(reply))
	}
	return o.print(reply, text.String())
}

// formatEffective returns a line for each effective value, with the path of the branch that sets it.
func formatEffective(reply *schema.GetBranchReply) string {
	pathByField := map[string]string{}
	for _, origin := range reply.GetOrigins() {
		pathByField[origin.GetField()] = origin.GetPath()
	}
	var text strings.Builder
	for _, value := range parser.FormatPolicy(reply.GetEffective()) {
		name, _, _ := strings.Cut(value, "=")
		fmt.Fprintf(&text, "  %-28s from %s\n", value, pathByField[name])
	}
	return text.String()
}
