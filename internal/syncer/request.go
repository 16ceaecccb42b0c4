package syncer

import (
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// exchangeKind determines what a request contains.
type exchangeKind int

const (
	// regular exchanges contain the node's workers and watches, and the accounts whose report is due.
	regular exchangeKind = iota
	// ahead exchanges precede the next regular one. They contain the watches, and only the accounts that have news.
	ahead
	// leaving exchanges give up everything.
	leaving
)

// newRequest returns the request of an exchange. It contains all accounts until the leader has them.
func (s *Syncer) newRequest(kind exchangeKind) *schema.SyncRequest {
	req := &schema.SyncRequest{
		Node: s.Node.Name, Incarnation: s.incarnation, HaveRevision: s.viewBuilder.Revision(), Epoch: s.epoch,
		Leaving: kind == leaving, Partial: kind != leaving && s.partialAllowed,
		AggregatorsFingerprint: s.aggregatorsFingerprint, SharedHost: s.Announcer.HasSharedHost(),
	}
	req.Ahead = req.Partial && kind == ahead
	if req.Ahead {
		s.meter.ahead.Inc(1)
	} else {
		s.addWorkers(req)
	}
	if !req.GetAhead() {
		req.FailureDomain = s.Node.FailureDomain
	}
	s.addWatches(req)
	s.addDemands(req)
	return req
}

// addWorkers adds the node's workers.
func (s *Syncer) addWorkers(req *schema.SyncRequest) {
	if s.Node.AdminAddress.IsValid() {
		req.AdminAddress = s.Node.AdminAddress.String()
	}
	for _, w := range s.Announcer.Workers() {
		w.Node, w.FailureDomain, w.Region = s.Node.Name, s.Node.FailureDomain, s.Node.Region
		w.PeerAddress = s.Node.PeerAddress.String()
		req.Workers = append(req.Workers, w)
		// Callers of the local upstream's service may reach this node too.
		s.watch(w.GetService())
	}
}

// addWatches adds the services whose workers the node watches. A request that waited for a token is routed next, and needs
// workers that have just become ready.
func (s *Syncer) addWatches(req *schema.SyncRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.watches {
		req.Watches = append(req.Watches, &schema.Watch{Service: service, Fingerprint: resolver.Fingerprint(s.workers[service])})
	}
}

func (s *Syncer) addDemands(req *schema.SyncRequest) {
	s.buckets.Range(func(k, v any) bool {
		account, b := k.(string), v.(*limiter.Bucket)
		if (req.GetAhead() && !b.HasNews()) || (req.GetPartial() && !b.IsReportDue(s.epoch)) {
			return true
		}
		if grantReq, ok := b.GrantRequest(account, s.epoch); ok {
			req.Demands = append(req.Demands, newDemand(grantReq))
		} else if b.IsIdle() {
			s.buckets.Delete(account)
		}
		return true
	})
}

func newDemand(r limiter.GrantRequest) *schema.Demand {
	d := &schema.Demand{
		Account: r.Account, Rate: r.Demand, Want: r.Want, Settled: r.Settled, Unspent: r.Unspent,
		Waiting:  uint32(r.Waiting),
		Lease:    &schema.Lease{Rate: r.Lease.Rate, Room: r.Lease.Capacity, Sequence: r.Lease.Sequence},
		Overflow: r.Overflow, Importance: r.Importance, Carried: r.Carryover,
	}
	for _, m := range r.Marks {
		d.Marks = append(d.Marks, &schema.SettledMark{AgeMicros: uint64(m.Age.Microseconds()), Settled: m.Settled})
	}
	return d
}
