package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/schema"
)

var cmdKey = command{
	name: "key", parent: "admin",
	short:   "Issue and withdraw keys",
	example: "  lavenderhub admin key issue school --server 127.0.0.1:9001 --token-file token",
}

var cmdKeyIssue = command{
	name: "issue", parent: "admin key",
	short:   "Issue a key to a client account and show it once: issue ACCOUNT",
	example: "  lavenderhub admin key issue school --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := addChangeFlags(c)
		return func(args []string) error { return o.issue(args[0]) }
	},
}

// issuedKey is the second line of the JSON output of admin key issue.
type issuedKey struct {
	Key string `json:"key"`
}

// issue generates a key locally and sends only its digest to the control hosts.
func (o *adminOptions) issue(account string) error {
	key, id := authenticator.NewKey()
	digest := authenticator.KeyDigest(key)
	cmd := &schema.Command{Change: &schema.Command_IssueKey{
		IssueKey: &schema.IssueKey{Account: account, KeyId: id, Digest: digest[:]},
	}}
	err := o.change(cmd, func(r *schema.Result) string {
		return fmt.Sprintf("key %s of %s, shown only now:\n%s\n", r.GetKey().GetId(), account, key)
	})
	if err != nil || o.output == "text" {
		return err
	}
	return json.NewEncoder(o.out).Encode(issuedKey{Key: key})
}

var cmdKeyWithdraw = command{
	name: "withdraw", parent: "admin key",
	short:   "Withdraw a key; it stops working within 3 s: withdraw KEY-ID",
	example: "  lavenderhub admin key withdraw k-0123456789ab --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := addChangeFlags(c)
		return func(args []string) error {
			withdraw := &schema.WithdrawKey{KeyId: args[0]}
			return o.change(&schema.Command{Change: &schema.Command_WithdrawKey{WithdrawKey: withdraw}}, func(r *schema.Result) string {
				return fmt.Sprintf("key %s of %s is withdrawn\n", r.GetKey().GetId(), r.GetKey().GetAccount())
			})
		}
	},
}

var cmdKeyList = command{
	name: "list", parent: "admin key",
	short:   "List the ids of all keys, or of the keys of one client account: list [ACCOUNT]",
	example: "  lavenderhub admin key list school --server 127.0.0.1:9001 --token-file token",
	args:    cobra.MaximumNArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := addAdminFlags(c)
		return func(args []string) error { return o.listKeys(strings.Join(args, "")) }
	},
}

func (o *adminOptions) listKeys(account string) error {
	var reply *schema.ListKeysReply
	err := o.read(func(ctx context.Context, a schema.Admin) (err error) {
		reply, err = a.ListKeys(ctx, &schema.ListKeysRequest{Account: account})
		return err
	})
	if err != nil {
		return err
	}
	var text strings.Builder
	for _, k := range reply.GetKeys() {
		state := "works"
		if k.GetWithdrawn() {
			state = "withdrawn"
		}
		fmt.Fprintf(&text, "%s account=%s %s\n", k.GetId(), k.GetAccount(), state)
	}
	return o.print(reply, text.String())
}
