package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/internal/applier"
	"github.com/lavenderhub/lavenderhub/schema"
)

// proposal is a command that is waiting to be committed.
type proposal struct {
	term uint64
	done func(out applier.Outcome, ok bool)
}

// propose appends a command to the log. It returns false if this replica does not lead or is transferring leadership.
// Otherwise done is called once, with ok false if the outcome is unknown.
func (c *Controller) propose(cmd *schema.Command, now time.Time, done func(applier.Outcome, bool)) bool {
	cmd.TimeMillis = now.UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(errors.Wrap(err, "marshal command"))
	}
	index, ok := c.core.Propose(data, now)
	if !ok {
		return false
	}
	c.pending[index] = proposal{term: c.core.Status().Term, done: done}
	return true
}

// completeProposal passes the outcome of a committed entry to the proposal at its index, if any. If the entry is
// of another term than the proposal, the outcome is reported as unknown.
func (c *Controller) completeProposal(e *schema.LogEntry, out applier.Outcome) {
	p, ok := c.pending[e.GetIndex()]
	if !ok {
		return
	}
	delete(c.pending, e.GetIndex())
	p.done(out, p.term == e.GetTerm())
}

// failPending completes all pending proposals and claims with an unknown outcome.
func (c *Controller) failPending() {
	for index, p := range c.pending {
		delete(c.pending, index)
		p.done(applier.Outcome{}, false)
	}
	c.claims.fail()
}

// proposeAndWait proposes one command and waits for its result.
func (c *Controller) proposeAndWait(ctx context.Context, cmd *schema.Command) *schema.Result {
	result := make(chan *schema.Result, 1)
	err := c.do(ctx, func(now time.Time) {
		if refusal := c.changeRefusal(now); refusal != nil {
			result <- refusal
			return
		}
		if refusal := c.prepareEvacuation(cmd, now); refusal != nil {
			result <- refusal
			return
		}
		done := func(out applier.Outcome, ok bool) {
			if !ok {
				out.Result = unknownResult()
			}
			result <- out.Result
		}
		if !c.propose(cmd, now, done) {
			result <- c.notLeader()
		}
		c.meter.commands.Inc(1)
	})
	if err != nil {
		return unknownResult()
	}
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return unknownResult()
	}
}

// changeRefusal returns the result that refuses a command if this replica can't propose any now, or nil.
func (c *Controller) changeRefusal(now time.Time) *schema.Result {
	if !c.core.IsLeading(now) {
		return c.notLeader()
	}
	if c.isIncomplete(now) {
		return &schema.Result{
			Status:  schema.ResultStatus_RESULT_STATUS_NOT_LEADER,
			Message: "too few control hosts have joined to bear the loss of one; try again",
		}
	}
	return nil
}

// isIncomplete reports whether changes must wait for further voters. Fewer than a majority of the wanted voters accept none. A new
// leader also waits for all of them, for a limited time: with fewer, a change may rest on every single disk.
func (c *Controller) isIncomplete(now time.Time) bool {
	voters := 0
	for _, r := range c.core.Replicas() {
		if !r.GetLearner() {
			voters++
		}
	}
	wanted, majority := c.wantedVoters(), int(c.cfg.GetToleratedLosses())+1
	if wanted == 0 {
		if c.cfg.GetJoin() {
			return false
		}
		wanted = len(c.cfg.GetPeers())
		majority = wanted/2 + 1
	}
	return voters < majority || voters < wanted && (c.leading == nil || now.Sub(c.leading.start) < completionWait)
}

func (c *Controller) notLeader() *schema.Result {
	return &schema.Result{
		Status:        schema.ResultStatus_RESULT_STATUS_NOT_LEADER,
		Message:       "this control host does not lead; ask the leader",
		LeaderAddress: c.leaderAddress(),
	}
}

func unknownResult() *schema.Result {
	return &schema.Result{
		Status:  schema.ResultStatus_RESULT_STATUS_UNKNOWN,
		Message: "the outcome is not known; send the command again with the same request id",
	}
}
