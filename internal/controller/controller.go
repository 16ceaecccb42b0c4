// Package controller implements the control host. Each control host runs one replica of the durable state; the leader also
// tracks the fleet's membership and grants the tokens of every client account.
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
	// tickInterval is the interval between ticks of the replica's clock.
	tickInterval = 10 * time.Millisecond
	// maintenanceInterval is how often the leader checks for unresponsive nodes and due changes of the replicas.
	maintenanceInterval = 100 * time.Millisecond
	// maxBatch bounds the calls that share one synced write.
	maxBatch = 512
	// maxBatchTime bounds the time for which ticks and messages of other replicas wait behind a batch.
	maxBatchTime = 5 * time.Millisecond
	// compactionThreshold is the number of log entries at which the log is compacted, and compactionBytes their size. The log is
	// kept in memory and, with the free pages of its file, on disk; both are a few hundred MB.
	compactionThreshold = 5000
	compactionBytes     = 8 << 20
	// stopTimeout bounds the leadership transfer before a planned stop.
	stopTimeout = time.Second
)

// ErrStopping is the error of calls to a controller that is stopping.
var ErrStopping = errors.New("the control host stops")

// Controller is one control replica. A single goroutine owns its state; calls pass functions to that goroutine.
type Controller struct {
	cfg           *schema.ControlSettings
	timer         *timer.Service
	log           *zap.Logger
	assert        *asserter.Asserter
	pool          *dialer.Pool
	store         *storer.Store
	operatorToken string
	fleetToken    string

	// urgent holds the messages of other replicas, which precede work: a late heartbeat costs the fleet its leader, a late
	// exchange one node a few milliseconds.
	urgent chan func(now time.Time)
	work   chan func(now time.Time)
	tomb   tomb.Tomb
	// exchangeSlots bounds the exchanges that are decoded at a time.
	exchangeSlots chan struct{}
	meter         meters

	// Only the control goroutine accesses the fields below.
	core    *replicator.Core
	machine *applier.Machine
	// pending holds the proposals by log index.
	pending map[uint64]proposal
	claims  claimBatch
	pace    pace
	// leading is nil unless this replica leads.
	leading         *leadership
	nextMaintenance time.Time
	replicaSenders  map[uint64]*replicaSender
	// learnedAddresses holds the addresses that other replicas sent with their messages while this replica was blank.
	learnedAddresses map[uint64]netip.AddrPort
	seeds            []netip.AddrPort
}

// meters holds the controller's metrics.
type meters struct {
	syncs    metrics.Timer
	work     metrics.Timer
	commands metrics.Counter
	claims   metrics.Counter
	demands  metrics.Counter
	// rejected counts the exchanges that were rejected because too many waited.
	rejected metrics.Counter
	lag      metrics.Timer
	writes   metrics.Timer
	nodes    metrics.Gauge
	leads    metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	return meters{
		syncs:    metrics.GetOrRegisterTimer("control.sync", r),
		work:     metrics.GetOrRegisterTimer("control.syncWork", r),
		commands: metrics.GetOrRegisterCounter("control.commands", r),
		demands:  metrics.GetOrRegisterCounter("control.demands", r),
		rejected: metrics.GetOrRegisterCounter("control.rejected", r),
		lag:      metrics.GetOrRegisterTimer("control.lag", r),
		claims:   metrics.GetOrRegisterCounter("control.claims", r),
		writes:   metrics.GetOrRegisterTimer("control.syncedWrite", r),
		nodes:    metrics.GetOrRegisterGauge("control.nodes", r),
		leads:    metrics.GetOrRegisterGauge("control.leads", r),
	}
}

// Parts holds the settings and dependencies of a Controller.
type Parts struct {
	Settings *schema.ControlSettings
	Timer    *timer.Service
	Log      *zap.Logger
	Assert   *asserter.Asserter
	Registry metrics.Registry
	Pool     *dialer.Pool
	// OperatorToken authenticates operators, FleetToken the processes of the fleet. An empty FleetToken disables the check
	// of the fleet's processes.
	OperatorToken string
	FleetToken    string
}

