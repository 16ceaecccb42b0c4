package runner

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/controller"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// operatorRetryInterval is the pause between two attempts of a call.
	operatorRetryInterval = 50 * time.Millisecond
	// operatorAttemptTimeout is the timeout of one attempt.
	operatorAttemptTimeout = 2 * time.Second
)

// Operator is a client of the administration API. It finds the leader and retries a command with the same request ID
// until the outcome is known.
type Operator struct {
	base        Base
	pool        *dialer.Pool
	token       string
	addresses   []netip.AddrPort
	nextAddress int
}

// NewOperator returns a client that starts with the given addresses of control hosts. It learns the leader's address
// from responses.
func NewOperator(b Base, addresses []netip.AddrPort, token string) *Operator {
	return &Operator{base: b, pool: dialer.NewPool(b.Security, b.Timer), token: token, addresses: addresses}
}

// bearerTransport is an http.RoundTripper that adds the operator token to each request.
type bearerTransport struct {
	peer  *dialer.Peer
	token string
}

// RoundTrip implements http.RoundTripper.
func (b *bearerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set("Authorization", "Bearer "+b.token)
	return b.peer.RoundTripBounded(req)
}

// Client returns an API client for one control host.
func (o *Operator) Client(addr netip.AddrPort) schema.Admin {
	peer := o.pool.Peer(addr)
	return schema.NewAdminProtobufClient(peer.URL(""), &http.Client{Transport: &bearerTransport{peer: peer, token: o.token}})
}

// Peer returns a peer for sending requests to another process of the fleet, in the operator's connection pool.
func (o *Operator) Peer(addr netip.AddrPort) *dialer.Peer {
	return o.pool.Peer(addr)
}

// NotLeaderError returns the error with which a control host that is not the leader responds. Leader is the leader's
// address, if known.
func NotLeaderError(leader string) error {
	return controller.NotLeaderError(leader)
}

// Change sends a command and retries it until its outcome is known or the context is done.
func (o *Operator) Change(ctx context.Context, cmd *schema.Command) (*schema.Result, error) {
	if cmd.GetRequestId() == "" {
		cmd.RequestId = authenticator.NewHandle()
	}
	var result *schema.Result
	err := o.Retry(ctx, func(ctx context.Context, c schema.Admin) (leader string, retry bool, err error) {
		result, err = c.Change(ctx, cmd)
		switch result.GetStatus() {
		case schema.ResultStatus_RESULT_STATUS_NOT_LEADER, schema.ResultStatus_RESULT_STATUS_UNKNOWN:
			return result.GetLeaderAddress(), true, err
		default:
			return "", err != nil, err
		}
	})
	return result, err
}

// Read makes a read-only call at the leader.
func (o *Operator) Read(ctx context.Context, call func(context.Context, schema.Admin) error) error {
	return o.Retry(ctx, func(ctx context.Context, c schema.Admin) (leader string, retry bool, err error) {
		err = call(ctx, c)
		var twerr twirp.Error
		if errors.As(err, &twerr) && twerr.Code() == twirp.FailedPrecondition {
			return twerr.Meta(controller.LeaderAddressMeta), true, err
		}
		return "", err != nil, err
	})
}

// Retry makes a call at one control host after another until the call reports that no retry is needed or the context is
// done. It returns immediately on an error that every control host would return.
func (o *Operator) Retry(ctx context.Context, call func(context.Context, schema.Admin) (leader string, retry bool, err error)) error {
	lastErr := errors.New("no control host was tried")
	for ctx.Err() == nil {
		client := o.Client(o.addresses[o.nextAddress%len(o.addresses)])
		attempt, cancel := context.WithTimeout(ctx, operatorAttemptTimeout)
		leader, retry, err := call(attempt, client)
		cancel()
		if !retry {
			return err
		}
		if isFinal(err) {
			return err
		}
		lastErr = errors.New("no control host is the leader")
		if err != nil {
			lastErr = err
		}
		o.selectNextAddress(leader)
		_ = o.base.Timer.Sleep(ctx, operatorRetryInterval)
	}
	return errors.Wrap(lastErr, "call not completed")
}

// isFinal reports whether every control host would return the same error.
func isFinal(err error) bool {
	var twerr twirp.Error
	if !errors.As(err, &twerr) {
		return false
	}
	switch twerr.Code() {
	case twirp.Unauthenticated, twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute:
		return true
	default:
		return false
	}
}

// selectNextAddress selects the leader for the next attempt if its address is known, and the next control host
// otherwise.
func (o *Operator) selectNextAddress(leader string) {
	o.nextAddress++
	addr, err := netip.ParseAddrPort(leader)
	if err != nil {
		return
	}
	o.nextAddress = slices.Index(o.addresses, addr)
	if o.nextAddress < 0 {
		o.nextAddress = len(o.addresses)
		o.addresses = append(o.addresses, addr)
	}
}
