package controller

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"

	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/schema"
)

// syncMethod is the last part of the path of an exchange.
const syncMethod = "Sync"

// LeaderAddressMeta is the key of the leader's address in the metadata of a NotLeaderError.
const LeaderAddressMeta = "leaderAddress"

// NotLeaderError returns the Twirp error of a control host that does not lead, with the leader's address as metadata.
func NotLeaderError(leader string) error {
	return twirp.NewError(twirp.FailedPrecondition, "this control host does not lead; ask the leader").WithMeta(LeaderAddressMeta, leader)
}

func invalidError(err error) error {
	return twirp.NewError(twirp.InvalidArgument, err.Error())
}

// Handler returns the HTTP handler for nodes, replicas and operators.
func (c *Controller) Handler() http.Handler {
	control := schema.NewControlServer(c)
	replica := schema.NewReplicaServer(c)
	admin := schema.NewAdminServer(c)
	mux := http.NewServeMux()
	mux.Handle(control.PathPrefix(), c.requireFleetToken(control))
	mux.Handle(control.PathPrefix()+syncMethod, c.requireFleetToken(c.boundExchanges(control)))
	mux.Handle(replica.PathPrefix(), c.requireFleetToken(replica))
	mux.Handle(admin.PathPrefix(), c.requireOperatorToken(admin))
	mux.HandleFunc(dialer.PingPath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}

// requireFleetToken rejects requests without the fleet token if one is set.
func (c *Controller) requireFleetToken(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.fleetToken != "" && !secretsEqual(r.Header.Get(dialer.TokenHeader), c.fleetToken) {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the fleet token is missing or wrong"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// boundExchanges bounds the exchanges that are decoded and queued at a time, so that those that come in faster than they
// can be served cost little and leave the processor to the replicas' messages.
func (c *Controller) boundExchanges(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case c.exchangeSlots <- struct{}{}:
		default:
			if !c.awaitExchangeSlot(r.Context()) {
				c.meter.rejected.Inc(1)
				_ = twirp.WriteError(w, twirp.NewError(twirp.ResourceExhausted, "the control host is busy; try again later"))
				return
			}
		}
		defer func() { <-c.exchangeSlots }()
		h.ServeHTTP(w, r)
	})
}

// awaitExchangeSlot waits for a slot for at most exchangeWait and reports whether it got one.
func (c *Controller) awaitExchangeSlot(ctx context.Context) bool {
	sub := c.timer.After(exchangeWait)
	defer sub.Stop()
	select {
	case c.exchangeSlots <- struct{}{}:
		return true
	case <-sub.C:
	case <-ctx.Done():
	}
	return false
}

// requireOperatorToken rejects requests without the operator token.
func (c *Controller) requireOperatorToken(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := authenticator.BearerToken(r.Header)
		if !ok || !secretsEqual(token, c.operatorToken) {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the operator token is missing or wrong"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// secretsEqual compares two secrets in constant time, without regard to surrounding white space.
func secretsEqual(a, b string) bool {
	x, y := sha256.Sum256([]byte(strings.TrimSpace(a))), sha256.Sum256([]byte(strings.TrimSpace(b)))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
