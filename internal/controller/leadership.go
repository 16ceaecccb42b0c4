package controller

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/internal/applier"
	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/internal/replicator"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// suspectNodeAfter is the time since a node's last exchange after which its workers become suspect, and removeNodeAfter
	// the time after which they are removed. The latter is longer because a node may lose its connection to the control
	// hosts for several seconds.
	suspectNodeAfter = 2500 * time.Millisecond
	removeNodeAfter  = 20 * time.Second
	// membershipGatherTime is how long a new leader collects the nodes' states before it reports memberships as complete.
	// Until then an absent worker may still exist.
	membershipGatherTime = 3 * time.Second
)

// completionWait is how long a new leader accepts no changes while it has fewer voters than wanted. Hosts that start together join
// within a second. A fleet that has fewer hosts, or lost some for good, accepts changes after this time.
const completionWait = 2 * time.Second

// bootstrapTerm is the term of the entry that bootstraps a fleet. The first leader has the next term.
const bootstrapTerm = 1

// leadership is the state that only the leader keeps, from the start of its term. None of it is stored: a new leader rebuilds
// it from the exchanges of the nodes and from the replicated state.
type leadership struct {
	term  uint64
	start time.Time
	owner *limiter.Owner
	nodes map[string]*nodeState
	// suspectNodes is the number of nodes whose workers are suspect.
	suspectNodes int
	services     map[string]*serviceState
	holders      holders
	aggregators  aggregators
	// sharedHosts is set once a node has reported that its host slows its upstream down.
	sharedHosts bool
	// carryoverEndRecorded is set once an entry that records the end of the carry-over from earlier leaders is proposed. It
	// is cleared if the proposal fails.
	carryoverEndRecorded bool
	// domainsPending is set while an entry that records failure domains is proposed.
	domainsPending bool
}

// nodeState is the state that a node reported in its last exchange.
type nodeState struct {
	incarnation  uint64
	workers      []*schema.Worker
	lastContact  time.Time
	revision     uint64
	adminAddress string
	domain       string
	// suspect is set while the node's workers are suspect.
	suspect bool
	// hasAllDemands is set once the node has reported all of its demands in this epoch.
	hasAllDemands bool
}

// serviceState is the membership of one service.
type serviceState struct {
	workers     map[string]*schema.Worker
	fingerprint uint64
}

// updateLeadership creates or drops the leader's state after a change of role or term. It fails pending proposals when this
// replica no longer leads.
func (c *Controller) updateLeadership(now time.Time) {
	if c.core.Role() != replicator.Leader && len(c.pending) > 0 {
		c.failPending()
	}
	if !c.core.IsReady() {
		if c.leading != nil {
			c.log.Info("leadershipLost", zap.Uint64("term", c.leading.term))
			c.leading = nil
			c.meter.leads.Update(0)
		}
		return
	}
	if c.leading != nil && c.leading.term == c.core.Term() {
		return
	}
	s := c.core.Status()
	c.leading = &leadership{
		term: s.Term, start: now, owner: limiter.NewOwner(now, c.carryover(), c.assert),
		nodes: map[string]*nodeState{}, services: map[string]*serviceState{}, holders: newHolders(c.machine.Holders(), now),
	}
	c.leading.refreshRates(c.machine, now)
	c.meter.leads.Update(1)
	c.log.Info("leadershipBegun", zap.Uint64("term", s.Term), zap.Uint64("applied", s.Applied))
	c.ensureTokenKey(now)
}

// carryover returns which grants of earlier epochs nodes may still hold.
func (c *Controller) carryover() limiter.Carryover {
	switch c.core.PreviousTerm() {
	case bootstrapTerm:
		return limiter.CarryoverNone
	case c.machine.CarryoverEndTerm():
		return limiter.CarryoverOne
	default:
		return limiter.CarryoverSeveral
	}
}

// recordCarryoverEnd proposes an entry that records the end of the carry-over from earlier leaders. It does so once per term,
// and again if the proposal fails.
func (c *Controller) recordCarryoverEnd(now time.Time) {
	if c.leading.carryoverEndRecorded || !c.leading.owner.CarryoverEnded(now) {
		return
	}
	l := c.leading
	cmd := &schema.Command{Change: &schema.Command_EndCarry{EndCarry: &schema.EndCarry{Term: l.term}}}
	l.carryoverEndRecorded = c.propose(cmd, now, func(_ applier.Outcome, ok bool) { l.carryoverEndRecorded = ok })
}

// ensureTokenKey proposes the first key for request tokens if there is none.
func (c *Controller) ensureTokenKey(now time.Time) {
	if c.machine.HasTokenKey() {
		return
	}
	c.propose(&schema.Command{
		RequestId: "first-token-key",
		Change:    &schema.Command_AddTokenKey{AddTokenKey: &schema.AddTokenKey{Secret: authenticator.NewSecret()}},
	}, now, func(applier.Outcome, bool) {})
}

// refreshRates passes the rate and burst in force of each limited client account to the owner.
func (l *leadership) refreshRates(m *applier.Machine, now time.Time) {
	for _, a := range m.Accounts() {
		p := m.Effective(resolver.AccountPath(a.GetId())).Policy
		if p.GetUnlimited() {
			continue
		}
		l.owner.SetRate(a.GetId(), p.GetRate(), p.GetBurst(), now)
	}
}

