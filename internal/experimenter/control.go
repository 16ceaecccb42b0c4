package experimenter

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	pollInterval = time.Millisecond
	waitTimeout  = 20 * time.Second
)

// smallFleet returns a fleet of the size that a current user runs: four services, each with four workers in four failure
// domains.
func smallFleet() *schema.FleetSettings {
	cfg := &schema.FleetSettings{Services: []*schema.FleetService{
		fleetService("headwords", 110, millis(5, 5, 5, 5)), fleetService("audio", 80, millis(5, 5, 5, 5)),
		fleetService("examples", 50, millis(5, 5, 5, 5)), fleetService("corpus", 20, millis(5, 5, 5, 5)),
	}}
	for i := range accountShares {
		cfg.Accounts = append(cfg.Accounts, fleetAccount(accountName(i), 1000, 1000))
	}
	return cfg
}

// runControl measures how long changes take to reach all nodes, and how long the loss of control hosts interrupts them.
func runControl(ctx context.Context, e *Env) error {
	fleet, err := e.startFleet(ctx, "control", smallFleet(), runner.Baseline{})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	changes := 50
	if e.Quick {
		changes = 5
	}
	if err := e.measurePropagation(ctx, fleet, changes); err != nil {
		return err
	}
	if err := e.measureKeyWithdrawals(ctx, fleet); err != nil {
		return err
	}
	if err := e.measureFailovers(ctx, fleet, changes/5); err != nil {
		return err
	}
	return e.measureRestart(ctx, fleet, changes*10)
}

// measurePropagation changes a branch repeatedly. The pauses vary so that the changes do not coincide with the nodes'
// sync exchanges.
func (e *Env) measurePropagation(ctx context.Context, fleet *runner.Fleet, changes int) error {
	var acceptTimes, applyTimes []time.Duration
	for i := range changes {
		start := e.Timer.Now()
		result, err := fleet.Operator().Change(ctx, setRate("account/"+accountName(0), float64(1000+i)))
		if err != nil {
			return err
		}
		acceptTimes = append(acceptTimes, e.Timer.Since(start))
		accepted := e.Timer.Now()
		err = e.waitFor(ctx, func() bool {
			return !slices.ContainsFunc(fleet.Workers, func(w *runner.FleetWorker) bool { return w.Revision() < result.GetRevision() })
		})
		if err != nil {
			return err
		}
		applyTimes = append(applyTimes, e.Timer.Since(accepted))
		_ = e.Timer.Sleep(ctx, time.Duration(37*(i%29))*time.Millisecond)
	}
	e.record("change sent to accepted", "16 nodes, 3 control hosts", "",
		"p50 %s, p99 %s of %d", quantile(acceptTimes, 0.5), quantile(acceptTimes, 0.99), changes)
	e.record("change accepted to applied on all nodes", "16 nodes, 3 control hosts", "p99 ≤ 1 s",
		"p50 %s, p99 %s of %d", quantile(applyTimes, 0.5), quantile(applyTimes, 0.99), changes)
	return nil
}

func setRate(path string, rate float64) *schema.Command {
	return &schema.Command{Change: &schema.Command_SetBranch{SetBranch: &schema.SetBranch{
		Path: path, Policy: &schema.Policy{Rate: proto.Float64(rate)},
	}}}
}

// measureKeyWithdrawals withdraws keys and sends requests to every node over keep-alive connections until all nodes refuse
// the key.
func (e *Env) measureKeyWithdrawals(ctx context.Context, fleet *runner.Fleet) error {
	var times []time.Duration
	for _, k := range fleet.Keys[1:] {
		for _, w := range fleet.Workers {
			if status := e.requestStatus(ctx, w, k.Key); status != http.StatusOK {
				return errors.Errorf("request with a valid key: status %d", status)
			}
		}
		withdraw := &schema.Command{Change: &schema.Command_WithdrawKey{WithdrawKey: &schema.WithdrawKey{KeyId: k.KeyID}}}
		if _, err := fleet.Operator().Change(ctx, withdraw); err != nil {
			return err
		}
		start := e.Timer.Now()
		for _, w := range fleet.Workers {
			if err := e.waitFor(ctx, func() bool { return e.requestStatus(ctx, w, k.Key) == http.StatusUnauthorized }); err != nil {
				return err
			}
		}
		times = append(times, e.Timer.Since(start))
	}
	e.record("key withdrawal accepted to refused by all nodes", "16 nodes, keep-alive connections", "≤ 3 s",
		"worst %s of %d", quantile(times, 1), len(times))
	return nil
}

