package experimenter

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/disturber"
	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/reporter"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

// dayLoad is the part of each account's rate that callers send on a day of failures.
const dayLoad = 0.35

// disaster is one of the brief's failures.
type disaster struct {
	name string
	act  func(ctx context.Context, d *day) error
}

var disasters = []disaster{
	{"deep service slows, demand surges, callers send again hard", surge},
	{"key withdrawn from a connected caller", withdrawConnected},
	{"control host isolated in silence", isolateLeader},
	{"operators race with equal versions and resend", raceOperators},
	{"second control host lost right after a repair", loseTwo},
	{"open connections go silent", silenceConnections},
	{"every node stopped and started in turn", stopNodes},
	{"slow deep service and isolated control host together", func(ctx context.Context, d *day) error {
		setSlowdown(d.fleet, "corpus", slowdown)
		err := isolateLeader(ctx, d)
		setSlowdown(d.fleet, "corpus", 100)
		return err
	}},
}

// day is a run through the failures.
type day struct {
	env     *Env
	fleet   *runner.Fleet
	network *disturber.Network
	spares  int
}

// runDay goes through all failures twice, on a fleet under load, and shows the brief's measures and how often each
// invariant was checked. A broken invariant ends the process.
func runDay(ctx context.Context, e *Env) error {
	network := disturber.New()
	cfg := dictionaryFleet()
	fleet, err := runner.StartFleet(ctx, cfg, e.Folder+"/day", e.Log, runner.WithDialer(network.Dial))
	if err != nil {
		return err
	}
	defer fleet.Kill()
	d := &day{env: e, fleet: fleet, network: network}
	const longest = 15 * time.Minute
	l, err := loader.New(d.plan(longest), e.Timer)
	if err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var result *loader.Result
	g := newGroup()
	began := e.Timer.Now()
	g.run(func() { result = l.Run(loadCtx) })
	err = d.disasters(ctx)
	took := e.Timer.Since(began)
	stopLoad()
	g.wait()
	if err != nil {
		return err
	}
	d.report(result, took)
	return nil
}

// dictionaryFleet is four services deep enough for the failures, sized as Shabdakosh's.
func dictionaryFleet() *schema.FleetSettings {
	cfg := &schema.FleetSettings{Services: []*schema.FleetService{
		service("headwords", 100, millis(8, 10, 15, 25), "corpus"),
		service("audio", 80, millis(20, 20, 30, 40)),
		service("editorial", 50, millis(15, 15, 20, 20), "headwords"),
		service("corpus", 20, millis(10, 12, 20, 30)),
	}}
	for i, rate := range []float64{300, 200, 80, 60, 40, 40, 40, 40} {
		cfg.Accounts = append(cfg.Accounts, fleetAccount(accountName(i), rate, 2*rate))
	}
	return cfg
}

// plan is a steady load of reads and submissions under all accounts.
func (d *day) plan(length time.Duration) loader.Plan {
	p := loader.Plan{
		Targets: callerAddresses(d.fleet, "audio"), Duration: length, Seed: d.env.Seed, Timeout: callerTimeout,
		Resends: 2, ResendPause: 100 * time.Millisecond,
	}
	for i, k := range d.fleet.Keys {
		rate := dayLoad * dictionaryFleet().GetAccounts()[i].GetPolicy().GetRate()
		p.Streams = append(p.Streams,
			loader.Stream{Account: k.Account, Key: k.Key, Rate: 0.6 * rate, Method: http.MethodGet, Path: "/headwords/a"},
			loader.Stream{Account: k.Account, Key: k.Key, Rate: 0.3 * rate, Method: http.MethodGet, Path: "/audio/a"},
			loader.Stream{Account: k.Account, Key: k.Key, Rate: 0.1 * rate, Method: http.MethodPost, Path: "/editorial/a", Once: true})
	}
	return p
}

func (d *day) disasters(ctx context.Context) error {
	calm := d.env.span(4 * time.Second)
	for round := range 2 {
		for _, x := range disasters {
			if err := d.env.Timer.Sleep(ctx, calm); err != nil {
				return err
			}
			if err := x.act(ctx, d); err != nil {
				return errors.Wrapf(err, "round %d, %s", round+1, x.name)
			}
			d.env.note("failure brought about", x.name, "", "round %d", round+1)
		}
	}
	return d.env.Timer.Sleep(ctx, calm)
}

