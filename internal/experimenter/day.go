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
	"github.com/lavenderhub/lavenderhub/internal/injector"
	"github.com/lavenderhub/lavenderhub/internal/loader"
	"github.com/lavenderhub/lavenderhub/internal/reporter"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

// dayLoadShare is the share of each account's rate that callers send during the day experiment.
const dayLoadShare = 0.35

// failure is a failure scenario.
type failure struct {
	name   string
	inject func(ctx context.Context, d *dayRun) error
}

var failures = []failure{
	{"deepest service slow during a surge with client retries", injectSurge},
	{"key withdrawn from a connected caller", withdrawConnectedKey},
	{"leading control host partitioned without connection errors", isolateLeader},
	{"concurrent operator changes to one version, then repeated", raceOperators},
	{"second control host lost right after the repair of the first", loseSecondHost},
	{"open connections stop delivering data", blackholeConnections},
	{"every node except the entry nodes restarted in turn", restartNodes},
	{"deepest service slow while the leading control host is partitioned", func(ctx context.Context, d *dayRun) error {
		setServiceTimePercent(d.fleet, "corpus", slowdownPercent)
		err := isolateLeader(ctx, d)
		setServiceTimePercent(d.fleet, "corpus", 100)
		return err
	}},
}

// dayRun is the state of one run of the day experiment.
type dayRun struct {
	env             *Env
	fleet           *runner.Fleet
	network         *injector.Network
	createdAccounts int
}

// runDay injects every failure twice into a fleet under load, and records goodput, refusals and duplicate executions, and
// how often each invariant was checked. A violated invariant ends the process.
func runDay(ctx context.Context, e *Env) error {
	network := injector.New()
	cfg := dictionaryFleet()
	fleet, err := runner.StartFleet(ctx, cfg, e.Folder+"/day", e.Log, runner.WithDialer(network.Dial))
	if err != nil {
		return err
	}
	defer fleet.Kill()
	d := &dayRun{env: e, fleet: fleet, network: network}
	const maxDuration = 15 * time.Minute
	l, err := loader.New(d.plan(maxDuration), e.Timer)
	if err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var result *loader.Result
	g := newGroup()
	start := e.Timer.Now()
	g.start(func() { result = l.Run(loadCtx) })
	err = d.injectFailures(ctx)
	took := e.Timer.Since(start)
	stopLoad()
	g.wait()
	if err != nil {
		return err
	}
	d.reportResult(result, took)
	return nil
}

// dictionaryFleet returns a fleet of four services, about the size of the one in examples/shabdakosh.jsonc, with the nested
// calls that the failure scenarios need.
func dictionaryFleet() *schema.FleetSettings {
	cfg := &schema.FleetSettings{Services: []*schema.FleetService{
		fleetService("headwords", 100, millis(8, 10, 15, 25), "corpus"),
		fleetService("audio", 80, millis(20, 20, 30, 40)),
		fleetService("editorial", 50, millis(15, 15, 20, 20), "headwords"),
		fleetService("corpus", 20, millis(10, 12, 20, 30)),
	}}
	for i, rate := range []float64{300, 200, 80, 60, 40, 40, 40, 40} {
		cfg.Accounts = append(cfg.Accounts, fleetAccount(accountName(i), rate, 2*rate))
	}
	return cfg
}

// plan returns a steady load of reads and submissions from all accounts.
func (d *dayRun) plan(duration time.Duration) loader.Plan {
	p := loader.Plan{
		Targets: callerAddresses(d.fleet, "audio"), Duration: duration, Seed: d.env.Seed, Timeout: callerTimeout,
		ClientRetries: 2, ClientRetryDelay: 100 * time.Millisecond,
	}
	for i, k := range d.fleet.Keys {
		rate := dayLoadShare * dictionaryFleet().GetAccounts()[i].GetPolicy().GetRate()
		p.Streams = append(p.Streams,
			loader.Stream{Account: k.Account, Key: k.Key, Rate: 0.6 * rate, Method: http.MethodGet, Path: "/headwords/a"},
			loader.Stream{Account: k.Account, Key: k.Key, Rate: 0.3 * rate, Method: http.MethodGet, Path: "/audio/a"},
			loader.Stream{Account: k.Account, Key: k.Key, Rate: 0.1 * rate, Method: http.MethodPost, Path: "/editorial/a", UseIdempotencyKey: true})
	}
	return p
}

