package aggregator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/schema"
)

// PathPrefix begins the paths of calls to Handler.
const PathPrefix = schema.TokensPathPrefix

// maxRequestBytes bounds the body of a call. It holds the name of an account and a few numbers.
const maxRequestBytes = 64 << 10

// Stop makes the node refuse to take tokens for others, and returns those that it holds for them.
func (a *Aggregator) Stop() {
	if !a.stopping.CompareAndSwap(false, true) {
		return
	}
	if members := a.Members(); members != nil && slices.Contains(*members, a.Self) {
		a.ReturnTokens()
	}
}

// Handler serves the calls of other nodes.
func (a *Aggregator) Handler() http.Handler {
	server := schema.NewTokensServer(a)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(dialer.TokenHeader)), []byte(a.Token)) != 1 {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the fleet token is missing or wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		server.ServeHTTP(w, r)
	})
}

// Take takes a token for another node. It implements the Tokens service.
func (a *Aggregator) Take(ctx context.Context, req *schema.TakeRequest) (*schema.TakeReply, error) {
	if a.stopping.Load() {
		return &schema.TakeReply{Outcome: schema.TakeOutcome_TAKE_OUTCOME_LEAVING}, nil
	}
	a.meter.served.Inc(1)
	b := a.Bucket(req.GetAccount())
	decision := b.Take(ctx, req.GetImportance(), time.Duration(req.GetMaxWaitMicros())*time.Microsecond,
		time.Duration(req.GetOwnerWaitMicros())*time.Microsecond)
	reply := &schema.TakeReply{FleetDemand: b.FleetDemand(), RestrictedMicros: uint64(b.RestrictedFor().Microseconds())}
	switch decision {
	case limiter.Admitted:
		reply.Outcome = schema.TakeOutcome_TAKE_OUTCOME_ADMITTED
	case limiter.OverRate:
		reply.Outcome = schema.TakeOutcome_TAKE_OUTCOME_OVER_RATE
	case limiter.OwnerUnresponsive:
		reply.Outcome = schema.TakeOutcome_TAKE_OUTCOME_OWNER_UNRESPONSIVE
	case limiter.Canceled:
		return nil, ctx.Err()
	}
	return reply, nil
}
