package controller

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/applier"
	"github.com/lavenderhub/lavenderhub/schema"
)

// unnotedDomains returns the failure domains of nodes and of this host that are not in the replicated state. They are recorded
// there, so that a domain can be evacuated when none of its hosts responds, and after a restart of all control hosts.
func (c *Controller) unnotedDomains() []string {
	var out []string
	add := func(name string) {
		if c.machine.CanNoteDomain(name) && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	add(c.cfg.GetFailureDomain())
	for _, n := range c.leading.nodes {
		add(n.domain)
	}
	slices.Sort(out)
	return out
}

// reconcileDomains proposes to record the failure domains that the replicated state lacks.
func (c *Controller) reconcileDomains(now time.Time) {
	names := c.unnotedDomains()
	if len(names) == 0 || c.leading.domainsPending {
		return
	}
	l := c.leading
	cmd := &schema.Command{Change: &schema.Command_NoteDomains{NoteDomains: &schema.NoteDomains{Names: names}}}
	l.domainsPending = c.propose(cmd, now, func(applier.Outcome, bool) { l.domainsPending = false })
	c.log.Info("domainsNoted", zap.Strings("names", names))
}

// prepareEvacuation makes the state ready for a command that names a failure domain, and returns the result that refuses the
// command for now, or nil. A domain that is known from nodes only is recorded first. A new leader does not yet know which nodes
// there are.
func (c *Controller) prepareEvacuation(cmd *schema.Command, now time.Time) *schema.Result {
	e := cmd.GetEvacuateDomain()
	if e == nil || c.leading == nil || c.machine.HasDomain(e.GetName()) {
		return nil
	}
	if slices.Contains(c.unnotedDomains(), e.GetName()) {
		// The entries are applied in their order.
		note := &schema.Command{Change: &schema.Command_NoteDomains{NoteDomains: &schema.NoteDomains{Names: []string{e.GetName()}}}}
		c.propose(note, now, func(applier.Outcome, bool) {})
		return nil
	}
	if c.leading.isMembershipComplete(now) {
		return nil
	}
	return &schema.Result{
		Status:  schema.ResultStatus_RESULT_STATUS_NOT_LEADER,
		Message: "the nodes' failure domains are not known yet; try again",
	}
}

// ListDomains returns the known failure domains. It implements the Admin service.
func (c *Controller) ListDomains(ctx context.Context, _ *schema.ListDomainsRequest) (*schema.ListDomainsReply, error) {
	reply := &schema.ListDomainsReply{}
	err := c.readAsLeader(ctx, func(time.Time) { reply.Domains = c.machine.Domains() })
	return reply, err
}
