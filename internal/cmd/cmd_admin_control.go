package cmd

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/lavenderhub/lavenderhub/schema"
)

var cmdControl = command{
	name: "control", parent: "admin",
	short:   "Look after the control hosts",
	example: "  lavenderhub admin control status --server 127.0.0.1:9001 --token-file token",
}

var cmdControlStatus = command{
	name: "status", parent: "admin control",
	short:   "Show the control host that is asked, and the replicas that it knows",
	example: "  lavenderhub admin control status --server 127.0.0.1:9001 --token-file token",
	args:    cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		o := adminFlags(c)
		return func([]string) error { return o.status() }
	},
}

func (o *adminOptions) status() error {
	op, err := o.connect("text", "json")
	if err != nil {
		return err
	}
	client := op.Client(o.addresses[0])
	ctx, cancel := adminContext()
	defer cancel()
	reply, err := client.Status(ctx, &schema.StatusRequest{})
	if err != nil {
		return errors.Wrapf(err, "ask %s", o.servers[0])
	}
	return o.print(reply, statusText(reply))
}

func statusText(s *schema.StatusReply) string {
	var text strings.Builder
	role := "follows"
	if s.GetLeader() {
		role = "leads"
	}
	fmt.Fprintf(&text, "%s %s leader=%s term=%d committed=%d applied=%d nodes=%d\n",
		s.GetName(), role, s.GetLeaderAddress(), s.GetTerm(), s.GetCommitIndex(), s.GetAppliedIndex(), s.GetNodes())
	for _, r := range s.GetReplicas() {
		kind := "voter"
		if r.GetLearner() {
			kind = "learner"
		}
		fmt.Fprintf(&text, "  %s id=%d %s %s matches=%d\n", r.GetName(), r.GetId(), r.GetAddress(), kind, r.GetMatchIndex())
	}
	for _, n := range s.GetNodeList() {
		fmt.Fprintf(&text, "  node %s revision=%d\n", n.GetName(), n.GetRevision())
	}
	return text.String()
}

var cmdControlRemove = command{
	name: "remove", parent: "admin control",
	short:   "Remove a control host that will not come back: remove ID",
	example: "  lavenderhub admin control remove 1234567890 --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := changeFlags(c)
		return func(args []string) error { return o.changeReplica(schema.ChangeReplica_KIND_REMOVE, args[0]) }
	},
}

var cmdControlTransfer = command{
	name: "transfer", parent: "admin control",
	short:   "Hand leadership to another control host: transfer ID",
	example: "  lavenderhub admin control transfer 1234567890 --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := changeFlags(c)
		return func(args []string) error { return o.changeReplica(schema.ChangeReplica_KIND_TRANSFER, args[0]) }
	},
}

func (o *adminOptions) changeReplica(kind schema.ChangeReplica_Kind, text string) error {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return errors.Errorf("bad replica id %q, want a number as control status shows it", text)
	}
	change := &schema.ChangeReplica{Kind: kind, Id: id}
	return o.change(&schema.Command{Change: &schema.Command_ChangeReplica{ChangeReplica: change}}, func(*schema.Result) string {
		return "accepted; see control status\n"
	})
}
