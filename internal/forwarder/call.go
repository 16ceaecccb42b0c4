package forwarder

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
)

// call is one request as this node processes it.
type call struct {
	id []byte
	// callerRequestID is the ID that the caller assigned, origin the service of the local upstream at the node where
	// the call chain began, and host the Host header of a request that is routed by host.
	callerRequestID string
	origin          string
	host            string
	route           *resolver.Route
	method          string
	target          string
	header          http.Header
	body            *Body
	account         string
	keyID           string
	rank            admitter.Rank
	deadline        time.Time
	retryBudget     *retrier.Budget
	idempotent      bool
	depth           uint32
	// maxWait is how long the call may wait for a slot at the gate.
	maxWait time.Duration
	// triedNodes lists the nodes of the workers that the call was sent to.
	triedNodes []string
	// rerouted is set once the call goes to another worker after a refusal.
	rerouted bool
	// retryProbability is the probability that the call is a retry or was made by a request that is one.
	retryProbability float64
	// fromLocalUpstream is set when the local upstream makes the call.
	fromLocalUpstream bool
	// ignoreSuspension is set for an attempt that runs even if the breaker of its upstream is not closed.
	ignoreSuspension bool
	// dispatchedAt is when the call was admitted at its entry node. availableIn is the time after which a call that was
	// refused for a service further down should come back.
	dispatchedAt time.Time
	availableIn  time.Duration
	// congestion came with the last response, and hasReport reports whether that response had a report.
	congestion retrier.Congestion
	hasReport  bool
	// mayHaveRun is set once a byte may have reached an upstream.
	mayHaveRun bool
}

// maxDepth bounds the length of a call chain.
const maxDepth = 32

// digest returns a hash by which a client retry of the same request is recognized.
func (c *call) digest() uint64 {
	d := xxhash.New()
	for _, part := range []string{c.account, c.method, c.route.Service, c.target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = c.body.WriteTo(d)
	return d.Sum64()
}

// isIdempotent reports whether a request may run more than once, by its route's setting or else by its method.
func isIdempotent(method string, route *resolver.Route) bool {
	if route.Idempotent != nil {
		return *route.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}
