package syncer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/internal/router"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

// leader is a control host that grants tokens of all accounts but one.
type leader struct {
	schema.Control
	empty string

	mu       sync.Mutex
	epoch    uint64
	granted  map[string]float64
	complete map[uint64]bool
	requests []*schema.SyncRequest
}

func (l *leader) Sync(_ context.Context, req *schema.SyncRequest) (*schema.SyncReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, req)
	reply := &schema.SyncReply{
		Status: schema.ReplyStatus_REPLY_STATUS_OK, Epoch: l.epoch, Revision: 1, ExchangeRate: 50, IntervalMicros: 250000,
	}
	if req.GetEpoch() != l.epoch {
		return reply, nil
	}
	if !req.GetPartial() {
		l.complete[l.epoch] = true
	}
	reply.PartialAllowed = l.complete[l.epoch]
	for _, d := range req.GetDemands() {
		g := &schema.Grant{Account: d.GetAccount()}
		if d.GetAccount() != l.empty {
			g.Tokens = d.GetWant()
			l.granted[d.GetAccount()] += g.Tokens
		}
		g.End = l.granted[d.GetAccount()]
		reply.Grants = append(reply.Grants, g)
	}
	return reply, nil
}

// beginEpoch forgets what was granted, as a new leader does, and returns the number of requests so far.
func (l *leader) beginEpoch(epoch uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.granted = epoch, map[string]float64{}
	return len(l.requests)
}

func (l *leader) requestsFrom(i int) []*schema.SyncRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[i:]
}

// startSyncer starts a Syncer that exchanges with a leader, and holds tokens of several accounts.
func startSyncer(t *testing.T, l *leader, accounts int) *Syncer {
	t.Helper()
	l.complete = map[uint64]bool{}
	l.beginEpoch(1)
	clock := timer.New()
	security, err := dialer.NewSecurity(nil, clock, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving tomb.Tomb
	srv := security.Serve(&serving, ln, dialer.Peers, http.Handler(schema.NewControlServer(l)))
	pool := dialer.NewPool(security, clock)
	s := New(Parts{
		Node: Node{Name: "n"}, ControlAddresses: []netip.AddrPort{srv.Addr()}, Timer: clock, Log: zap.NewNop(),
		Registry: metrics.NewRegistry(), Pool: pool, Router: router.New("n", "", ""), Announcer: announcer.New(clock, nil),
	})
	for i := range accounts {
		s.Bucket(fmt.Sprintf("account-%d", i))
	}
	s.Run()
	t.Cleanup(func() {
		_ = s.Kill()
		pool.Close()
		_ = srv.Close()
	})
	return s
}

// A shortage of one account must not make the leader work on all others.
func TestShortageOfOneAccountRepeatsNoOther(t *testing.T) {
	const accounts, span = 74, 2 * time.Second
	l := &leader{empty: "account-0"}
	s := startSyncer(t, l, accounts)
	time.Sleep(time.Second)
	first := len(l.requestsFrom(0))
	for start := time.Now(); time.Since(start) < span; {
		s.Bucket("account-0").Take(t.Context(), 0, 20*time.Millisecond, 20*time.Millisecond)
	}
	demands, size := 0, 0
	requests := l.requestsFrom(first)
	for _, r := range requests {
		demands += len(r.GetDemands())
		size += proto.Size(r)
	}
	// Each exchange names the short account, and each account is reported about once a second.
	if limit := len(requests) + accounts*4; demands > limit || len(requests) < 20 {
		t.Errorf("%d exchanges with %d demands and %d bytes, want at least 20 exchanges and at most %d demands",
			len(requests), demands, size, limit)
	}
}

// A new leader counts a node's tokens of earlier epochs only after a report of all of them.
func TestNewEpochGetsAllDemands(t *testing.T) {
	const accounts = 10
	l := &leader{}
	s := startSyncer(t, l, accounts)
	time.Sleep(700 * time.Millisecond)
	first := l.beginEpoch(2)
	for start := time.Now(); time.Since(start) < time.Second; {
		s.Bucket("account-0").Take(t.Context(), 0, 5*time.Millisecond, 5*time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	var inEpoch []*schema.SyncRequest
	for _, r := range l.requestsFrom(first) {
		if r.GetEpoch() == 2 {
			inEpoch = append(inEpoch, r)
		}
	}
	if len(inEpoch) < 2 {
		t.Fatalf("%d exchanges in the new epoch, want at least 2", len(inEpoch))
	}
	if r := inEpoch[0]; r.GetPartial() || r.GetAhead() || len(r.GetDemands()) != accounts {
		t.Errorf("first exchange of the epoch: partial %t, ahead %t, %d demands, want all %d",
			r.GetPartial(), r.GetAhead(), len(r.GetDemands()), accounts)
	}
	if got := s.Bucket("account-0").State(); got.GrantAge > limiter.GrantLifetime {
		t.Errorf("the last grant is %v old", got.GrantAge)
	}
}

// TestTokenWakeupDelaysRegularExchange guards against drains that wait because a request also waits for a token.
func TestTokenWakeupDelaysRegularExchange(t *testing.T) {
	for range 50 {
		s := New(Parts{Timer: timer.New(), Log: zap.NewNop(), Registry: metrics.NewRegistry()})
		s.regularAt = s.Timer.Now().Add(time.Minute)
		s.wakeForTokens()
		s.Wake()
		if kind := s.waitForNext(t.Context(), nil); kind != regular {
			t.Fatalf("next exchange of kind %d, want a regular one", kind)
		}
	}
}
