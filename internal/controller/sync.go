package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/schema"
)

// Bounds on the exchanges a second of one node that is short of tokens, and of the whole fleet.
const (
	minExchangeRate   = 4
	maxExchangeRate   = 50
	fleetExchangeRate = 8000
)

// Bounds on the time between two exchanges of a node. It grows with the fleet, up to the number of nodes given.
const (
	minInterval       = 250 * time.Millisecond
	maxInterval       = time.Second
	fullIntervalNodes = 400
)

// Sync serves a node's exchange; it implements the Control service.
func (c *Controller) Sync(ctx context.Context, req *schema.SyncRequest) (*schema.SyncReply, error) {
	began := c.timer.Now()
	var reply *schema.SyncReply
	err := c.do(ctx, func(now time.Time) {
		began := c.timer.Now()
		reply = c.sync(req, now)
		c.meter.work.UpdateSince(began)
	})
	if err != nil {
		return nil, err
	}
	c.meter.syncs.UpdateSince(began)
	return reply, nil
}

func (c *Controller) sync(req *schema.SyncRequest, now time.Time) *schema.SyncReply {
	reply := &schema.SyncReply{
		Status: schema.ReplyStatus_REPLY_STATUS_NOT_LEADER, LeaderAddress: c.leaderAddress(),
		ControlAddresses: c.controlAddresses(),
	}
	if c.leading == nil {
		return reply
	}
	if !c.core.IsLeading(now) || req.GetHaveRevision() > c.machine.Revision() {
		// Without its quorum the leader's word may be out of date.
		reply.Status = schema.ReplyStatus_REPLY_STATUS_NOT_CONFIRMED
		return reply
	}
	age := now.Sub(c.core.Status().ConfirmedAt)
	c.assert.Check(asserter.FreshWhenKeyed, age >= 0, "")
	reply.Status = schema.ReplyStatus_REPLY_STATUS_OK
	reply.Epoch = c.leading.term
	reply.Revision = c.machine.Revision()
	reply.AgeMicros = uint64(age.Microseconds())
	reply.Delta = c.machine.Delta(req.GetHaveRevision())
	c.leading.exchange(req, reply, now)
	if req.GetEpoch() == c.leading.term {
		c.grant(req, reply, now)
	}
	return reply
}

// exchange takes in a node's state and adds memberships to the reply.
func (l *leadership) exchange(req *schema.SyncRequest, reply *schema.SyncReply, now time.Time) {
	if req.GetLeaving() {
		l.removeNode(req.GetNode())
		l.holders.leave(req.GetNode())
	} else {
		l.noteNode(req, now)
		l.holders.hear(req.GetNode(), now)
	}
	reply.ExchangeRate = min(maxExchangeRate, max(minExchangeRate, fleetExchangeRate/float64(max(1, l.live()))))
	interval := min(maxInterval, max(minInterval, maxInterval*time.Duration(l.live())/fullIntervalNodes))
	reply.IntervalMicros = uint64(interval.Microseconds())
	reply.MembershipComplete = l.isComplete(now)
	reply.Nodes = uint32(l.live())
	for _, w := range req.GetWatches() {
		s := l.services[w.GetService()]
		if s == nil {
			s = &serviceState{}
		}
		if s.fingerprint != w.GetFingerprint() {
			reply.Memberships = append(reply.Memberships, &schema.Membership{Service: w.GetService(), Workers: s.list()})
		}
	}
}

// grant takes in a node's account of its tokens and adds grants to the reply.
func (c *Controller) grant(req *schema.SyncRequest, reply *schema.SyncReply, now time.Time) {
	if !c.mayHold(req.GetNode()) {
		return
	}
	l := c.leading
	h := limiter.Holder{Node: req.GetNode(), Incarnation: req.GetIncarnation()}
	for _, d := range req.GetDemands() {
		ask := askOf(d)
		if req.GetLeaving() {
			l.owner.Release(h, ask, now)
			continue
		}
		g, ok := l.owner.Grant(h, ask, now)
		if !ok {
			continue
		}
		reply.Grants = append(reply.Grants, &schema.Grant{
			Account: g.Account, Tokens: g.Tokens, End: g.End, FleetDemand: g.FleetDemand,
			Lease:  &schema.Lease{Rate: g.Lease.Rate, Room: g.Lease.Capacity, Sequence: g.Lease.Sequence},
			Scarce: g.Oversubscribed, ClosedMicros: uint64(g.RestrictedFor.Microseconds()),
		})
	}
	if l.holders.report(req.GetNode()) {
		l.owner.EndCarryover(now)
		c.log.Info("holdersReported", zap.Uint64("term", l.term), zap.Duration("took", now.Sub(l.began)))
	}
}

func askOf(d *schema.Demand) limiter.GrantRequest {
	ask := limiter.GrantRequest{
		Account: d.GetAccount(), Demand: d.GetRate(), Want: d.GetWant(), Settled: d.GetSettled(), Unspent: d.GetUnspent(),
		Waiting: int(d.GetWaiting()),
		Lease: limiter.Lease{
			Rate: d.GetLease().GetRate(), Capacity: d.GetLease().GetRoom(), Sequence: d.GetLease().GetSequence(),
		},
		Overflow: d.GetOverflow(), Importance: d.GetImportance(), Carryover: d.GetCarried(),
	}
	for _, m := range d.GetMarks() {
		ask.Marks = append(ask.Marks, limiter.Mark{
			Age: time.Duration(m.GetAgeMicros()) * time.Microsecond, Settled: m.GetSettled(),
		})
	}
	return ask
}

func (c *Controller) controlAddresses() []string {
	var out []string
	for _, r := range c.core.Status().Replicas {
		out = append(out, r.GetAddress())
	}
	return out
}

// Claim reserves an idempotency key; it implements the Control service.
func (c *Controller) Claim(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimReply, error) {
	return c.changeClaim(ctx, &schema.ClaimChange{
		Account: req.GetAccount(), IdempotencyKey: req.GetIdempotencyKey(), Fingerprint: req.GetFingerprint(), Attempt: req.GetAttempt(),
	}), nil
}

// Settle records the outcome of a claimed request; it implements the Control service.
func (c *Controller) Settle(ctx context.Context, req *schema.SettleRequest) (*schema.SettleReply, error) {
	ch := &schema.ClaimChange{
		Account: req.GetAccount(), IdempotencyKey: req.GetIdempotencyKey(), Attempt: req.GetAttempt(), Settle: true, NotRun: req.GetNotRun(),
		Answer: req.GetAnswer(),
	}
	return &schema.SettleReply{Status: c.changeClaim(ctx, ch).GetStatus()}, nil
}
