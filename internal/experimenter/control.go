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
	waitLimit    = 20 * time.Second
)

// smallFleet is the size of one of today's users: four services of four workers in four failure domains.
func smallFleet() *schema.FleetSettings {
	cfg := &schema.FleetSettings{Services: []*schema.FleetService{
		service("headwords", 110, millis(5, 5, 5, 5)), service("audio", 80, millis(5, 5, 5, 5)),
		service("examples", 50, millis(5, 5, 5, 5)), service("corpus", 20, millis(5, 5, 5, 5)),
	}}
	for i := range accountShares {
		cfg.Accounts = append(cfg.Accounts, fleetAccount(accountName(i), 1000, 1000))
	}
	return cfg
}

// control measures how fast changes reach all nodes, and what the loss of control hosts costs.
func control(ctx context.Context, e *Env) error {
	fleet, err := e.start(ctx, "control", smallFleet(), runner.Baseline{})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	changes := 50
	if e.Short {
		changes = 5
	}
	if err := e.propagation(ctx, fleet, changes); err != nil {
		return err
	}
	if err := e.withdrawals(ctx, fleet); err != nil {
		return err
	}
	if err := e.failovers(ctx, fleet, changes/5); err != nil {
		return err
	}
	return e.restart(ctx, fleet, changes*10)
}

// propagation changes a branch again and again, at moments unrelated to the nodes' exchanges.
func (e *Env) propagation(ctx context.Context, fleet *runner.Fleet, changes int) error {
	var accepted, inForce []time.Duration
	for i := range changes {
		began := e.Timer.Now()
		result, err := fleet.Operator().Change(ctx, setRate("account/"+accountName(0), float64(1000+i)))
		if err != nil {
			return err
		}
		accepted = append(accepted, e.Timer.Since(began))
		answered := e.Timer.Now()
		err = e.await(ctx, func() bool {
			return !slices.ContainsFunc(fleet.Workers, func(w *runner.FleetWorker) bool { return w.Revision() < result.GetRevision() })
		})
		if err != nil {
			return err
		}
		inForce = append(inForce, e.Timer.Since(answered))
		_ = e.Timer.Sleep(ctx, time.Duration(37*(i%29))*time.Millisecond)
	}
	e.note("change sent to accepted", "16 nodes, 3 control hosts", "",
		"p50 %s, p99 %s of %d", quantile(accepted, 0.5), quantile(accepted, 0.99), changes)
	e.note("change accepted to in force on all nodes", "16 nodes, 3 control hosts", "p99 ≤ 1 s",
		"p50 %s, p99 %s of %d", quantile(inForce, 0.5), quantile(inForce, 0.99), changes)
	return nil
}

func setRate(path string, rate float64) *schema.Command {
	return &schema.Command{Change: &schema.Command_SetBranch{SetBranch: &schema.SetBranch{
		Path: path, Policy: &schema.Policy{Rate: proto.Float64(rate)},
	}}}
}

// withdrawals withdraws keys and asks every node, on kept-alive connections, until all refuse.
func (e *Env) withdrawals(ctx context.Context, fleet *runner.Fleet) error {
	var times []time.Duration
	for _, k := range fleet.Keys[1:] {
		for _, w := range fleet.Workers {
			if status := e.ask(ctx, w, k.Key); status != http.StatusOK {
				return errors.Errorf("a working key got %d", status)
			}
		}
		withdraw := &schema.Command{Change: &schema.Command_WithdrawKey{WithdrawKey: &schema.WithdrawKey{KeyId: k.KeyID}}}
		if _, err := fleet.Operator().Change(ctx, withdraw); err != nil {
			return err
		}
		began := e.Timer.Now()
		for _, w := range fleet.Workers {
			if err := e.await(ctx, func() bool { return e.ask(ctx, w, k.Key) == http.StatusUnauthorized }); err != nil {
				return err
			}
		}
		times = append(times, e.Timer.Since(began))
	}
	e.note("withdrawal accepted to refused by all nodes", "16 nodes, kept-alive connections", "≤ 3 s",
		"worst %s of %d", quantile(times, 1), len(times))
	return nil
}

func (e *Env) ask(ctx context.Context, w *runner.FleetWorker, key string) int {
	status, _ := e.call(ctx, w, key)
	return status
}

// explain says what a node answers, and why.
func (e *Env) explain(ctx context.Context, w *runner.FleetWorker, key string) string {
	status, reason := e.call(ctx, w, key)
	return strconv.Itoa(status) + " " + reason
}

func (e *Env) call(ctx context.Context, w *runner.FleetWorker, key string) (status int, reason string) {
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

// failovers kills the leader again and again.
func (e *Env) failovers(ctx context.Context, fleet *runner.Fleet, n int) error {
	var times, accepted []time.Duration
	for i := range n {
		var leader *runner.FleetControl
		if err := e.await(ctx, func() bool {
			leader = fleet.Leader(ctx)
			return leader != nil
		}); err != nil {
			return err
		}
		if err := leader.Kill(); err != nil {
			return err
		}
		began := e.Timer.Now()
		index := slices.Index(fleet.Controls, leader)
		leader.Control = nil
		if err := e.await(ctx, func() bool { return fleet.Leader(ctx) != nil }); err != nil {
			return err
		}
		times = append(times, e.Timer.Since(began))
		if _, err := fleet.Operator().Change(ctx, setRate("account/"+accountName(0), float64(500+i))); err != nil {
			return err
		}
		accepted = append(accepted, e.Timer.Since(began))
		if err := fleet.StartControl(index); err != nil {
			return err
		}
		_ = e.Timer.Sleep(ctx, time.Second)
	}
	e.note("kill of the leader to the next leader with a lease", "3 control hosts", "≤ 1 s",
		"p50 %s, worst %s of %d", quantile(times, 0.5), quantile(times, 1), n)
	e.note("kill of the leader to the next accepted change", "3 control hosts", "",
		"p50 %s, worst %s of %d", quantile(accepted, 0.5), quantile(accepted, 1), n)
	return nil
}

// restart stops all control hosts after many changes and starts them again.
func (e *Env) restart(ctx context.Context, fleet *runner.Fleet, changes int) error {
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
	began := e.Timer.Now()
	for i := range fleet.Controls {
		if err := fleet.StartControl(i); err != nil {
			return err
		}
	}
	if err := e.await(ctx, func() bool { return fleet.Leader(ctx) != nil }); err != nil {
		return err
	}
	e.note("restart of all control hosts to a leader with a lease", "after "+quote(changes)+" changes", "", "%s", round(e.Timer.Since(began)))
	var reply *schema.GetBranchReply
	err := fleet.Operator().Read(ctx, func(ctx context.Context, a schema.Admin) (err error) {
		reply, err = a.GetBranch(ctx, &schema.GetBranchRequest{Path: "account/" + accountName(0)})
		return err
	})
	if err != nil {
		return err
	}
	e.note("newest change after the restart", "after "+quote(changes)+" changes", "kept", "version %d of %d",
		reply.GetBranch().GetVersion(), last.GetBranch().GetVersion())
	return nil
}

// await polls until a condition holds.
func (e *Env) await(ctx context.Context, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	for !ok() {
		if e.Timer.Sleep(ctx, pollInterval) != nil {
			return errors.New("what was waited for did not come about")
		}
	}
	return nil
}