func (d *dayRun) injectFailures(ctx context.Context) error {
	pause := d.env.scale(4 * time.Second)
	for round := range 2 {
		for _, f := range failures {
			if err := d.env.Timer.Sleep(ctx, pause); err != nil {
				return err
			}
			if err := f.inject(ctx, d); err != nil {
				return errors.Wrapf(err, "round %d, %s", round+1, f.name)
			}
			d.env.record("failure injected", f.name, "", "round %d", round+1)
		}
	}
	return d.env.Timer.Sleep(ctx, pause)
}

// injectSurge slows the deepest service down and adds load from callers with more client retries.
func injectSurge(ctx context.Context, d *dayRun) error {
	setServiceTimePercent(d.fleet, "corpus", slowdownPercent)
	duration := d.env.scale(10 * time.Second)
	p := d.plan(duration)
	p.Seed += 1000
	p.ClientRetries = 5
	for i := range p.Streams {
		p.Streams[i].Rate *= surgeFactor - 1
	}
	l, err := loader.New(p, d.env.Timer)
	if err != nil {
		return err
	}
	l.Run(ctx)
	setServiceTimePercent(d.fleet, "corpus", 100)
	return nil
}

// withdrawConnectedKey creates an account, calls every node with its key, withdraws the key, and waits until every node
// refuses it.
func withdrawConnectedKey(ctx context.Context, d *dayRun) error {
	d.createdAccounts++
	id := fmt.Sprintf("spare-%d", d.createdAccounts)
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
	accepts := func(w *runner.FleetWorker) bool { return d.env.requestStatus(ctx, w, key) == http.StatusOK }
	for _, w := range d.fleet.Workers {
		if err := d.env.waitFor(ctx, func() bool { return accepts(w) }); err != nil {
			return errors.Wrapf(err, "node %s responds to a valid key with %s", w.Settings.GetName(), d.env.describeResponse(ctx, w, key))
		}
	}
	cmd := &schema.Command{Change: &schema.Command_WithdrawKey{WithdrawKey: &schema.WithdrawKey{KeyId: keyID}}}
	if _, err := d.fleet.Operator().Change(ctx, cmd); err != nil {
		return err
	}
	start := d.env.Timer.Now()
	for _, w := range d.fleet.Workers {
		if err := d.env.waitFor(ctx, func() bool { return d.env.requestStatus(ctx, w, key) == http.StatusUnauthorized }); err != nil {
			return err
		}
	}
	d.env.record("key withdrawal accepted to refused by all nodes", "under load", "≤ 3 s", "%s", roundDuration(d.env.Timer.Since(start)))
	return nil
}

// isolateLeader partitions the leader from the network for 10 s, or 1 s in quick mode, without closing connections. A
// change must be accepted meanwhile.
func isolateLeader(ctx context.Context, d *dayRun) error {
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
	return d.env.Timer.Sleep(ctx, d.env.scale(10*time.Second))
}

func (d *dayRun) leader(ctx context.Context) (*runner.FleetControl, error) {
	var leader *runner.FleetControl
	err := d.env.waitFor(ctx, func() bool {
		leader = d.fleet.Leader(ctx)
		return leader != nil
	})
	return leader, err
}

// raceOperators sends two concurrent changes that expect the same version, and repeats both. Exactly one must succeed, and
// each repetition must return the result of the original.
func raceOperators(ctx context.Context, d *dayRun) error {
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
		g.start(func() { results[i], errs[i] = d.fleet.NewOperator().Change(ctx, cmd) })
	}
	g.wait()
	succeeded := 0
	for i, r := range results {
		if errs[i] != nil {
			return errs[i]
		}
		repeated, err := d.fleet.Operator().Change(ctx, commands[i])
		if err != nil {
			return err
		}
		if !proto.Equal(repeated, r) {
			return errors.New("a repeated command returned another result than the original")
		}
		if r.GetStatus() == schema.ResultStatus_RESULT_STATUS_OK {
			succeeded++
		}
	}
	if succeeded != 1 {
		return errors.Errorf("%d concurrent changes succeeded, want 1", succeeded)
	}
	return nil
}

