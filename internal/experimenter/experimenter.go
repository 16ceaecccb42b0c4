// Package experimenter runs measurements on a fleet in this process, with simulated upstreams, and compares them with
// baselines.
package experimenter

import (
	"context"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/forwarder"
	"github.com/lavenderhub/lavenderhub/internal/router"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

// Row is one row of the result table: a measured value.
type Row struct {
	Measure string `json:"measure"`
	Case    string `json:"case"`
	Value   string `json:"value"`
	Target  string `json:"target,omitempty"`
}

// Env is the environment of a running experiment.
type Env struct {
	Timer  *timer.Service
	Log    *zap.Logger
	Folder string
	Options
	rows []Row
}

// Options configures a run of an experiment.
type Options struct {
	Seed uint64
	// Quick limits the experiment to about a tenth of its time, as a trial. The results are not valid measurements.
	Quick bool
	// SkipBaselines skips the baselines, in the experiments that support it.
	SkipBaselines bool
}

// record adds a row to the results.
func (e *Env) record(measure, scenario, target, format string, args ...any) {
	e.rows = append(e.rows, Row{Measure: measure, Case: scenario, Value: fmt.Sprintf(format, args...), Target: target})
}

// scale returns d, or a tenth of it in quick mode.
func (e *Env) scale(d time.Duration) time.Duration {
	if e.Quick {
		return d / 10
	}
	return d
}

// Experiment is a named measurement.
type Experiment struct {
	Name  string
	Short string
	run   func(ctx context.Context, e *Env) error
}

// All lists the experiments.
var All = []Experiment{
	{Name: "latency", Short: "latency and CPU time added at steady load", run: runLatency},
	{Name: "overload", Short: "surge while the deepest service is slow, with and without overload control", run: runOverload},
	{Name: "account", Short: "one client account at six times its rate", run: runAccount},
	{Name: "retries", Short: "calls to the deepest of five services while it fails every request", run: runRetries},
	{Name: "leaving", Short: "drain, kill and stop of workers and nodes under load", run: runLeaving},
	{Name: "control", Short: "propagation time of changes, leader failover and restart of the control hosts", run: runControl},
	{Name: "claims", Short: "throughput of idempotency claims", run: runClaims},
	{Name: "rate", Short: "refusals within rate, compared with an equal split of the rate over the nodes", run: runRate},
	{Name: "day", Short: "the failure scenarios, each twice, under load", run: runDay},
	{Name: "slopes", Short: "control traffic and CPU time by number of nodes", run: runSlopes},
}

// Run runs the named experiment and returns its rows, also those recorded before an error.
func Run(ctx context.Context, name string, o Options, log *zap.Logger) ([]Row, error) {
	for _, x := range All {
		if x.Name != name {
			continue
		}
		folder, err := os.MkdirTemp("", "lavenderhub-experiment-")
		if err != nil {
			return nil, errors.Wrap(err, "create temporary folder")
		}
		defer func() { _ = os.RemoveAll(folder) }()
		e := &Env{Timer: timer.New(), Log: log, Folder: folder, Options: o}
		err = x.run(ctx, e)
		return e.rows, err
	}
	return nil, errors.Errorf("unknown experiment %q", name)
}

// WriteTable writes rows as a Markdown table.
func WriteTable(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprintln(w, "| measure | case | figure | target |\n|---|---|---|---|"); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "| %s | %s | %s | %s |\n", r.Measure, r.Case, r.Value, r.Target); err != nil {
			return err
		}
	}
	return nil
}

// startFleet starts a fleet whose data lies in its own subfolder of e.Folder.
func (e *Env) startFleet(ctx context.Context, name string, cfg *schema.FleetSettings, b runner.Baseline) (*runner.Fleet, error) {
	return runner.StartFleet(ctx, cfg, e.Folder+"/"+name, e.Log, runner.WithBaseline(b))
}

// uncontrolledBaseline returns a baseline without overload control: every request is admitted, workers are chosen uniformly,
// and every hop retries every failed idempotent call, limited only by the retries of its route.
func uncontrolledBaseline() runner.Baseline {
	return runner.Baseline{
		Gate:      []admitter.Option{admitter.WithoutGate()},
		Router:    []router.Option{router.WithUniformChoice()},
		Overrides: forwarder.Overrides{NoEntryShedding: true, NoRetryBounds: true},
	}
}

// staticLimitsBaseline returns a baseline with a fixed concurrency limit, a FIFO queue and a uniform choice of workers.
func staticLimitsBaseline() runner.Baseline {
	return runner.Baseline{
		Gate:      []admitter.Option{admitter.WithStaticLimit(), admitter.WithFIFO()},
		Router:    []router.Option{router.WithUniformChoice()},
		Overrides: forwarder.Overrides{NoEntryShedding: true},
	}
}

// fleetService returns a service with one worker per element of serviceTimes, spread over four failure domains.
func fleetService(name string, slots uint32, serviceTimes []time.Duration, calls ...string) *schema.FleetService {
	s := &schema.FleetService{Name: name, Calls: calls}
	for i, serviceTime := range serviceTimes {
		s.Workers = append(s.Workers, &schema.FleetWorker{
			FailureDomain: fmt.Sprintf("domain-%d", i%4+1), Slots: slots, ServiceTime: durationpb.New(serviceTime),
		})
	}
	return s
}

func millis(values ...int) []time.Duration {
	out := make([]time.Duration, len(values))
	for i, v := range values {
		out[i] = time.Duration(v) * time.Millisecond
	}
	return out
}

// fleetAccount returns a client account with a rate in requests per second and a burst.
func fleetAccount(id string, rate, burst float64) *schema.FleetAccount {
	return &schema.FleetAccount{Id: id, Policy: &schema.Policy{
		Rate: proto.Float64(rate), Burst: proto.Float64(burst),
	}}
}

// cpuTime returns the user and system CPU time of this process, or 0 when it can't be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