// surge slows the deepest service while further callers come who send again hard.
func surge(ctx context.Context, d *day) error {
	setSlowdown(d.fleet, "corpus", slowdown)
	length := d.env.span(10 * time.Second)
	p := d.plan(length)
	p.Seed += 1000
	p.Resends = 5
	for i := range p.Streams {
		p.Streams[i].Rate *= surgeFactor - 1
	}
	l, err := loader.New(p, d.env.Timer)
	if err != nil {
		return err
	}
	l.Run(ctx)
	setSlowdown(d.fleet, "corpus", 100)
	return nil
}

// withdrawConnected makes an account, calls under its key, withdraws it, and waits until every node refuses it.
func withdrawConnected(ctx context.Context, d *day) error {
	d.spares++
	id := fmt.Sprintf("spare-%d", d.spares)
	key, keyID := authenticator.NewKey()
	digest := authenticator.KeyDigest(key)
	commands := []*schema.Command{
		{Change: &schema.Command_CreateAccount{CreateAccount: &schema.CreateAccount{Id: id}}},
		{Change: &schema.Command_IssueKey{IssueKey: &schema.IssueKey{Account: id, KeyId: keyID, Digest: digest[:]}}},
	}
	for _, cmd := range commands {
		if _, err := d.fleet.Operator().Change(ctx, cmd); err != nil {
			return err
		}
	}
	works := func(w *runner.FleetWorker) bool { return d.env.ask(ctx, w, key) == http.StatusOK }
	for _, w := range d.fleet.Workers {
		if err := d.env.await(ctx, func() bool { return works(w) }); err != nil {
			return errors.Wrapf(err, "node %s answers a working key with %s", w.Settings.GetName(), d.env.explain(ctx, w, key))
		}
	}
	cmd := &schema.Command{Change: &schema.Command_WithdrawKey{WithdrawKey: &schema.WithdrawKey{KeyId: keyID}}}
	if _, err := d.fleet.Operator().Change(ctx, cmd); err != nil {
		return err
	}
	began := d.env.Timer.Now()
	for _, w := range d.fleet.Workers {
		if err := d.env.await(ctx, func() bool { return d.env.ask(ctx, w, key) == http.StatusUnauthorized }); err != nil {
			return err
		}
	}
	d.env.note("withdrawal to refused by all nodes", "under load", "≤ 3 s", "%s", round(d.env.Timer.Since(began)))
	return nil
}

// isolateLeader cuts the leader off in silence for a while.
func isolateLeader(ctx context.Context, d *day) error {
	leader, err := d.leader(ctx)
	if err != nil {
		return err
	}
	d.network.Isolate(leader.Settings.GetName(), leader.Address())
	defer d.network.Heal()
	_, err = d.fleet.Operator().Change(ctx, setRate("account/"+accountName(7), 40))
	if err != nil {
		return err
	}
	return d.env.Timer.Sleep(ctx, d.env.span(10*time.Second))
}

func (d *day) leader(ctx context.Context) (*runner.FleetControl, error) {
	var leader *runner.FleetControl
	err := d.env.await(ctx, func() bool {
		leader = d.fleet.Leader(ctx)
		return leader != nil
	})
	return leader, err
}

// raceOperators sends two changes under one version, and both again.
func raceOperators(ctx context.Context, d *day) error {
	path := "account/" + accountName(6)
	var reply *schema.GetBranchReply
	err := d.fleet.Operator().Read(ctx, func(ctx context.Context, a schema.Admin) (err error) {
		reply, err = a.GetBranch(ctx, &schema.GetBranchRequest{Path: path})
		return err
	})
	if err != nil {
		return err
	}
	commands := []*schema.Command{setRate(path, 40), setRate(path, 41)}
	results := make([]*schema.Result, len(commands))
	errs := make([]error, len(commands))
	g := newGroup()
	for i, cmd := range commands {
		cmd.RequestId = authenticator.NewHandle()
		cmd.IfVersion = proto.Uint64(reply.GetBranch().GetVersion())
		g.run(func() { results[i], errs[i] = d.fleet.NewOperator().Change(ctx, cmd) })
	}
	g.wait()
	wins := 0
	for i, r := range results {
		if errs[i] != nil {
			return errs[i]
		}
		again, err := d.fleet.Operator().Change(ctx, commands[i])
		if err != nil {
			return err
		}
		if !proto.Equal(again, r) {
			return errors.New("a resend got another result")
		}
		if r.GetStatus() == schema.ResultStatus_RESULT_STATUS_OK {
			wins++
		}
	}
	if wins != 1 {
		return errors.Errorf("%d operators won", wins)
	}
	return nil
}