// New opens the data folder and restores the state. It returns an error if the folder can't be opened or read, or if a seed
// is not an address with a port.
func New(p Parts) (*Controller, error) {
	store, err := storer.Open(p.Settings.GetDataFolder(), p.Settings.GetName())
	if err != nil {
		return nil, err
	}
	c := &Controller{
		cfg: p.Settings, timer: p.Timer, log: p.Log, assert: p.Assert, pool: p.Pool, store: store,
		operatorToken: p.OperatorToken, fleetToken: p.FleetToken, work: make(chan func(time.Time), maxBatch),
		urgent: make(chan func(time.Time), maxBatch), exchangeSlots: make(chan struct{}, maxExchanges),
		machine: applier.New(), pending: map[uint64]proposal{}, replicaSenders: map[uint64]*replicaSender{},
		learnedAddresses: map[uint64]netip.AddrPort{}, meter: newMeters(p.Registry), pace: newPace(),
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

// Run starts the goroutines of the controller and returns.
func (c *Controller) Run() {
	c.tomb.Go(c.loop)
	c.tomb.Go(c.joinFleet)
}

// Dead returns a channel that is closed when the controller has ended. Err then returns the reason.
func (c *Controller) Dead() <-chan struct{} {
	return c.tomb.Dead()
}

// Err returns the error that ended the controller. It is nil after Stop or Kill, and tomb.ErrStillAlive before the end.
func (c *Controller) Err() error {
	return c.tomb.Err()
}

// Stop transfers leadership to another replica if possible, and ends the controller.
func (c *Controller) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	c.transferLeadership(ctx)
	return c.Kill()
}

// Kill ends the controller without a leadership transfer.
func (c *Controller) Kill() error {
	c.tomb.Kill(nil)
	err := c.tomb.Wait()
	if closeErr := c.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// transferLeadership transfers leadership to another replica if this one leads and another one has caught up. It waits until
// this replica no longer leads or ctx is done.
func (c *Controller) transferLeadership(ctx context.Context) {
	started := false
	transfer := func(now time.Time) {
		started = c.core.ChangeReplica(&schema.ChangeReplica{Kind: schema.ChangeReplica_KIND_TRANSFER}, now) == nil
	}
	if err := c.do(ctx, transfer); err != nil || !started {
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

// do runs f on the control goroutine and waits until it has returned. It returns ctx's error if ctx ends before f is queued,
// and ErrStopping if the controller begins to stop before f has returned.
func (c *Controller) do(ctx context.Context, f func(now time.Time)) error {
	return c.runOn(ctx, c.work, f)
}

// doUrgent is like do, but f precedes everything that do has queued.
func (c *Controller) doUrgent(ctx context.Context, f func(now time.Time)) error {
	return c.runOn(ctx, c.urgent, f)
}

func (c *Controller) runOn(ctx context.Context, queue chan<- func(time.Time), f func(now time.Time)) error {
	done := make(chan struct{})
	task := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case queue <- task:
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

// loop runs the control goroutine.
func (c *Controller) loop() error {
	tick := c.timer.Every(tickInterval)
	defer tick.Stop()
	defer c.stopReplicaSenders()
	defer c.failPending()
	for {
		select {
		case <-tick.C:
			c.tick(c.timer.Now())
		case f := <-c.urgent:
			f(c.timer.Now())
		case f := <-c.work:
			c.runBatch(f)
		case <-c.tomb.Dying():
			return nil
		}
		c.runUrgent(tick.C)
		c.runMaintenance(c.timer.Now())
		if err := c.flush(); err != nil {
			return err
		}
	}
}

func (c *Controller) tick(now time.Time) {
	c.meter.lag.Update(c.pace.recordTick(now))
	c.core.Tick(now)
}

// runBatch runs f and the functions queued behind it, so that they share one synced write. It ends early when messages of
// other replicas wait or its time is over.
func (c *Controller) runBatch(f func(now time.Time)) {
	start := c.timer.Now()
	f(start)
	for range maxBatch {
		now := c.timer.Now()
		if len(c.urgent) > 0 || now.Sub(start) >= maxBatchTime {
			return
		}
		select {
		case f = <-c.work:
			f(now)
		default:
			return
		}
	}
}

// runUrgent handles the tick and the messages of other replicas that wait.
func (c *Controller) runUrgent(tick <-chan time.Time) {
	for range maxBatch {
		select {
		case <-tick:
			c.tick(c.timer.Now())
		case f := <-c.urgent:
			f(c.timer.Now())
		default:
			return
		}
	}
}

// flush handles the replica's output until there is none left.
func (c *Controller) flush() error {
	c.proposeClaims()
	for {
		o := c.core.TakeOutput()
		if o.IsEmpty() {
			break
		}
		if err := c.handleOutput(&o); err != nil {
			return err
		}
	}
	c.updateLeadership(c.timer.Now())
	return c.compact()
}

func (c *Controller) handleOutput(o *replicator.Output) error {
	c.sendMessages(o.Appends)
	if o.HardState != nil || o.Snapshot != nil || len(o.Entries) > 0 {
		start := c.timer.Now()
		if err := c.store.Save(o); err != nil {
			return err
		}
		c.meter.writes.UpdateSince(start)
		c.pace.exclude(c.timer.Since(start))
	}
	c.core.MarkSynced()
	c.sendMessages(o.Messages)
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
			c.leading.refreshRates(c.machine, c.timer.Now())
		}
		c.completeProposal(e, out)
	}
	return nil
}

func (c *Controller) compact() error {
	if entries, bytes := c.core.AppliedSinceSnapshot(); entries < compactionThreshold && bytes < compactionBytes {
		return nil
	}
	snap := c.core.Compact(c.core.Status().Applied, c.machine.Snapshot())
	c.log.Info("logCompacted", zap.Uint64("index", snap.GetIndex()), zap.Int("bytes", len(snap.GetState())))
	return c.store.SaveSnapshot(snap)
}

// SetSeeds replaces the addresses at which this replica looks for other control hosts.
func (c *Controller) SetSeeds(seeds []netip.AddrPort) {
	// An error means that the controller is stopping and no longer needs seeds.
	_ = c.do(context.Background(), func(time.Time) { c.seeds = seeds })
}

// Address returns the address at which nodes, operators and other replicas reach this control host.
func (c *Controller) Address() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(c.cfg.GetAddress())
	return addr
}

// leaderAddress returns the address of the leader, or an empty string if no leader is known.
func (c *Controller) leaderAddress() string {
	return c.core.Leader().GetAddress()
}
