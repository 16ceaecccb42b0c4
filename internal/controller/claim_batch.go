package controller

import (
	"context"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/applier"
	"github.com/lavenderhub/lavenderhub/schema"
)

// claimBatch collects claims and settlements for one log entry.
type claimBatch struct {
	changes []*schema.ClaimChange
	done    []func(*schema.ClaimReply)
}

func (b *claimBatch) add(ch *schema.ClaimChange, done func(*schema.ClaimReply)) {
	b.changes = append(b.changes, ch)
	b.done = append(b.done, done)
}

func (b *claimBatch) fail() {
	for _, done := range b.done {
		done(notConfirmed())
	}
	*b = claimBatch{}
}

func notConfirmed() *schema.ClaimReply {
	return &schema.ClaimReply{Status: schema.ReplyStatus_REPLY_STATUS_NOT_CONFIRMED}
}

// proposeClaims proposes the collected claims and settlements as one log entry.
func (c *Controller) proposeClaims() {
	if len(c.claims.changes) == 0 {
		return
	}
	batch := c.claims
	c.claims = claimBatch{}
	cmd := &schema.Command{Change: &schema.Command_Claims{Claims: &schema.Claims{Changes: batch.changes}}}
	done := func(out applier.Outcome, ok bool) {
		for i, reply := range batch.done {
			if !ok {
				reply(notConfirmed())
				continue
			}
			reply(out.Claims[i])
		}
	}
	if !c.propose(cmd, c.timer.Now(), done) {
		batch.fail()
	}
	c.meter.claims.Inc(int64(len(batch.changes)))
}

// changeClaim adds one claim or settlement to the current batch and waits until it is committed.
func (c *Controller) changeClaim(ctx context.Context, ch *schema.ClaimChange) *schema.ClaimReply {
	reply := make(chan *schema.ClaimReply, 1)
	err := c.do(ctx, func(now time.Time) {
		if !c.core.IsLeading(now) {
			reply <- &schema.ClaimReply{Status: schema.ReplyStatus_REPLY_STATUS_NOT_LEADER}
			return
		}
		c.claims.add(ch, func(r *schema.ClaimReply) { reply <- r })
	})
	if err != nil {
		return notConfirmed()
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return notConfirmed()
	}
}
