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
	// operatorPause is the pause between two tries of a command.
	operatorPause = 50 * time.Millisecond
	// operatorTimeout bounds one try.
	operatorTimeout = 2 * time.Second
)

// Operator is a client of the administration API. It finds the leader and sends a command again, with the same request
// id, until its outcome is known.
type Operator struct {
	base      Base
	pool      *dialer.Pool
	token     string
	addresses []netip.AddrPort
	next      int
}

// NewOperator returns a client that knows some control hosts.
func NewOperator(b Base, addresses []netip.AddrPort, token string) *Operator {
	return &Operator{base: b, pool: dialer.NewPool(b.Security, b.Timer), token: token, addresses: addresses}
}

// bearer adds the operator token to each request.
type bearer struct {
	peer  *dialer.Peer
	token string
}

// RoundTrip sends one request with the token.
func (b *bearer) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set("Authorization", "Bearer "+b.token)
	return b.peer.RoundTrip(req)
}

// Client returns the API client of one control host.
func (o *Operator) Client(addr netip.AddrPort) schema.Admin {
	peer := o.pool.Peer(addr)
	return schema.NewAdminProtobufClient(peer.URL(""), &http.Client{Transport: &bearer{peer: peer, token: o.token}})
}

// Peer returns another process of the fleet.
func (o *Operator) Peer(addr netip.AddrPort) *dialer.Peer {
	return o.pool.Peer(addr)
}

// NotLeaderError returns the error of a control host that does not lead.
func NotLeaderError(leader string) error {
	return controller.NotLeaderError(leader)
}

// Change sends a command until its outcome is known or the context ends.
func (o *Operator) Change(ctx context.Context, cmd *schema.Command) (*schema.Result, error) {
	if cmd.GetRequestId() == "" {
		cmd.RequestId = authenticator.NewHandle()
	}
	var result *schema.Result
	err := o.Retry(ctx, func(ctx context.Context, c schema.Admin) (leader string, again bool, err error) {
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

// Read makes a call that changes nothing, at the leader.
func (o *Operator) Read(ctx context.Context, call func(context.Context, schema.Admin) error) error {
	return o.Retry(ctx, func(ctx context.Context, c schema.Admin) (leader string, again bool, err error) {
		err = call(ctx, c)
		var twerr twirp.Error
		if errors.As(err, &twerr) && twerr.Code() == twirp.FailedPrecondition {
			return twerr.Meta(controller.LeaderAddressMeta), true, err
		}
		return "", err != nil, err
	})
}

// Retry makes a call at one control host after another until it need not be made again. Errors that no other host would
// mend end it at once.
func (o *Operator) Retry(ctx context.Context, call func(context.Context, schema.Admin) (leader string, again bool, err error)) error {
	last := errors.New("no control host was tried")
	for ctx.Err() == nil {
		client := o.Client(o.addresses[o.next%len(o.addresses)])
		try, cancel := context.WithTimeout(ctx, operatorTimeout)
		leader, again, err := call(try, client)
		cancel()
		if !again {
			return err
		}
		if isFinal(err) {
			return err
		}
		last = errors.New("no control host leads")
		if err != nil {
			last = err
		}
		o.turnTo(leader)
		_ = o.base.Timer.Sleep(ctx, operatorPause)
	}
	return errors.Wrap(last, "give up")
}

// isFinal reports whether an error would be the same at every control host.
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

// turnTo makes the next try go to the leader, if its address is known, or else to the next control host.
func (o *Operator) turnTo(leader string) {
	o.next++
	addr, err := netip.ParseAddrPort(leader)
	if err != nil {
		return
	}
	o.next = slices.Index(o.addresses, addr)
	if o.next < 0 {
		o.next = len(o.addresses)
		o.addresses = append(o.addresses, addr)
	}
}
