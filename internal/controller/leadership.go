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
	// nodeLifetime is the silence after which a node's workers are suspect, and suspectLifetime the one after which they are
	// taken off: cuts of the way to the control hosts last for seconds.
	nodeLifetime    = 2500 * time.Millisecond
	suspectLifetime = 20 * time.Second
	// gatherTime is how long a new leader waits for the nodes' states before it says that workers are gone.
	gatherTime = 3 * time.Second
)

// foundingTerm is the term of the entry that founds a fleet; its first leader has the next one.
const foundingTerm = 1

// leadership is the state that only the leader keeps, from the start of its term. Nodes and other replicas can give
// all of it again.
type leadership struct {
	term  uint64
	began time.Time
	owner *limiter.Owner
	nodes map[string]*nodeState
	// silent counts the nodes whose workers are suspect.
	silent   int
	services map[string]*serviceState
	holders  holders
	// carryNoted tells that the end of what earlier leaders granted is noted in the log, or on its way there.
	carryNoted bool
}

// nodeState is what a node said last.
type nodeState struct {
	incarnation uint64
	workers     []*schema.Worker
	seen        time.Time
	revision    uint64
	admin       string
	// silent tells that the node's workers are suspect.
	silent bool
}

// serviceState is the membership of one service.
type serviceState struct {
	workers     map[string]*schema.Worker
	fingerprint uint64
}

