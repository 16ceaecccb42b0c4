// Package controller is the control role: one replica of the durable state, and on the leader the fleet's membership
// and the owner of every client account's tokens.
package controller

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/applier"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/replicator"
	"github.com/lavenderhub/lavenderhub/internal/storer"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// tickInterval is how often the replica is told the time.
	tickInterval = 10 * time.Millisecond
	// upkeepInterval is how often the leader looks after nodes and replicas.
	upkeepInterval = 100 * time.Millisecond
	// maxBatch bounds the work that one synced write waits for.
	maxBatch = 512
	// snapshotEvery is the number of entries after which the log is compacted.
	snapshotEvery = 5000
	// stopTimeout bounds the handing over of leadership before a planned stop.
	stopTimeout = time.Second
)

// ErrStopping is returned to calls that arrive while the process stops.
var ErrStopping = errors.New("the control host stops")

// Controller is one control replica. Its state belongs to one goroutine; calls hand it work.
type Controller struct {
	cfg    *schema.ControlSettings
	timer  *timer.Service
	log    *zap.Logger
	assert *asserter.Asserter
	pool   *dialer.Pool
	store  *storer.Store
	token  string
	fleet  string

	work  chan func(now time.Time)
	tomb  tomb.Tomb
	meter meters

	// The fields below belong to the control goroutine.
	core     *replicator.Core
	machine  *applier.Machine
	pending  map[uint64]proposal
	claims   claimBatch
	leading  *leadership
	upkeep   time.Time
	couriers map[uint64]*courier
	senders  map[uint64]netip.AddrPort
	seeds    []netip.AddrPort
}

// meters are the controller's metrics.
type meters struct {
	syncs    metrics.Timer
	work     metrics.Timer
	commands metrics.Counter
	claims   metrics.Counter
	writes   metrics.Timer
	nodes    metrics.Gauge
	leads    metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	return meters{
		syncs:    metrics.GetOrRegisterTimer("control.sync", r),
		work:     metrics.GetOrRegisterTimer("control.syncWork", r),
		commands: metrics.GetOrRegisterCounter("control.commands", r),
		claims:   metrics.GetOrRegisterCounter("control.claims", r),
		writes:   metrics.GetOrRegisterTimer("control.syncedWrite", r),
		nodes:    metrics.GetOrRegisterGauge("control.nodes", r),
		leads:    metrics.GetOrRegisterGauge("control.leads", r),
	}
}

// Parts are what a Controller works with.
type Parts struct {
	Settings *schema.ControlSettings
	Timer    *timer.Service
	Log      *zap.Logger
	Assert   *asserter.Asserter
	Registry metrics.Registry
	Pool     *dialer.Pool
	// OperatorToken lets operators in, FleetToken the fleet's processes. An empty FleetToken lets all in.
	OperatorToken string
	FleetToken    string
}

// New opens the data folder and restores the state. It returns an error when the folder can't be used.
func New(p Parts) (*Controller, error) {
	store, err := storer.Open(p.Settings.GetDataFolder(), p.Settings.GetName())
	if err != nil {
		return nil, err
	}
	c := &Controller{
		cfg: p.Settings, timer: p.Timer, log: p.Log, assert: p.Assert, pool: p.Pool, store: store,
		token: p.OperatorToken, fleet: p.FleetToken, work: make(chan func(time.Time), maxBatch),
		machine: applier.New(), pending: map[uint64]proposal{}, couriers: map[uint64]*courier{}, senders: map[uint64]netip.AddrPort{},
		meter: newMeters(p.Registry),
	}
	for _, text := range p.Settings.GetSeeds() {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			_ = store.Close()
			return nil, errors.Wrapf(err, "seed %q", text)
		}
		c.seeds = append(c.seeds, addr)
	}
	if err := c.restore(); err != nil {
		_ = store.Close()
		return nil, err
	}
	return c, nil
}

func (c *Controller) restore() error {
	saved, err := c.store.Load()
	if err != nil {
		return err
	}
	if len(saved.Snapshot.GetState()) > 0 {
		if err := c.machine.Restore(saved.Snapshot.GetState()); err != nil {
			return err
		}
	}
	now := c.timer.Now()
	c.core = replicator.New(c.store.Identity().GetId(), saved, now, replicator.WithAsserter(c.assert))
	return nil
}

// Run starts the control goroutine.
func (c *Controller) Run() {
	c.tomb.Go(c.loop)
	c.tomb.Go(c.seekFleet)
}

// Dead is closed when the controller has ended; Err tells why.
func (c *Controller) Dead() <-chan struct{} {
	return c.tomb.Dead()
}

// Err returns the reason of the end.
func (c *Controller) Err() error {
	return c.tomb.Err()
}

