package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/schema"
)

// Bounds on the exchanges per second of one node that is short of tokens, and of the whole fleet.
const (
	minExchangeRate   = 4
	maxExchangeRate   = 50
	fleetExchangeRate = 8000
)

// Bounds on the time between two exchanges of a node. The time grows with the number of nodes and reaches maxInterval at
// maxIntervalNodes.
const (
	minInterval      = 250 * time.Millisecond
	maxInterval      = time.Second
	maxIntervalNodes = 250
)

// maxExchanges bounds the exchanges that are decoded at a time, and exchangeWait the time that others wait for it. Beyond it
// they are rejected before they cost more: the node would give up before its reply.
const (
	maxExchanges = 32
	exchangeWait = 250 * time.Millisecond
)

// overloadedExchangeRate is the smallest limit on the exchanges per second of one node, while the leader is overloaded.
const overloadedExchangeRate = 1

// Sync handles a node's exchange. It implements the Control service.
func (c *Controller) Sync(ctx context.Context, req *schema.SyncRequest) (*schema.SyncReply, error) {
	start := c.timer.Now()
	var reply *schema.SyncReply
	err := c.do(ctx, func(now time.Time) {
		if ctx.Err() != nil {
			// The node has given up waiting.
			return
		}
		start := c.timer.Now()
		reply = c.sync(req, now)
		c.meter.work.UpdateSince(start)
	})
	if err != nil {
		return nil, err
	}
	if reply == nil {
		return nil, ctx.Err()
	}
	c.meter.syncs.UpdateSince(start)
	return reply, nil
}

func (c *Controller) sync(req *schema.SyncRequest, now time.Time) *schema.SyncReply {
	reply := &schema.SyncReply{
		Status: schema.ReplyStatus_REPLY_STATUS_NOT_LEADER, LeaderAddress: c.leaderAddress(),
	}
	if !req.GetAhead() {
		reply.ControlAddresses = c.controlAddresses()
	}
	c.meter.demands.Inc(int64(len(req.GetDemands())))
	if c.leading == nil {
		return reply
	}
	if !c.core.IsLeading(now) || req.GetHaveRevision() > c.machine.Revision() {
		// Without a confirmed quorum the leader's state may be out of date.
		reply.Status = schema.ReplyStatus_REPLY_STATUS_NOT_CONFIRMED
		return reply
	}
	age := now.Sub(c.core.ConfirmedAt())
	c.assert.Check(asserter.FreshWhenKeyed, age >= 0, "")
	reply.Status = schema.ReplyStatus_REPLY_STATUS_OK
	reply.Epoch = c.leading.term
	reply.Revision = c.machine.Revision()
	reply.AgeMicros = uint64(age.Microseconds())
	reply.Delta = c.machine.Delta(req.GetHaveRevision())
	c.leading.exchangeState(req, reply, now)
	c.setPace(reply)
	if req.GetEpoch() == c.leading.term {
		c.grantTokens(req, reply, now)
	}
	return reply
}

// setPace adds the time between exchanges and the limit on those ahead of it to the reply. Both give way while the control
// goroutine runs late, so that the leader can serve its quorum and the regular exchanges.
func (c *Controller) setPace(reply *schema.SyncReply) {
	nodes := c.leading.liveNodes()
	limit := min(maxExchangeRate, max(minExchangeRate, fleetExchangeRate/float64(max(1, nodes))))
	reply.ExchangeRate = max(overloadedExchangeRate, limit*c.pace.share)
	interval := max(minInterval, maxInterval*time.Duration(nodes)/maxIntervalNodes)
	reply.IntervalMicros = uint64(min(maxInterval, time.Duration(float64(interval)/c.pace.share)).Microseconds())
}