// noteLeadership makes or drops the leader's own state when the role changed.
func (c *Controller) noteLeadership(now time.Time) {
	s := c.core.Status()
	if s.Role != replicator.Leader && len(c.pending) > 0 {
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
	if c.leading != nil && c.leading.term == s.Term {
		return
	}
	c.leading = &leadership{
		term: s.Term, began: now, owner: limiter.NewOwner(now, c.carry(), c.assert),
		nodes: map[string]*nodeState{}, services: map[string]*serviceState{}, holders: newHolders(c.machine.Holders(), now),
	}
	c.leading.refreshTerms(c.machine, now)
	c.meter.leads.Update(1)
	c.log.Info("leadershipBegun", zap.Uint64("term", s.Term), zap.Uint64("applied", s.Applied))
	c.ensureTokenKey(now)
}

// carry returns what nodes may hold of earlier owners' grants.
func (c *Controller) carry() limiter.Carryover {
	switch c.core.PreviousTerm() {
	case foundingTerm:
		return limiter.CarryoverNone
	case c.machine.CarryoverEndTerm():
		return limiter.CarryoverOne
	default:
		return limiter.CarryoverSeveral
	}
}

// noteCarry tells the log once that nothing is left of what earlier leaders granted.
func (c *Controller) noteCarry(now time.Time) {
	if c.leading.carryNoted || !c.leading.owner.CarryoverEnded(now) {
		return
	}
	l := c.leading
	cmd := &schema.Command{Change: &schema.Command_EndCarry{EndCarry: &schema.EndCarry{Term: l.term}}}
	l.carryNoted = c.propose(cmd, now, func(_ applier.Outcome, ok bool) { l.carryNoted = ok })
}

// ensureTokenKey makes the first key for request tokens.
func (c *Controller) ensureTokenKey(now time.Time) {
	if c.machine.HasTokenKey() {
		return
	}
	c.propose(&schema.Command{
		RequestId: "first-token-key",
		Change:    &schema.Command_AddTokenKey{AddTokenKey: &schema.AddTokenKey{Secret: authenticator.NewSecret()}},
	}, now, func(applier.Outcome, bool) {})
}

// refreshTerms tells the owner the terms in force.
func (l *leadership) refreshTerms(m *applier.Machine, now time.Time) {
	for _, a := range m.Accounts() {
		p := m.Effective(resolver.AccountPath(a.GetId())).Policy
		if p.GetUnlimited() {
			continue
		}
		l.owner.SetRate(a.GetId(), p.GetRate(), p.GetBurst(), now)
	}
}

// lookAfter is the leader's upkeep: silent nodes, and learners that can be promoted.
func (c *Controller) lookAfter(now time.Time) {
	if c.leading == nil || now.Before(c.upkeep) {
		return
	}
	c.upkeep = now.Add(upkeepInterval)
	for name, n := range c.leading.nodes {
		switch silence := now.Sub(n.seen); {
		case silence > suspectLifetime:
			c.log.Info("nodeLost", zap.String("node", name))
			c.leading.removeNode(name)
		case silence > nodeLifetime && !n.silent:
			c.log.Info("nodeSilent", zap.String("node", name))
			c.leading.suspect(n)
		}
	}
	c.meter.nodes.Update(int64(c.leading.live()))
	c.adjustHolders(now)
	c.noteCarry(now)
	c.adjustReplicas(now)
}

// adjustReplicas makes the next change of the replicas, if one is due.
func (c *Controller) adjustReplicas(now time.Time) {
	caughtUp := map[uint64]bool{}
	for _, r := range c.core.PromotableLearners(now) {
		caughtUp[r.GetId()] = true
	}
	var members []member
	for _, r := range c.core.Status().Replicas {
		members = append(members, member{
			id: r.GetId(), name: r.GetName(), learner: r.GetLearner(), caughtUp: caughtUp[r.GetId()], silence: c.core.SinceContact(r.GetId(), now),
		})
	}
	change := nextChange(members, c.wantedVoters())
	if change == nil {
		return
	}
	if err := c.core.ChangeReplica(change, now); err == nil {
		c.log.Info("replicaChanged", zap.String("kind", change.GetKind().String()), zap.Uint64("id", change.GetId()))
	}
}

// wantedVoters returns how many replicas shall vote; zero means all.
func (c *Controller) wantedVoters() int {
	if n := int(c.cfg.GetToleratedLosses()); n > 0 {
		return 2*n + 1
	}
	return 0
}

// noteNode takes in what a node says of its upstreams.
func (l *leadership) noteNode(req *schema.SyncRequest, now time.Time) {
	n := l.nodes[req.GetNode()]
	if n == nil || n.incarnation != req.GetIncarnation() {
		l.removeNode(req.GetNode())
		n = &nodeState{incarnation: req.GetIncarnation()}
		l.nodes[req.GetNode()] = n
	}
	n.seen, n.revision, n.admin = now, req.GetHaveRevision(), req.GetAdminAddress()
	l.setSilent(n, false)
	if resolver.Fingerprint(n.workers) != resolver.Fingerprint(req.GetWorkers()) {
		l.removeWorkers(n)
		n.workers = req.GetWorkers()
		l.addWorkers(n)
	}
}

func (l *leadership) addWorkers(n *nodeState) {
	for _, w := range n.workers {
		s := l.services[w.GetService()]
		if s == nil {
			s = &serviceState{workers: map[string]*schema.Worker{}}
			l.services[w.GetService()] = s
		}
		s.workers[w.GetNode()] = w
		s.fingerprint = resolver.Fingerprint(s.list())
	}
}

func (l *leadership) removeWorkers(n *nodeState) {
	for _, w := range n.workers {
		s := l.services[w.GetService()]
		if s == nil {
			continue
		}
		delete(s.workers, w.GetNode())
		s.fingerprint = resolver.Fingerprint(s.list())
	}
}

// suspect marks the workers of a node that went silent. It may be the way to the control hosts that is cut: other nodes may
// still reach its workers, whose gates know best whether they take work.
func (l *leadership) suspect(n *nodeState) {
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
	l.setSilent(n, true)
}

func (l *leadership) setSilent(n *nodeState, silent bool) {
	if n.silent == silent {
		return
	}
	n.silent = silent
	if silent {
		l.silent++
	} else {
		l.silent--
	}
}

// live returns the number of nodes that were heard of lately.
func (l *leadership) live() int {
	return len(l.nodes) - l.silent
}

func (l *leadership) removeNode(name string) {
	if n := l.nodes[name]; n != nil {
		l.setSilent(n, false)
		l.removeWorkers(n)
		delete(l.nodes, name)
	}
}

func (s *serviceState) list() []*schema.Worker {
	list := slices.Collect(maps.Values(s.workers))
	slices.SortFunc(list, func(a, b *schema.Worker) int { return strings.Compare(a.GetNode(), b.GetNode()) })
	return list
}

// isComplete reports whether every live node has had time to tell its state.
func (l *leadership) isComplete(now time.Time) bool {
	return now.Sub(l.began) >= gatherTime
}
