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

// orphanTime is how long a replica of a fleet that hears of no leader waits before it asks for a place again: it may have
// been replaced while it was away.
const orphanTime = time.Second

// seekFleet lets a replica join the fleet of the control hosts that its settings and its log name. A new fleet is founded
// by one replica only, and only when every named host answers that it is blank too: a host that lost its disk never
// founds a second one.
func (c *Controller) seekFleet() error {
	ctx := c.tomb.Context(context.Background())
	for ctx.Err() == nil {
		if err := c.seekOnce(ctx); err != nil && ctx.Err() == nil {
			c.log.Warn("fleetNotSought", zap.Error(err))
		}
		_ = c.timer.Sleep(ctx, seekInterval)
	}
	return nil
}

// search is what a replica that seeks a fleet knows of itself.
type search struct {
	needed   bool
	blank    bool
	mayFound bool
	hosts    []netip.AddrPort
	req      *schema.JoinRequest
}

func (c *Controller) seekOnce(ctx context.Context) error {
	var s search
	if err := c.do(ctx, func(now time.Time) { s = c.search(now) }); err != nil || !s.needed {
		return err
	}
	allBlank := true
	for _, addr := range s.hosts {
		reply := c.askToJoin(ctx, addr, s.req)
		if reply == nil || !reply.GetBlank() {
			allBlank = false
		}
		if leader := addressIn(reply.GetLeaderAddress()); leader.IsValid() && !reply.GetAccepted() && leader != c.Address() {
			c.askToJoin(ctx, leader, s.req)
		}
	}
	if !s.blank || !allBlank || !s.mayFound {
		return nil
	}
	return c.do(ctx, func(now time.Time) {
		if c.core.IsBlank() {
			c.log.Info("fleetFounded", zap.String("name", c.cfg.GetName()))
			c.core.Bootstrap(&schema.ReplicaInfo{Id: c.core.Status().ID, Name: c.cfg.GetName(), Address: c.cfg.GetAddress()}, now)
		}
	})
}

// search tells whether this replica needs a place in a fleet, and whom it may ask.
func (c *Controller) search(now time.Time) search {
	s := search{
		blank:    c.core.IsBlank(),
		mayFound: c.mayFound(),
		req: &schema.JoinRequest{
			Id: c.core.Status().ID, Name: c.cfg.GetName(), Address: c.cfg.GetAddress(), Blank: c.core.IsBlank(),
		},
	}
	s.needed = !c.isMember() || c.core.SinceLeaderContact(now) > orphanTime
	known := map[netip.AddrPort]bool{c.Address(): true}
	note := func(text string) {
		if addr := addressIn(text); addr.IsValid() && !known[addr] {
			known[addr] = true
			s.hosts = append(s.hosts, addr)
		}
	}
	for _, p := range c.cfg.GetPeers() {
		note(p.GetAddress())
	}
	for _, addr := range c.seeds {
		note(addr.String())
	}
	for _, r := range c.core.Status().Replicas {
		note(r.GetAddress())
	}
	return s
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

// mayFound reports whether this replica is the one that founds a new fleet: the first of the named peers, or on a first
// start the lowest of the seeds.
func (c *Controller) mayFound() bool {
	if len(c.cfg.GetPeers()) > 0 {
		return !c.cfg.GetJoin() && c.isFirstPeer()
	}
	if !c.cfg.GetFirstStart() {
		return false
	}
	own, listed := c.Address(), false
	for _, addr := range c.seeds {
		if addr.Compare(own) < 0 {
			return false
		}
		listed = listed || addr == own
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
