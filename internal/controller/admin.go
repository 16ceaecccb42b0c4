package controller

import (
	"context"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// Change applies an operator's command. It implements the Admin service.
func (c *Controller) Change(ctx context.Context, cmd *schema.Command) (*schema.Result, error) {
	switch ch := cmd.GetChange().(type) {
	case *schema.Command_ChangeReplica:
		return c.changeReplica(ctx, ch.ChangeReplica), nil
	case *schema.Command_Claims, *schema.Command_NoteDomains, nil:
		return &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_INVALID, Message: "not a command for operators"}, nil
	default:
		return c.proposeAndWait(ctx, cmd), nil
	}
}

func (c *Controller) changeReplica(ctx context.Context, ch *schema.ChangeReplica) *schema.Result {
	result := &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_OK}
	err := c.do(ctx, func(now time.Time) {
		if !c.core.IsLeading(now) {
			result = c.notLeader()
			return
		}
		if err := c.core.ChangeReplica(ch, now); err != nil {
			result = &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_INVALID, Message: err.Error()}
		}
	})
	if err != nil {
		return unknownResult()
	}
	return result
}

// readAsLeader runs f on the control goroutine if this replica leads with a confirmed quorum, and returns an error
// otherwise.
func (c *Controller) readAsLeader(ctx context.Context, f func(now time.Time)) error {
	leads := false
	var refusal *schema.Result
	err := c.do(ctx, func(now time.Time) {
		if leads = c.core.IsLeading(now); leads {
			f(now)
			return
		}
		refusal = c.notLeader()
	})
	if err != nil {
		return err
	}
	if !leads {
		return NotLeaderError(refusal.GetLeaderAddress())
	}
	return nil
}

// ListAccounts returns all client accounts with their effective policies. It implements the Admin service.
func (c *Controller) ListAccounts(ctx context.Context, _ *schema.ListAccountsRequest) (*schema.ListAccountsReply, error) {
	reply := &schema.ListAccountsReply{}
	err := c.readAsLeader(ctx, func(time.Time) {
		for _, a := range c.machine.Accounts() {
			reply.Accounts = append(reply.Accounts, &schema.AccountView{
				Account: a, Effective: c.machine.Effective(resolver.AccountPath(a.GetId())).Policy,
			})
		}
	})
	return reply, err
}

// ListKeys returns keys without their digests. It implements the Admin service.
func (c *Controller) ListKeys(ctx context.Context, req *schema.ListKeysRequest) (*schema.ListKeysReply, error) {
	reply := &schema.ListKeysReply{}
	err := c.readAsLeader(ctx, func(time.Time) {
		for _, k := range c.machine.Keys(req.GetAccount()) {
			reply.Keys = append(reply.Keys, &schema.Key{
				Id: k.GetId(), Account: k.GetAccount(), Withdrawn: k.GetWithdrawn(), Revision: k.GetRevision(),
			})
		}
	})
	return reply, err
}

// GetBranch returns a branch of the settings tree, the effective policy there and the origin of each value. It implements
// the Admin service.
func (c *Controller) GetBranch(ctx context.Context, req *schema.GetBranchRequest) (*schema.GetBranchReply, error) {
	if err := resolver.CheckPath(req.GetPath()); err != nil {
		return nil, invalidError(err)
	}
	reply := &schema.GetBranchReply{}
	err := c.readAsLeader(ctx, func(time.Time) {
		b := c.machine.Branch(req.GetPath())
		e := c.machine.Effective(req.GetPath())
		reply.Found = b != nil && !b.GetRemoved()
		reply.Branch, reply.Effective, reply.Origins = b, e.Policy, e.Origins
	})
	return reply, err
}

// GetConfiguration returns the newest full configuration. Only a leader that recently heard from its quorum returns one. It
// implements the Admin service.
func (c *Controller) GetConfiguration(ctx context.Context, _ *schema.GetConfigurationRequest) (*schema.GetConfigurationReply, error) {
	reply := &schema.GetConfigurationReply{}
	err := c.readAsLeader(ctx, func(time.Time) { reply.Version, reply.Document = c.machine.Configuration() })
	return reply, err
}

// Status returns the state of this replica, and on the leader the list of nodes. It implements the Admin service.
func (c *Controller) Status(ctx context.Context, _ *schema.StatusRequest) (*schema.StatusReply, error) {
	var reply *schema.StatusReply
	err := c.do(ctx, func(now time.Time) {
		s := c.core.Status()
		reply = &schema.StatusReply{
			Name: c.cfg.GetName(), Id: s.ID, Leader: c.core.IsLeading(now), LeaderAddress: c.leaderAddress(), Term: s.Term,
			CommitIndex: s.Commit, AppliedIndex: s.Applied, Replicas: s.Replicas,
		}
		if c.leading == nil {
			return
		}
		reply.Nodes = uint32(len(c.leading.nodes))
		for name, n := range c.leading.nodes {
			reply.NodeList = append(reply.NodeList, &schema.NodeInfo{Name: name, AdminAddress: n.adminAddress, Revision: n.revision})
		}
	})
	return reply, err
}
