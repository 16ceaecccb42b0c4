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

// registerInput is a read, or a change of the branch under a version.
type registerInput struct {
	read    bool
	version uint64
	rate    float64
}

// registerState is a branch's version and rate; as an output it is what an operation showed.
type registerState struct {
	version uint64
	rate    float64
	changed bool
}

// registerModel is a branch of the settings tree with compare-and-set.
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

// TestLinearizable lets operators read and change one branch while leaders are killed and handed over, and checks the
// history.
func TestLinearizable(t *testing.T) {
	f := startFleet(t, twoServices())
	const operators, operations = 4, 40
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var group sync.WaitGroup
	for id := range operators {
		random := rand.New(rand.NewPCG(9, uint64(id)))
		op := f.NewOperator()
		group.Go(func() {
			version := uint64(1)
			for range operations {
				in := registerInput{read: random.IntN(3) == 0, version: version, rate: float64(random.IntN(1000))}
				call := time.Since(began).Nanoseconds()
				out, err := operate(t.Context(), op, in)
				if err != nil {
					t.Errorf("operator %d: %v", id, err)
					return
				}
				version = out.version
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: id, Input: in, Call: call, Output: out, Return: time.Since(began).Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	group.Go(func() {
		for range 4 {
			time.Sleep(300 * time.Millisecond)
			leader := leaderOf(t, f)
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
		t.Fatalf("%d operations", len(history))
	}
}

func operate(ctx context.Context, op *Operator, in registerInput) (registerState, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
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
	cmd := setBranch("account/school", in.rate)
	cmd.IfVersion = proto.Uint64(in.version)
	result, err := op.Change(ctx, cmd)
	b := result.GetBranch()
	return registerState{
		version: b.GetVersion(), rate: b.GetPolicy().GetRate(), changed: result.GetStatus() == schema.ResultStatus_RESULT_STATUS_OK,
	}, err
}