func (e *Env) requestStatus(ctx context.Context, w *runner.FleetWorker, key string) int {
	status, _ := e.sendRequest(ctx, w, key)
	return status
}

// describeResponse returns the status and the refusal reason of a node's response to a request with the key.
func (e *Env) describeResponse(ctx context.Context, w *runner.FleetWorker, key string) string {
	status, reason := e.sendRequest(ctx, w, key)
	return strconv.Itoa(status) + " " + reason
}

func (e *Env) sendRequest(ctx context.Context, w *runner.FleetWorker, key string) (status int, reason string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.CallerAddr().String()+"/"+w.Service+"/x", http.NoBody)
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(refuser.HeaderReason)
}

// measureFailovers kills the leader n times and measures the time until the next leader and the next accepted change.
func (e *Env) measureFailovers(ctx context.Context, fleet *runner.Fleet, n int) error {
	var leaderTimes, changeTimes []time.Duration
	for i := range n {
		var leader *runner.FleetControl
		if err := e.waitFor(ctx, func() bool {
			leader = fleet.Leader(ctx)
			return leader != nil
		}); err != nil {
			return err
		}
		if err := leader.Kill(); err != nil {
			return err
		}
		start := e.Timer.Now()
		index := slices.Index(fleet.Controls, leader)
		leader.Control = nil
		if err := e.waitFor(ctx, func() bool { return fleet.Leader(ctx) != nil }); err != nil {
			return err
		}
		leaderTimes = append(leaderTimes, e.Timer.Since(start))
		if _, err := fleet.Operator().Change(ctx, setRate("account/"+accountName(0), float64(500+i))); err != nil {
			return err
		}
		changeTimes = append(changeTimes, e.Timer.Since(start))
		if err := fleet.StartControl(index); err != nil {
			return err
		}
		_ = e.Timer.Sleep(ctx, time.Second)
	}
	e.record("kill of the leader to the next leader with a lease", "3 control hosts", "≤ 1 s",
		"p50 %s, worst %s of %d", quantile(leaderTimes, 0.5), quantile(leaderTimes, 1), n)
	e.record("kill of the leader to the next accepted change", "3 control hosts", "",
		"p50 %s, worst %s of %d", quantile(changeTimes, 0.5), quantile(changeTimes, 1), n)
	return nil
}

// measureRestart kills and restarts all control hosts after many changes. It measures the time until there is a leader, and
// checks which version of the branch survived.
func (e *Env) measureRestart(ctx context.Context, fleet *runner.Fleet, changes int) error {
	var last *schema.Result
	for i := range changes {
		var err error
		if last, err = fleet.Operator().Change(ctx, setRate("account/"+accountName(0), float64(i+1))); err != nil {
			return err
		}
	}
	for _, c := range fleet.Controls {
		if err := c.Kill(); err != nil {
			return err
		}
	}
	start := e.Timer.Now()
	for i := range fleet.Controls {
		if err := fleet.StartControl(i); err != nil {
			return err
		}
	}
	if err := e.waitFor(ctx, func() bool { return fleet.Leader(ctx) != nil }); err != nil {
		return err
	}
	e.record("restart of all control hosts to a leader with a lease", "after "+itoa(changes)+" changes", "",
		"%s", roundDuration(e.Timer.Since(start)))
	var reply *schema.GetBranchReply
	err := fleet.Operator().Read(ctx, func(ctx context.Context, a schema.Admin) (err error) {
		reply, err = a.GetBranch(ctx, &schema.GetBranchRequest{Path: "account/" + accountName(0)})
		return err
	})
	if err != nil {
		return err
	}
	e.record("newest change after the restart", "after "+itoa(changes)+" changes", "kept", "version %d of %d",
		reply.GetBranch().GetVersion(), last.GetBranch().GetVersion())
	return nil
}

// waitFor polls until condition returns true, for at most waitTimeout.
func (e *Env) waitFor(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !condition() {
		if e.Timer.Sleep(ctx, pollInterval) != nil {
			return errors.New("timed out waiting for a condition")
		}
	}
	return nil
}