// loseTwo empties one control host's disk, waits for its repair, and kills another.
func loseTwo(ctx context.Context, d *day) error {
	const victim, second = 0, 1
	status, err := d.fleet.Controls[victim].Status(ctx)
	if err != nil {
		return err
	}
	_ = d.fleet.Controls[victim].Kill()
	if err := os.RemoveAll(d.fleet.Controls[victim].Settings.GetDataFolder()); err != nil {
		return err
	}
	if err := d.fleet.StartControl(victim); err != nil {
		return err
	}
	if err := d.env.await(ctx, func() bool { return votes(ctx, d.fleet.Controls[victim], status.GetId()) }); err != nil {
		return err
	}
	_ = d.fleet.Controls[second].Kill()
	if _, err := d.fleet.Operator().Change(ctx, setRate("account/"+accountName(5), 40)); err != nil {
		return err
	}
	_ = d.env.Timer.Sleep(ctx, d.env.span(3*time.Second))
	return d.fleet.StartControl(second)
}

// votes reports whether a control host is a voter under another identity than its old one.
func votes(ctx context.Context, c *runner.FleetControl, oldID uint64) bool {
	s, err := c.Status(ctx)
	if err != nil || s.GetId() == oldID {
		return false
	}
	return slices.ContainsFunc(s.GetReplicas(), func(r *schema.ReplicaInfo) bool { return r.GetId() == s.GetId() && !r.GetLearner() })
}

func silenceConnections(ctx context.Context, d *day) error {
	for _, w := range d.fleet.Workers {
		d.network.Silence(w.Settings.GetName())
	}
	return d.env.Timer.Sleep(ctx, d.env.span(3*time.Second))
}

// stopNodes stops and starts every node that no caller of the load uses as its entry.
func stopNodes(ctx context.Context, d *day) error {
	for _, w := range d.fleet.Workers {
		if w.Service == "audio" {
			continue
		}
		if err := w.Stop(); err != nil {
			return err
		}
		if err := d.fleet.StartNode(w); err != nil {
			return err
		}
		if err := d.env.await(ctx, func() bool { return w.IsReady() && w.HasUpstream() }); err != nil {
			return err
		}
	}
	return nil
}

// report shows the brief's four measures and the invariants.
func (d *day) report(r *loader.Result, took time.Duration) {
	e := d.env
	e.note("length", "all failures twice", "", "%s", took.Round(time.Second))
	e.note("goodput of whole requests", "steady callers, through all failures", "", "%.2f %% of %d",
		100*float64(r.Total.Good)/float64(r.Total.Sent), r.Total.Sent)
	worst, name := 101.0, ""
	for account, f := range r.Accounts {
		if share := 100 * float64(f.Good) / float64(f.Sent); share < worst {
			worst, name = share, account
		}
	}
	e.note("worst-served client account", name, "", "%.2f %% good", worst)
	refused := uint64(0)
	var reports []*schema.BurnReport
	for _, w := range d.fleet.Workers {
		reports = append(reports, w.Report())
	}
	for _, row := range reporter.Merge(reports).Rows {
		refused += row.Windows[len(row.Windows)-1].RefusedWithinRate
	}
	e.note("refused although within rate", "", "", "%d", refused)
	e.note("not good, by reason", "after resends", "", "%v", r.Total.Reasons)
	e.note("answers that were not whole", "", "0", "%d", r.Total.Broken)
	e.note("editorial submissions run twice", "", "0", "%d", d.fleet.Runs["editorial"].Tally(http.MethodPost).Repeated)
	for _, c := range d.fleet.Assert.Counts() {
		e.note("invariant "+c.Invariant.String(), "", "0 broken", "checked %d times, %d broken", c.Checked, c.Broken)
	}
}