// Stop hands leadership over and ends the controller.
func (c *Controller) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	c.handOver(ctx)
	return c.Kill()
}

// Kill ends the controller without handing over.
func (c *Controller) Kill() error {
	c.tomb.Kill(nil)
	err := c.tomb.Wait()
	if closeErr := c.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// handOver moves leadership to another replica, if this one leads and another can.
func (c *Controller) handOver(ctx context.Context) {
	started := false
	ask := func(now time.Time) {
		started = c.core.ChangeReplica(&schema.ChangeReplica{Kind: schema.ChangeReplica_KIND_TRANSFER}, now) == nil
	}
	if err := c.do(ctx, ask); err != nil || !started {
		return
	}
	for ctx.Err() == nil {
		leads := false
		if err := c.do(ctx, func(time.Time) { leads = c.core.Status().Role == replicator.Leader }); err != nil || !leads {
			return
		}
		_ = c.timer.Sleep(ctx, tickInterval)
	}
}

// do runs a function on the control goroutine and waits for it.
func (c *Controller) do(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	run := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case c.work <- run:
	case <-ctx.Done():
		return ctx.Err()
	case <-c.tomb.Dying():
		return ErrStopping
	}
	select {
	case <-done:
		return nil
	case <-c.tomb.Dying():
		return ErrStopping
	}
}

// loop is the control goroutine.
func (c *Controller) loop() error {
	tick := c.timer.Every(tickInterval)
	defer tick.Stop()
	defer c.stopCouriers()
	defer c.failPending()
	for {
		select {
		case <-tick.C:
			c.core.Tick(c.timer.Now())
		case f := <-c.work:
			c.runBatch(f)
		case <-c.tomb.Dying():
			return nil
		}
		c.lookAfter(c.timer.Now())
		if err := c.flush(); err != nil {
			return err
		}
	}
}

// runBatch runs one piece of work and what else waits, so that one synced write serves them all.
func (c *Controller) runBatch(f func(now time.Time)) {
	now := c.timer.Now()
	f(now)
	for range maxBatch {
		select {
		case f = <-c.work:
			f(now)
		default:
			return
		}
	}
}

// flush carries out what the replica asks for until it asks for nothing more.
func (c *Controller) flush() error {
	c.proposeClaims()
	for {
		o := c.core.TakeOutput()
		if o.IsEmpty() {
			break
		}
		if err := c.carryOut(&o); err != nil {
			return err
		}
	}
	c.noteLeadership(c.timer.Now())
	return c.compact()
}

func (c *Controller) carryOut(o *replicator.Output) error {
	c.post(o.Appends)
	if o.HardState != nil || o.Snapshot != nil || len(o.Entries) > 0 {
		began := c.timer.Now()
		if err := c.store.Save(o); err != nil {
			return err
		}
		c.meter.writes.UpdateSince(began)
	}
	c.core.MarkSynced()
	c.post(o.Messages)
	if o.Snapshot != nil {
		if err := c.machine.Restore(o.Snapshot.GetState()); err != nil {
			return err
		}
	}
	return c.apply(o.Committed)
}

func (c *Controller) apply(entries []*schema.LogEntry) error {
	for _, e := range entries {
		before := c.machine.Revision()
		var out applier.Outcome
		if e.GetKind() == schema.EntryKind_ENTRY_KIND_COMMAND {
			var err error
			if out, err = c.machine.Apply(e.GetIndex(), e.GetData()); err != nil {
				return err
			}
		}
		c.assert.Check(asserter.VersionNeverReverts, c.machine.Revision() >= before, "")
		if c.machine.Revision() != before && c.leading != nil {
			c.leading.refreshTerms(c.machine, c.timer.Now())
		}
		c.resolve(e, out)
	}
	return nil
}

func (c *Controller) compact() error {
	if c.core.AppliedSinceSnapshot() < snapshotEvery {
		return nil
	}
	snap := c.core.Compact(c.core.Status().Applied, c.machine.Snapshot())
	c.log.Info("logCompacted", zap.Uint64("index", snap.GetIndex()), zap.Int("bytes", len(snap.GetState())))
	return c.store.SaveSnapshot(snap)
}

// SetSeeds replaces the addresses at which other control hosts may be found.
func (c *Controller) SetSeeds(seeds []netip.AddrPort) {
	// A process that stops needs no seeds.
	_ = c.do(context.Background(), func(time.Time) { c.seeds = seeds })
}

// Address returns the address that nodes, operators and other replicas use.
func (c *Controller) Address() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(c.cfg.GetAddress())
	return addr
}

// leaderAddress returns the address of the leader, or nothing.
func (c *Controller) leaderAddress() string {
	s := c.core.Status()
	for _, r := range s.Replicas {
		if r.GetId() == s.Leader {
			return r.GetAddress()
		}
	}
	return ""
}
