package controller

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/replicator"
	"github.com/lavenderhub/lavenderhub/schema"
)

// joinInterval is the pause between two attempts to join a fleet.
const joinInterval = 200 * time.Millisecond

// rejoinDelay is the time without contact to a leader after which a member asks to join again: it may have been replaced while
// it was unreachable.
const rejoinDelay = time.Second

// joinFleet joins the replica to the fleet of the control hosts that are named in its settings and its log, and retries until
// the controller stops. Only one of these hosts may bootstrap a new fleet, and only if every other one replies that it is
// blank (has no log) too. A host that lost its disk therefore never bootstraps a second fleet.
func (c *Controller) joinFleet() error {
	ctx := c.tomb.Context(context.Background())
	for ctx.Err() == nil {
		if err := c.tryJoin(ctx); err != nil && ctx.Err() == nil {
			c.log.Warn("fleetNotSought", zap.Error(err))
		}
		_ = c.timer.Sleep(ctx, joinInterval)
	}
	return nil
}

// joinAttempt holds the state of this replica for one attempt to join a fleet.
type joinAttempt struct {
	needed       bool
	blank        bool
	mayBootstrap bool
	hosts        []netip.AddrPort
	req          *schema.JoinRequest
}

func (c *Controller) tryJoin(ctx context.Context) error {
	var a joinAttempt
	if err := c.do(ctx, func(now time.Time) { a = c.newJoinAttempt(now) }); err != nil || !a.needed {
		return err
	}
	allBlank := true
	for _, addr := range a.hosts {
		reply := c.requestJoin(ctx, addr, a.req)
		if reply == nil || !reply.GetBlank() {
			allBlank = false
		}
		if leader := parseAddress(reply.GetLeaderAddress()); leader.IsValid() && !reply.GetAccepted() && leader != c.Address() {
			c.requestJoin(ctx, leader, a.req)
		}
	}
	if !a.blank || !allBlank || !a.mayBootstrap {
		return nil
	}
	return c.do(ctx, func(now time.Time) {
		if c.core.IsBlank() {
			c.log.Info("fleetFounded", zap.String("name", c.cfg.GetName()))
			c.core.Bootstrap(&schema.ReplicaInfo{Id: c.core.Status().ID, Name: c.cfg.GetName(), Address: c.cfg.GetAddress()}, now)
		}
	})
}

// newJoinAttempt determines whether this replica needs to join a fleet, which hosts to ask, and the request to send.
func (c *Controller) newJoinAttempt(now time.Time) joinAttempt {
	a := joinAttempt{
		blank:        c.core.IsBlank(),
		mayBootstrap: c.mayBootstrap(),
		req: &schema.JoinRequest{
			Id: c.core.Status().ID, Name: c.cfg.GetName(), Address: c.cfg.GetAddress(), Blank: c.core.IsBlank(),
		},
	}
	a.needed = !c.isMember() || c.core.SinceLeaderContact(now) > rejoinDelay
	known := map[netip.AddrPort]bool{c.Address(): true}
	add := func(text string) {
		if addr := parseAddress(text); addr.IsValid() && !known[addr] {
			known[addr] = true
			a.hosts = append(a.hosts, addr)
		}
	}
	for _, p := range c.cfg.GetPeers() {
		add(p.GetAddress())
	}
	for _, addr := range c.seeds {
		add(addr.String())
	}
	for _, r := range c.core.Status().Replicas {
		add(r.GetAddress())
	}
	return a
}

// isMember reports whether this replica is in its current replica set.
func (c *Controller) isMember() bool {
	s := c.core.Status()
	for _, r := range s.Replicas {
		if r.GetId() == s.ID {
			return true
		}
	}
	return false
}

// mayBootstrap reports whether this replica is the one that may bootstrap a new fleet: the peer with the lowest name, or
// without named peers and on a first start the seed with the lowest address.
func (c *Controller) mayBootstrap() bool {
	if len(c.cfg.GetPeers()) > 0 {
		return !c.cfg.GetJoin() && c.isFirstPeer()
	}
	if !c.cfg.GetFirstStart() {
		return false
	}
	self, listed := c.Address(), false
	for _, addr := range c.seeds {
		if addr.Compare(self) < 0 {
			return false
		}
		listed = listed || addr == self
	}
	return listed
}

func (c *Controller) isFirstPeer() bool {
	for _, p := range c.cfg.GetPeers() {
		if p.GetName() < c.cfg.GetName() {
			return false
		}
	}
	return true
}

// parseAddress parses an address and port from a message. It returns the zero value if the text is not valid.
func parseAddress(text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

// requestJoin sends a join request. It returns nil if the call fails.
func (c *Controller) requestJoin(ctx context.Context, addr netip.AddrPort, req *schema.JoinRequest) *schema.JoinReply {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	peer := c.pool.Peer(addr)
	reply, err := schema.NewReplicaProtobufClient(peer.URL(""), c.clientOf(peer)).Join(ctx, req)
	if err != nil {
		return nil
	}
	return reply
}

// Join handles a replica's request to join the fleet: the leader adds it as a learner, other members return the leader's
// address, and a blank replica only reports that it is blank. It implements the Replica service.
func (c *Controller) Join(ctx context.Context, req *schema.JoinRequest) (*schema.JoinReply, error) {
	reply := &schema.JoinReply{}
	err := c.do(ctx, func(now time.Time) {
		if c.core.IsBlank() {
			reply.Blank = true
			return
		}
		reply.LeaderAddress = c.leaderAddress()
		if c.core.Status().Role != replicator.Leader {
			return
		}
		err := c.core.ChangeReplica(&schema.ChangeReplica{
			Kind: schema.ChangeReplica_KIND_ADD_LEARNER, Id: req.GetId(), Name: req.GetName(), Address: req.GetAddress(),
		}, now)
		reply.Accepted = err == nil || err == replicator.ErrReplicaExists
		if err == nil {
			c.log.Info("learnerAdded", zap.String("name", req.GetName()), zap.Uint64("id", req.GetId()))
		}
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}
