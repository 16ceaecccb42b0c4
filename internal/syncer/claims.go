package syncer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// claimRetryPause is the pause between two attempts of a call to the leader.
	claimRetryPause = 50 * time.Millisecond
	// claimTimeout bounds one attempt.
	claimTimeout = 400 * time.Millisecond
)

// ErrNoLeader is returned when no control host recorded a claim or an outcome before the context ended.
var ErrNoLeader = errors.New("no control host leads")

// Claim reserves an idempotency key at the leader. It retries until the context ends; a repeated claim of the same
// attempt finds its own record.
func (s *Syncer) Claim(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimReply, error) {
	var reply *schema.ClaimReply
	err := s.callLeader(ctx, func(ctx context.Context, c schema.Control) (schema.ReplyStatus, error) {
		var err error
		reply, err = c.Claim(ctx, req)
		return reply.GetStatus(), err
	})
	return reply, err
}

// Settle records the outcome of a claimed request at the leader. It retries until the context ends.
func (s *Syncer) Settle(ctx context.Context, req *schema.SettleRequest) error {
	return s.callLeader(ctx, func(ctx context.Context, c schema.Control) (schema.ReplyStatus, error) {
		reply, err := c.Settle(ctx, req)
		return reply.GetStatus(), err
	})
}

// callLeader calls the leader until a call succeeds or the context ends.
func (s *Syncer) callLeader(ctx context.Context, call func(context.Context, schema.Control) (schema.ReplyStatus, error)) error {
	for {
		if leader := s.Leader(); leader.IsValid() {
			callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
			status, err := call(callCtx, s.client(leader))
			cancel()
			if err == nil && status == schema.ReplyStatus_REPLY_STATUS_OK {
				return nil
			}
		}
		s.Wake()
		if s.Timer.Sleep(ctx, claimRetryPause) != nil {
			return ErrNoLeader
		}
	}
}