// exchangeState records a node's state and adds changed memberships to the reply.
func (l *leadership) exchangeState(req *schema.SyncRequest, reply *schema.SyncReply, now time.Time) {
	switch {
	case req.GetLeaving():
		l.removeNode(req.GetNode())
		l.holders.recordLeave(req.GetNode())
	case req.GetAhead():
		l.recordAhead(req, now)
		l.holders.recordContact(req.GetNode(), now)
	default:
		l.updateNode(req, now)
		l.holders.recordContact(req.GetNode(), now)
	}
	reply.MembershipComplete = l.isMembershipComplete(now)
	reply.Nodes = uint32(l.liveNodes())
	l.sharedHosts = l.sharedHosts || req.GetSharedHost()
	reply.SharedHosts = l.sharedHosts
	l.addAggregators(req, reply)
	for _, w := range req.GetWatches() {
		s := l.services[w.GetService()]
		if s == nil {
			s = &serviceState{}
		}
		if s.fingerprint != w.GetFingerprint() {
			reply.Memberships = append(reply.Memberships, &schema.Membership{Service: w.GetService(), Workers: s.sortedWorkers()})
		}
	}
}

// grantTokens processes a node's demands, and ends the carry-over once all holders have reported theirs.
func (c *Controller) grantTokens(req *schema.SyncRequest, reply *schema.SyncReply, now time.Time) {
	if !c.mayHoldTokens(req.GetNode()) {
		return
	}
	l := c.leading
	l.grantDemands(req, reply, now)
	allowed, reported := l.recordDemands(req)
	reply.PartialAllowed = allowed
	if reported {
		l.owner.EndCarryover(now)
		c.log.Info("holdersReported", zap.Uint64("term", l.term), zap.Duration("took", now.Sub(l.start)))
	}
}

// grantDemands adds grants for a node's demands to the reply.
func (l *leadership) grantDemands(req *schema.SyncRequest, reply *schema.SyncReply, now time.Time) {
	h := limiter.Holder{Node: req.GetNode(), Incarnation: req.GetIncarnation()}
	for _, d := range req.GetDemands() {
		request := grantRequest(d)
		if req.GetLeaving() {
			l.owner.Release(h, request, now)
			continue
		}
		g, ok := l.owner.Grant(h, request, now)
		if !ok {
			continue
		}
		reply.Grants = append(reply.Grants, &schema.Grant{
			Account: g.Account, Tokens: g.Tokens, End: g.End, FleetDemand: g.FleetDemand,
			Lease:  &schema.Lease{Rate: g.Lease.Rate, Room: g.Lease.Capacity, Sequence: g.Lease.Sequence},
			Scarce: g.Oversubscribed, ClosedMicros: uint64(g.RestrictedFor.Microseconds()),
		})
	}
}

func grantRequest(d *schema.Demand) limiter.GrantRequest {
	request := limiter.GrantRequest{
		Account: d.GetAccount(), Demand: d.GetRate(), Want: d.GetWant(), Settled: d.GetSettled(), Unspent: d.GetUnspent(),
		Waiting: int(d.GetWaiting()),
		Lease: limiter.Lease{
			Rate: d.GetLease().GetRate(), Capacity: d.GetLease().GetRoom(), Sequence: d.GetLease().GetSequence(),
		},
		Overflow: d.GetOverflow(), Importance: d.GetImportance(), Carryover: d.GetCarried(),
	}
	for _, m := range d.GetMarks() {
		request.Marks = append(request.Marks, limiter.Mark{
			Age: time.Duration(m.GetAgeMicros()) * time.Microsecond, Settled: m.GetSettled(),
		})
	}
	return request
}

func (c *Controller) controlAddresses() []string {
	var out []string
	for _, r := range c.core.Replicas() {
		out = append(out, r.GetAddress())
	}
	return out
}

// Claim reserves an idempotency key. It implements the Control service.
func (c *Controller) Claim(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimReply, error) {
	return c.changeClaim(ctx, &schema.ClaimChange{
		Account: req.GetAccount(), IdempotencyKey: req.GetIdempotencyKey(), Fingerprint: req.GetFingerprint(), Attempt: req.GetAttempt(),
	}), nil
}

// Settle records the outcome of a claimed request. It implements the Control service.
func (c *Controller) Settle(ctx context.Context, req *schema.SettleRequest) (*schema.SettleReply, error) {
	ch := &schema.ClaimChange{
		Account: req.GetAccount(), IdempotencyKey: req.GetIdempotencyKey(), Attempt: req.GetAttempt(), Settle: true, NotRun: req.GetNotRun(),
		Answer: req.GetAnswer(),
	}
	return &schema.SettleReply{Status: c.changeClaim(ctx, ch).GetStatus()}, nil
}