// loseSecondHost deletes the data of one control host, waits until it is a voter again, and kills another.
func loseSecondHost(ctx context.Context, d *dayRun) error {
	const first, second = 0, 1
	status, err := d.fleet.Controls[first].Status(ctx)
	if err != nil {
		return err
	}
	_ = d.fleet.Controls[first].Kill()
	if err := os.RemoveAll(d.fleet.Controls[first].Settings.GetDataFolder()); err != nil {
		return err
	}
	if err := d.fleet.StartControl(first); err != nil {
		return err
	}
	if err := d.env.waitFor(ctx, func() bool { return isNewVoter(ctx, d.fleet.Controls[first], status.GetId()) }); err != nil {
		return err
	}
	_ = d.fleet.Controls[second].Kill()
	if _, err := d.fleet.Operator().Change(ctx, setRate("account/"+accountName(5), 40)); err != nil {
		return err
	}
	_ = d.env.Timer.Sleep(ctx, d.env.scale(3*time.Second))
	return d.fleet.StartControl(second)
}

// isNewVoter reports whether a control host is a voter under another replica ID than oldID.
func isNewVoter(ctx context.Context, c *runner.FleetControl, oldID uint64) bool {
	s, err := c.Status(ctx)
	if err != nil || s.GetId() == oldID {
		return false
	}
	return slices.ContainsFunc(s.GetReplicas(), func(r *schema.ReplicaInfo) bool { return r.GetId() == s.GetId() && !r.GetLearner() })
}

func blackholeConnections(ctx context.Context, d *dayRun) error {
	for _, w := range d.fleet.Workers {
		d.network.Blackhole(w.Settings.GetName())
	}
	return d.env.Timer.Sleep(ctx, d.env.scale(3*time.Second))
}

// restartNodes restarts one after another every node that is not an entry node of the load.
func restartNodes(ctx context.Context, d *dayRun) error {
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
		if err := d.env.waitFor(ctx, func() bool { return w.IsReady() && w.HasUpstream() }); err != nil {
			return err
		}
	}
	return nil
}

// reportResult records goodput, refusals, failures, duplicate executions and the invariant checks.
func (d *dayRun) reportResult(r *loader.Result, took time.Duration) {
	e := d.env
	e.record("duration", "all failures twice", "", "%s", took.Round(time.Second))
	e.record("requests with a complete response", "steady load, during all failures", "", "%.2f %% of %d",
		100*float64(r.Total.Good)/float64(r.Total.Sent), r.Total.Sent)
	lowest, lowestAccount := 101.0, ""
	for account, f := range r.Accounts {
		if share := 100 * float64(f.Good) / float64(f.Sent); share < lowest {
			lowest, lowestAccount = share, account
		}
	}
	e.record("client account with the lowest goodput", lowestAccount, "", "%.2f %% good", lowest)
	refused := uint64(0)
	var reports []*schema.BurnReport
	for _, w := range d.fleet.Workers {
		reports = append(reports, w.Report())
	}
	for _, row := range reporter.Merge(reports).Rows {
		refused += row.Windows[len(row.Windows)-1].RefusedWithinRate
	}
	e.record("refused within rate", "", "", "%d", refused)
	e.record("failed requests, by reason", "after client retries", "", "%v", r.Total.Reasons)
	e.record("responses with a wrong length or checksum", "", "0", "%d", r.Total.Corrupt)
	e.record("editorial submissions executed twice", "", "0", "%d", d.fleet.Executions["editorial"].Stats(http.MethodPost).Duplicated)
	for _, c := range d.fleet.Assert.Counts() {
		e.record("invariant "+c.Invariant.String(), "", "0 violations", "%d checks, %d violations", c.Checked, c.Broken)
	}
}
