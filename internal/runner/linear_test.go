package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/schema"
)

// registerInput is a read of a branch, or a change on condition of its version.
type registerInput struct {
	read    bool
	version uint64
	rate    float64
}

// registerState is the version and rate of a branch. As the output of an operation, it is the state after it.
type registerState struct {
	version uint64
	rate    float64
	changed bool
}

// registerModel models a branch of the settings tree as a register with compare-and-set.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{version: 1, rate: 1000} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(registerState), input.(registerInput), output.(registerState)
		if in.read || in.version != s.version {
			return !out.changed && out.version == s.version && out.rate == s.rate, s
		}
		next := registerState{version: s.version + 1, rate: in.rate}
		return out.changed && out.version == next.version && out.rate == next.rate, next
	},
}

// TestChangesAreLinearizable has operators read and change one branch while leaders are killed, and checks that the
// history of their operations is linearizable.
func TestChangesAreLinearizable(t *testing.T) {
	f := startFleet(t, twoServiceFleet())
	const operators, operations = 4, 40
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var group sync.WaitGroup
	for id := range operators {
		random := rand.New(rand.NewPCG(9, uint64(id)))
		op := f.NewOperator()
		group.Go(func() {
			version := uint64(1)
			for range operations {
				in := registerInput{read: random.IntN(3) == 0, version: version, rate: float64(random.IntN(1000))}
				called := time.Since(start).Nanoseconds()
				out, err := runOperation(t.Context(), op, in)
				if err != nil {
					t.Errorf("operator %d: %v", id, err)
					return
				}
				version = out.version
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: id, Input: in, Call: called, Output: out, Return: time.Since(start).Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	group.Go(func() {
		for range 4 {
			time.Sleep(300 * time.Millisecond)
			leader := waitForLeader(t, f)
			index := slices.Index(f.Controls, leader)
			_ = leader.Kill()
			if err := f.StartControl(index); err != nil {
				t.Error(err)
			}
		}
	})
	group.Wait()
	if !porcupine.CheckOperations(registerModel, history) {
		t.Fatal("the history is not linearizable")
	}
	if len(history) != operators*operations {
		t.Fatalf("the history has %d operations", len(history))
	}
}

func runOperation(ctx context.Context, op *Operator, in registerInput) (registerState, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	if in.read {
		var reply *schema.GetBranchReply
		err := op.Read(ctx, func(ctx context.Context, a schema.Admin) (err error) {
			reply, err = a.GetBranch(ctx, &schema.GetBranchRequest{Path: "account/school"})
			return err
		})
		b := reply.GetBranch()
		return registerState{version: b.GetVersion(), rate: b.GetPolicy().GetRate()}, err
	}
	cmd := setRateCommand("account/school", in.rate)
	cmd.IfVersion = proto.Uint64(in.version)
	result, err := op.Change(ctx, cmd)
	b := result.GetBranch()
	return registerState{
		version: b.GetVersion(), rate: b.GetPolicy().GetRate(), changed: result.GetStatus() == schema.ResultStatus_RESULT_STATUS_OK,
	}, err
}
