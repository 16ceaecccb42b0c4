// Package experimenter measures the system on a fleet in this process, with stand-in upstreams, beside baselines.
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

// Row is one measured figure.
type Row struct {
	Measure string `json:"measure"`
	Case    string `json:"case"`
	Value   string `json:"value"`
	Target  string `json:"target,omitempty"`
}

// Env is what an experiment works with.
type Env struct {
	Timer  *timer.Service
	Log    *zap.Logger
	Folder string
	Options
	rows []Row
}

// Options change how an experiment is run.
type Options struct {
	Seed uint64
	// Short makes an experiment quick, to try it out; its figures are no measurement.
	Short bool
	// First leaves out the baselines.
	First bool
}

// note adds a figure.
func (e *Env) note(measure, scenario, target, format string, args ...any) {
	e.rows = append(e.rows, Row{Measure: measure, Case: scenario, Value: fmt.Sprintf(format, args...), Target: target})
}

// span shortens a time when the experiment is to be quick.
func (e *Env) span(d time.Duration) time.Duration {
	if e.Short {
		return d / 10
	}
	return d
}

// Experiment is one measurement.
type Experiment struct {
	Name  string
	Short string
	run   func(ctx context.Context, e *Env) error
}

// All is the table of experiments.
var All = []Experiment{
	{Name: "latency", Short: "time and processor time that the layer adds at steady load", run: latency},
	{Name: "overload", Short: "surge while the deepest service slows, with and without control", run: overload},
	{Name: "account", Short: "one client account at six times its rate", run: account},
	{Name: "retries", Short: "calls at the deepest of five services when everything fails", run: retries},
	{Name: "leaving", Short: "drain, kill and stop of workers and nodes under load", run: leaving},
	{Name: "control", Short: "time until changes are in force, time without a leader, restart", run: control},
	{Name: "claims", Short: "idempotency claims a second", run: claims},
	{Name: "rate", Short: "refusals within rate, beside an equal split", run: rate},
	{Name: "day", Short: "the brief's failures, each twice and together, under load", run: runDay},
	{Name: "slopes", Short: "control traffic and processor time by the number of nodes", run: slopes},
}

// Run runs one experiment and returns its figures.
func Run(ctx context.Context, name string, o Options, log *zap.Logger) ([]Row, error) {
	for _, x := range All {
		if x.Name != name {
			continue
		}
		folder, err := os.MkdirTemp("", "lavenderhub-experiment-")
		if err != nil {
			return nil, errors.Wrap(err, "make a folder")
		}
		defer func() { _ = os.RemoveAll(folder) }()
		e := &Env{Timer: timer.New(), Log: log, Folder: folder, Options: o}
		err = x.run(ctx, e)
		return e.rows, err
	}
	return nil, errors.Errorf("no experiment %q", name)
}

// WriteTable writes figures as a table in Markdown.
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

// start starts a fleet in a folder of its own.
func (e *Env) start(ctx context.Context, name string, cfg *schema.FleetSettings, b runner.Baseline) (*runner.Fleet, error) {
	return runner.StartFleet(ctx, cfg, e.Folder+"/"+name, e.Log, runner.WithBaseline(b))
}

// uncontrolled is the baseline without any decision: every request goes on, every failure is retried at every hop.
func uncontrolled() runner.Baseline {
	return runner.Baseline{
		Gate:     []admitter.Option{admitter.WithoutGate()},
		Router:   []router.Option{router.WithUniformChoice()},
		Controls: forwarder.Overrides{NoEntryShedding: true, NoRetryBounds: true},
	}
}

// staticLimits is the baseline with a fixed limit and a queue in order of arrival.
func staticLimits() runner.Baseline {
	return runner.Baseline{
		Gate:     []admitter.Option{admitter.WithStaticLimit(), admitter.WithFIFO()},
		Router:   []router.Option{router.WithUniformChoice()},
		Controls: forwarder.Overrides{NoEntryShedding: true},
	}
}

// service describes a service whose four workers lie in four failure domains.
func service(name string, slots uint32, times []time.Duration, calls ...string) *schema.FleetService {
	s := &schema.FleetService{Name: name, Calls: calls}
	for i, took := range times {
		s.Workers = append(s.Workers, &schema.FleetWorker{
			FailureDomain: fmt.Sprintf("domain-%d", i%4+1), Slots: slots, ServiceTime: durationpb.New(took),
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

// fleetAccount describes a client account.
func fleetAccount(id string, rate, burst float64) *schema.FleetAccount {
	return &schema.FleetAccount{Id: id, Policy: &schema.Policy{
		Rate: proto.Float64(rate), Burst: proto.Float64(burst),
	}}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
