package syncer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// claimPause is the pause between two tries of a claim.
	claimPause = 50 * time.Millisecond
	// claimTimeout bounds one try.
	claimTimeout = 400 * time.Millisecond
)

// ErrNoLeader is returned when no control host could record a claim.
var ErrNoLeader = errors.New("no control host leads")

// Claim reserves an idempotency key at the leader. It tries again until the context ends: a repeated claim of the same
// attempt finds its own record.
func (s *Syncer) Claim(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimReply, error) {
	var reply *schema.ClaimReply
	err := s.atLeader(ctx, func(ctx context.Context, c schema.Control) (schema.ReplyStatus, error) {
		var err error
		reply, err = c.Claim(ctx, req)
		return reply.GetStatus(), err
	})
	return reply, err
}

// Settle records an outcome at the leader. It tries again until the context ends.
func (s *Syncer) Settle(ctx context.Context, req *schema.SettleRequest) error {
	return s.atLeader(ctx, func(ctx context.Context, c schema.Control) (schema.ReplyStatus, error) {
		reply, err := c.Settle(ctx, req)
		return reply.GetStatus(), err
	})
}

// atLeader calls the leader until it serves the call.
func (s *Syncer) atLeader(ctx context.Context, call func(context.Context, schema.Control) (schema.ReplyStatus, error)) error {
	for {
		if leader := s.Leader(); leader.IsValid() {
			try, cancel := context.WithTimeout(ctx, claimTimeout)
			status, err := call(try, s.client(leader))
			cancel()
			if err == nil && status == schema.ReplyStatus_REPLY_STATUS_OK {
				return nil
			}
		}
		s.Wake()
		if s.Timer.Sleep(ctx, claimPause) != nil {
			return ErrNoLeader
		}
	}
}
