package controller

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/replicator"
	"github.com/lavenderhub/lavenderhub/schema"
)

// seekInterval is how often a replica without a fleet asks for one.
const seekInterval = 200 * time.Millisecond

// seekFleet lets a replica with an empty folder join the fleet of its peers. The one with the smallest name founds a
// fleet, but only when every peer answers that it has none either: a host that lost its disk never founds a second one.
func (c *Controller) seekFleet() error {
	ctx := c.tomb.Context(context.Background())
	for ctx.Err() == nil {
		done, err := c.seekOnce(ctx)
		if err != nil || done {
			return nil
		}
		_ = c.timer.Sleep(ctx, seekInterval)
	}
	return nil
}

func (c *Controller) seekOnce(ctx context.Context) (done bool, err error) {
	var req *schema.JoinRequest
	err = c.do(ctx, func(time.Time) {
		done = c.isMember()
		req = &schema.JoinRequest{Id: c.core.Status().ID, Name: c.cfg.GetName(), Address: c.cfg.GetAddress(), Blank: c.core.IsBlank()}
	})
	if err != nil || done {
		return done, err
	}
	allBlank := true
	for _, p := range c.cfg.GetPeers() {
		if p.GetName() == c.cfg.GetName() {
			continue
		}
		reply := c.askToJoin(ctx, addressIn(p.GetAddress()), req)
		if reply == nil || !reply.GetBlank() {
			allBlank = false
		}
		if leader := addressIn(reply.GetLeaderAddress()); leader.IsValid() && !reply.GetAccepted() {
			c.askToJoin(ctx, leader, req)
		}
	}
	if !allBlank || c.cfg.GetJoin() || !c.isFirstPeer() {
		return false, nil
	}
	return true, c.do(ctx, func(now time.Time) {
		if c.core.IsBlank() {
			c.log.Info("fleetFounded", zap.String("name", c.cfg.GetName()))
			c.core.Found(&schema.ReplicaInfo{Id: c.core.Status().ID, Name: c.cfg.GetName(), Address: c.cfg.GetAddress()}, now)
			c.lastTerm = foundingTerm
		}
	})
}

// isMember reports whether the replica has a log and its current set names it.
func (c *Controller) isMember() bool {
	s := c.core.Status()
	for _, r := range s.Replicas {
		if r.GetId() == s.ID {
			return true
		}
	}
	return false
}

func (c *Controller) isFirstPeer() bool {
	for _, p := range c.cfg.GetPeers() {
		if p.GetName() < c.cfg.GetName() {
			return false
		}
	}
	return true
}

// addressIn reads an address of a message. It returns the zero address when there is none.
func addressIn(text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

// askToJoin returns nil when the peer does not answer.
func (c *Controller) askToJoin(ctx context.Context, addr netip.AddrPort, req *schema.JoinRequest) *schema.JoinReply {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	peer := c.pool.Peer(addr)
	reply, err := schema.NewReplicaProtobufClient(peer.URL(""), c.clientOf(peer)).Join(ctx, req)
	if err != nil {
		return nil
	}
	return reply
}

// Join answers a replica that seeks a fleet; it implements the Replica service.
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
		err := c.core.Change(&schema.ChangeReplica{
			Kind: schema.ChangeReplica_KIND_ADD_LEARNER, Id: req.GetId(), Name: req.GetName(), Address: req.GetAddress(),
		}, now)
		reply.Accepted = err == nil || err == replicator.ErrKnown
		if err == nil {
			c.log.Info("learnerAdded", zap.String("name", req.GetName()), zap.Uint64("id", req.GetId()))
		}
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}