// runMaintenance runs the leader's periodic work, at most once in maintenanceInterval: it marks or removes unresponsive nodes
// and makes the due changes of holders and replicas.
func (c *Controller) runMaintenance(now time.Time) {
	if c.leading == nil || now.Before(c.nextMaintenance) {
		return
	}
	c.nextMaintenance = now.Add(maintenanceInterval)
	for name, n := range c.leading.nodes {
		switch sinceContact := now.Sub(n.lastContact); {
		case sinceContact > removeNodeAfter:
			c.log.Info("nodeLost", zap.String("node", name))
			c.leading.removeNode(name)
		case sinceContact > suspectNodeAfter && !n.suspect:
			c.log.Info("nodeSilent", zap.String("node", name))
			c.leading.markSuspect(n)
		}
	}
	c.meter.nodes.Update(int64(c.leading.liveNodes()))
	c.leading.refreshAggregators(now)
	c.reconcileHolders(now)
	c.recordCarryoverEnd(now)
	c.reconcileDomains(now)
	c.reconcileReplicas(now)
}

// reconcileReplicas starts the next change of the replicas, if one is due.
func (c *Controller) reconcileReplicas(now time.Time) {
	change := c.core.NextChange(c.wantedVoters(), now)
	if change == nil {
		return
	}
	if err := c.core.ChangeReplica(change, now); err == nil {
		c.log.Info("replicaChanged", zap.String("kind", change.GetKind().String()), zap.Uint64("id", change.GetId()))
	}
}

// wantedVoters returns the wanted number of voters. Zero means that all replicas vote.
func (c *Controller) wantedVoters() int {
	if n := int(c.cfg.GetToleratedLosses()); n > 0 {
		return 2*n + 1
	}
	return 0
}

// updateNode records a node's exchange and the workers that it reported.
func (l *leadership) updateNode(req *schema.SyncRequest, now time.Time) {
	n := l.nodes[req.GetNode()]
	if n == nil || n.incarnation != req.GetIncarnation() {
		l.removeNode(req.GetNode())
		n = &nodeState{incarnation: req.GetIncarnation()}
		l.nodes[req.GetNode()] = n
	}
	n.lastContact, n.revision, n.adminAddress = now, req.GetHaveRevision(), req.GetAdminAddress()
	n.domain = req.GetFailureDomain()
	l.setSuspect(n, false)
	if resolver.Fingerprint(n.workers) != resolver.Fingerprint(req.GetWorkers()) {
		l.removeWorkers(n)
		n.workers = req.GetWorkers()
		l.addWorkers(n)
	}
}

// recordAhead records an exchange without workers. It is no contact of a suspect node, whose workers are restored by the next
// regular exchange.
func (l *leadership) recordAhead(req *schema.SyncRequest, now time.Time) {
	n := l.nodes[req.GetNode()]
	if n == nil || n.incarnation != req.GetIncarnation() || n.suspect {
		return
	}
	n.lastContact, n.revision = now, req.GetHaveRevision()
}

// recordDemands records that a node has reported its demands in this epoch. It returns whether the leader has all of them, so
// that the next report may be partial, and whether this was the last complete report outstanding.
func (l *leadership) recordDemands(req *schema.SyncRequest) (partialAllowed, allReported bool) {
	n := l.nodes[req.GetNode()]
	isMember := n != nil && n.incarnation == req.GetIncarnation()
	if req.GetPartial() {
		return isMember && n.hasAllDemands, false
	}
	if isMember {
		n.hasAllDemands = true
	}
	return isMember, l.holders.recordReport(req.GetNode())
}

func (l *leadership) addWorkers(n *nodeState) {
	l.aggregators.stale = true
	for _, w := range n.workers {
		s := l.services[w.GetService()]
		if s == nil {
			s = &serviceState{workers: map[string]*schema.Worker{}}
			l.services[w.GetService()] = s
		}
		s.workers[w.GetNode()] = w
		s.fingerprint = resolver.Fingerprint(s.sortedWorkers())
	}
}

func (l *leadership) removeWorkers(n *nodeState) {
	l.aggregators.stale = true
	for _, w := range n.workers {
		s := l.services[w.GetService()]
		if s == nil {
			continue
		}
		delete(s.workers, w.GetNode())
		s.fingerprint = resolver.Fingerprint(s.sortedWorkers())
	}
}

// markSuspect marks the ready workers of an unresponsive node as suspect and removes its other workers. The node may only have
// lost its connection to the control hosts. Other nodes may still reach its workers, whose gates decide whether to accept
// requests.
func (l *leadership) markSuspect(n *nodeState) {
	l.removeWorkers(n)
	var workers []*schema.Worker
	for _, w := range n.workers {
		if w.GetState() == schema.UpstreamState_UPSTREAM_STATE_READY {
			w = proto.Clone(w).(*schema.Worker)
			w.State = schema.UpstreamState_UPSTREAM_STATE_SUSPECT
			workers = append(workers, w)
		}
	}
	n.workers = workers
	l.addWorkers(n)
	l.setSuspect(n, true)
}

func (l *leadership) setSuspect(n *nodeState, suspect bool) {
	if n.suspect == suspect {
		return
	}
	n.suspect = suspect
	if suspect {
		l.suspectNodes++
	} else {
		l.suspectNodes--
	}
}

// liveNodes returns the number of nodes that are not suspect.
func (l *leadership) liveNodes() int {
	return len(l.nodes) - l.suspectNodes
}

func (l *leadership) removeNode(name string) {
	if n := l.nodes[name]; n != nil {
		l.setSuspect(n, false)
		l.removeWorkers(n)
		delete(l.nodes, name)
	}
}

func (s *serviceState) sortedWorkers() []*schema.Worker {
	list := slices.Collect(maps.Values(s.workers))
	slices.SortFunc(list, func(a, b *schema.Worker) int { return strings.Compare(a.GetNode(), b.GetNode()) })
	return list
}

// isMembershipComplete reports whether every live node has had time to report its state.
func (l *leadership) isMembershipComplete(now time.Time) bool {
	return now.Sub(l.start) >= membershipGatherTime
}
