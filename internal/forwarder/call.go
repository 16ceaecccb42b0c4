package forwarder

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
)

// call is one request on its way through this node.
type call struct {
	id []byte
	// callerID is the caller's own id, origin the service beside which the request began, and host the host that it was
	// sent to when it is routed by host.
	callerID   string
	origin     string
	host       string
	route      *resolver.Route
	method     string
	target     string
	header     http.Header
	body       []byte
	account    string
	keyID      string
	rank       admitter.Rank
	deadline   time.Time
	budget     *retrier.Budget
	idempotent bool
	depth      uint32
	// patience is how long the call may wait for a slot.
	patience time.Duration
	// tried names the nodes of the workers that the call was sent to.
	tried []string
	// rerouted is set once a worker refused the call.
	rerouted bool
	// repeat is the chance that the call is a repeat, or was made by a run that is one.
	repeat float64
	// near tells that the own upstream makes the call.
	near bool
	// ran is set once a byte may have reached an upstream.
	ran bool
}

// maxDepth bounds the length of a call chain.
const maxDepth = 32

// digest identifies a request that a caller may send again.
func (c *call) digest() uint64 {
	d := xxhash.New()
	for _, part := range []string{c.account, c.method, c.route.Service, c.target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// isIdempotent decides from the route and the method whether a request may run more than once.
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
