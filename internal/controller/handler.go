package controller

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"

	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/schema"
)

// LeaderAddressMeta is the key under which an error names the leader's address.
const LeaderAddressMeta = "leaderAddress"

// NotLeaderError returns the error of a control host that does not lead.
func NotLeaderError(leader string) error {
	return twirp.NewError(twirp.FailedPrecondition, "this control host does not lead; ask the leader").WithMeta(LeaderAddressMeta, leader)
}

func invalidError(err error) error {
	return twirp.NewError(twirp.InvalidArgument, err.Error())
}

// Handler serves nodes, replicas and operators.
func (c *Controller) Handler() http.Handler {
	control := schema.NewControlServer(c)
	replica := schema.NewReplicaServer(c)
	admin := schema.NewAdminServer(c)
	mux := http.NewServeMux()
	mux.Handle(control.PathPrefix(), c.forFleet(control))
	mux.Handle(replica.PathPrefix(), c.forFleet(replica))
	mux.Handle(admin.PathPrefix(), c.forOperators(admin))
	mux.HandleFunc(dialer.PingPath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}

// forFleet lets processes of the fleet in.
func (c *Controller) forFleet(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.fleet != "" && !isSame(r.Header.Get(dialer.TokenHeader), c.fleet) {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the fleet token is missing or wrong"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// forOperators lets holders of the operator token in.
func (c *Controller) forOperators(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := authenticator.BearerOf(r.Header)
		if !ok || !isSame(token, c.token) {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the operator token is missing or wrong"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// isSame compares secrets in constant time.
func isSame(a, b string) bool {
	x, y := sha256.Sum256([]byte(strings.TrimSpace(a))), sha256.Sum256([]byte(strings.TrimSpace(b)))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
