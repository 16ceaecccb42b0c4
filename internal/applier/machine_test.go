package applier

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/schema"
)

// commandLog applies commands to a Machine at consecutive log indexes.
type commandLog struct {
	t     *testing.T
	m     *Machine
	index uint64
	now   time.Duration
}

func (l *commandLog) apply(cmd *schema.Command) Outcome {
	l.t.Helper()
	l.index++
	cmd.TimeMillis = l.now.Milliseconds()
	data, err := proto.Marshal(cmd)
	if err != nil {
		l.t.Fatal(err)
	}
	out, err := l.m.Apply(l.index, data)
	if err != nil {
		l.t.Fatal(err)
	}
	return out
}

func claim(key, attempt string) *schema.Command {
	return claims(&schema.ClaimChange{Account: "a", IdempotencyKey: key, Attempt: []byte(attempt), Fingerprint: []byte("f")})
}

func settle(key, attempt string, notRun bool) *schema.Command {
	return claims(&schema.ClaimChange{Account: "a", IdempotencyKey: key, Attempt: []byte(attempt), Settle: true, NotRun: notRun})
}

func claims(ch *schema.ClaimChange) *schema.Command {
	return &schema.Command{Change: &schema.Command_Claims{Claims: &schema.Claims{Changes: []*schema.ClaimChange{ch}}}}
}

func TestClaimTable(t *testing.T) {
	l := &commandLog{t: t, m: New()}
	steps := []struct {
		cmd  *schema.Command
		now  time.Duration
		want schema.ClaimState
	}{
		{claim("k", "1"), 0, schema.ClaimState_CLAIM_STATE_GRANTED},
		{claim("k", "1"), 0, schema.ClaimState_CLAIM_STATE_GRANTED},
		{claim("k", "2"), 0, schema.ClaimState_CLAIM_STATE_IN_PROGRESS},
		{settle("k", "2", true), 0, 0},
		{claim("k", "3"), 0, schema.ClaimState_CLAIM_STATE_IN_PROGRESS},
		{settle("k", "1", true), 0, 0},
		{claim("k", "3"), time.Hour, schema.ClaimState_CLAIM_STATE_GRANTED},
		{settle("k", "3", false), time.Hour, 0},
		{settle("k", "3", true), time.Hour, 0},
		{claim("k", "4"), 2 * time.Hour, schema.ClaimState_CLAIM_STATE_DONE},
		{claim("k", "5"), ClaimRetention, schema.ClaimState_CLAIM_STATE_DONE},
		{claim("k", "6"), time.Hour + ClaimRetention + time.Second, schema.ClaimState_CLAIM_STATE_GRANTED},
	}
	for i, s := range steps {
		l.now = s.now
		if got := l.apply(s.cmd).Claims[0].GetState(); got != s.want {
			t.Fatalf("step %d: %s, want %s", i, got, s.want)
		}
		restored := New()
		if err := restored.Restore(l.m.Snapshot()); err != nil {
			t.Fatal(err)
		}
		l.m = restored
	}
}

// TestSetBranchDelta checks that a change of one client account's policy sends only the branch of that account to nodes.
func TestSetBranchDelta(t *testing.T) {
	l := &commandLog{t: t, m: New()}
	set := func(path string, rate float64) {
		p := &schema.Policy{Rate: proto.Float64(rate)}
		l.apply(&schema.Command{Change: &schema.Command_SetBranch{SetBranch: &schema.SetBranch{Path: path, Policy: p}}})
	}
	for _, id := range []string{"x", "y"} {
		l.apply(&schema.Command{Change: &schema.Command_CreateAccount{CreateAccount: &schema.CreateAccount{Id: id, Group: "g"}}})
	}
	set("root", 1)
	set("group/g", 2)
	since := l.m.Revision()
	set("account/x", 3)
	d := l.m.Delta(since)
	if len(d.GetBranches()) != 1 || d.GetBranches()[0].GetPath() != "account/x" || len(d.GetAccounts()) != 0 {
		t.Fatalf("delta %v, want only the branch account/x", d)
	}
	if x, y := l.m.Effective("account/x").Policy.GetRate(), l.m.Effective("account/y").Policy.GetRate(); x != 3 || y != 2 {
		t.Fatalf("rates %v and %v, want 3 and 2", x, y)
	}
}
