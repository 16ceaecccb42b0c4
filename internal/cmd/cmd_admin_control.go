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
	short:   "Inspect and manage the control hosts",
	example: "  lavenderhub admin control status --server 127.0.0.1:9001 --token-file token",
}

var cmdControlStatus = command{
	name: "status", parent: "admin control",
	short:   "Show the state of the first control host given and the replicas that it knows",
	example: "  lavenderhub admin control status --server 127.0.0.1:9001 --token-file token",
	args:    cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		o := addAdminFlags(c)
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
		return errors.Wrapf(err, "request status from %s", o.servers[0])
	}
	return o.print(reply, formatStatus(reply))
}

func formatStatus(s *schema.StatusReply) string {
	var text strings.Builder
	role := "follows"
	if s.GetLeader() {
		role = "leads"
	}
	fmt.Fprintf(&text, "%s %s leader=%s term=%d committed=%d applied=%d nodes=%d\n",
		s.GetName(), role, s.GetLeaderAddress(), s.GetTerm(), s.GetCommitIndex(), s.GetAppliedIndex(), s.GetNodes())
	for _, r := range s.GetReplicas() {
		membership := "voter"
		if r.GetLearner() {
			membership = "learner"
		}
		fmt.Fprintf(&text, "  %s id=%d %s %s matches=%d\n", r.GetName(), r.GetId(), r.GetAddress(), membership, r.GetMatchIndex())
	}
	for _, n := range s.GetNodeList() {
		fmt.Fprintf(&text, "  node %s revision=%d\n", n.GetName(), n.GetRevision())
	}
	return text.String()
}

var cmdControlRemove = command{
	name: "remove", parent: "admin control",
	short:   "Remove a control host that won't return: remove ID",
	example: "  lavenderhub admin control remove 1234567890 --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := addChangeFlags(c)
		return func(args []string) error { return o.changeReplica(schema.ChangeReplica_KIND_REMOVE, args[0]) }
	},
}

var cmdControlTransfer = command{
	name: "transfer", parent: "admin control",
	short:   "Transfer leadership to another control host: transfer ID",
	example: "  lavenderhub admin control transfer 1234567890 --server 127.0.0.1:9001 --token-file token",
	args:    cobra.ExactArgs(1),
	setup: func(c *cobra.Command) func([]string) error {
		o := addChangeFlags(c)
		return func(args []string) error { return o.changeReplica(schema.ChangeReplica_KIND_TRANSFER, args[0]) }
	},
}

func (o *adminOptions) changeReplica(kind schema.ChangeReplica_Kind, replicaID string) error {
	id, err := strconv.ParseUint(replicaID, 10, 64)
	if err != nil {
		return errors.Errorf("bad replica id %q, want a number as shown by control status", replicaID)
	}
	change := &schema.ChangeReplica{Kind: kind, Id: id}
	return o.change(&schema.Command{Change: &schema.Command_ChangeReplica{ChangeReplica: change}}, func(*schema.Result) string {
		return "accepted; see control status\n"
	})
}
