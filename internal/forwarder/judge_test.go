package forwarder

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/breaker"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// judgeFixture is a forwarder without a network, its clock, and a gate with ten slots.
type judgeFixture struct {
	*Forwarder
	now time.Time
	up  *announcer.Upstream
}

func newJudgeFixture() *judgeFixture {
	j := &judgeFixture{now: time.Unix(1000, 0)}
	clock := timer.New(timer.WithNow(func() time.Time { return j.now }))
	assert := asserter.New(zap.NewNop())
	j.Forwarder = New(Parts{
		Timer: clock, Log: zap.NewNop(), Assert: assert, Registry: metrics.NewRegistry(), Announcer: announcer.New(clock, assert),
	})
	j.up = &announcer.Upstream{
		Service: "s", Breaker: breaker.New(),
		Gate: admitter.New(10, clock, assert, admitter.WithStaticLimit(), admitter.WithAdaptiveMode(admitter.AdaptiveOn)),
	}
	for range 30 {
		// Responses usually come within 100 ms to 400 ms.
		j.upstreamLatencies.Of("s r").Observe(100 * time.Millisecond)
	}
	return j
}

// occupy takes slots of the gate.
func (j *judgeFixture) occupy(slots int) {
	for range slots {
		j.up.Gate.Admit(context.Background(), admitter.Request{Rank: admitter.InProgress, Deadline: j.now.Add(time.Minute)})
	}
}

// A result that is wrongly taken for the upstream's failure suspends a healthy upstream; one that is overlooked keeps a faulty
// one in use.
func TestResultOfCall(t *testing.T) {
	broken := errors.New("broken")
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	slow, cancelSlow := context.WithCancelCause(context.Background())
	cancelSlow(errSlowAttempt)
	expired, cancelExpired := context.WithDeadline(context.Background(), time.Unix(0, 0))
	defer cancelExpired()
	tests := []struct {
		name    string
		ctx     context.Context
		given   time.Duration
		took    time.Duration
		status  int
		verdict UpstreamVerdict
		err     error
		busy    int
		prepare func(j *judgeFixture, r *runningRequest)
		want    breaker.Result
	}{
		{name: "success", status: 200, want: breaker.Success},
		{name: "caller's mistake", status: 404, want: breaker.Success},
		{name: "error", status: 500, want: breaker.Failure},
		{name: "bad gateway", status: 502, want: breaker.Failure},
		{name: "broken response", err: broken, want: breaker.Failure},
		{name: "no capacity", status: 503, busy: 8, want: breaker.Neutral},
		{name: "503 by an idle upstream", status: 503, busy: 1, want: breaker.Failure},
		{name: "declined by a full upstream", verdict: UpstreamVerdict{Declined: true}, busy: 10, want: breaker.Neutral},
		{name: "declined by an idle upstream", verdict: UpstreamVerdict{Declined: true}, busy: 1, want: breaker.Declined},
		{name: "another instance", verdict: UpstreamVerdict{Declined: true, OtherInstance: true}, want: breaker.Neutral},
		{name: "abandoned", ctx: canceled, given: time.Second, took: 900 * time.Millisecond, err: context.Canceled, want: breaker.Neutral},
		{
			name: "canceled by the sender at the deadline", ctx: canceled, given: time.Second, took: 990 * time.Millisecond,
			err: context.Canceled, want: breaker.Failure,
		},
		{
			name: "canceled in favor of another attempt", ctx: slow, given: time.Second, took: 990 * time.Millisecond,
			err: context.Canceled, want: breaker.Neutral,
		},
		{
			name: "deadline while the host was frozen", ctx: expired, given: time.Second, took: 3 * time.Second,
			err: context.DeadlineExceeded, want: breaker.Neutral,
		},
		{name: "lost response", ctx: expired, given: time.Second, took: time.Second, err: context.DeadlineExceeded, want: breaker.Failure},
		{
			name: "deadline with little time", ctx: expired, given: 150 * time.Millisecond, took: 150 * time.Millisecond,
			err: context.DeadlineExceeded, want: breaker.Neutral,
		},
		{
			name: "the upstream's own 504 with little time", given: 150 * time.Millisecond, took: 140 * time.Millisecond, status: 504,
			want: breaker.Neutral,
		},
		{name: "504 long before the deadline", given: time.Second, took: 10 * time.Millisecond, status: 504, want: breaker.Failure},
		{
			name: "failed nested call with its parent", status: 500, want: breaker.Neutral,
			prepare: func(j *judgeFixture, r *runningRequest) {
				r.beginNested(j.now)
				r.endNested(j.now, true, false, 0)
			},
		},
		{
			name: "failed nested call without its parent", status: 500, want: breaker.Neutral,
			prepare: func(j *judgeFixture, _ *runningRequest) {
				j.nestedFailures.end(j.nestedFailures.begin(time.Time{}), &response{status: 502}, nil, j.now)
			},
		},
		{
			name: "nested call in progress at the deadline", ctx: expired, given: time.Second, took: time.Second,
			err: context.DeadlineExceeded, want: breaker.Neutral,
			prepare: func(j *judgeFixture, _ *runningRequest) { j.nestedFailures.begin(j.now.Add(time.Second)) },
		},
		{
			name: "nested call in progress long before the deadline", status: 500, given: time.Second, want: breaker.Failure,
			prepare: func(j *judgeFixture, _ *runningRequest) { j.nestedFailures.begin(j.now.Add(time.Second)) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newJudgeFixture()
			f.occupy(tt.busy)
			running := &runningRequest{}
			if tt.prepare != nil {
				tt.prepare(f, running)
			}
			c := &call{route: &resolver.Route{Service: "s", Name: "r"}, deadline: f.now.Add(tt.given)}
			j := &judge{forwarder: f.Forwarder, call: c, upstream: f.up}
			if tt.ctx == nil {
				tt.ctx = context.Background()
			}
			j.begin(tt.ctx, running, f.now)
			f.now = f.now.Add(tt.took)
			if got := j.resultOf(tt.status, tt.verdict, tt.err); got != tt.want {
				t.Errorf("result %v, want %v", got, tt.want)
			}
		})
	}
}

// A failed nested call explains one failed response of the next two seconds, and no more.
func TestNestedFailures(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	left := refuser.New(refuser.Unknown, refuser.CallerLeft, "")
	tests := []struct {
		name     string
		deadline time.Time
		resp     *response
		ref      *refuser.Refusal
		explains int
	}{
		{"success", time.Time{}, &response{status: http.StatusOK}, nil, 0},
		{"error", time.Time{}, &response{status: http.StatusInternalServerError}, nil, 1},
		{"refusal", time.Time{}, nil, overloaded(), 1},
		{"abandoned after another failure", at(1000), nil, left, 0},
		{"abandoned at the deadline", at(20), nil, left, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, age := range []int{0, 1900, 2100} {
				var n nestedFailures
				n.end(n.begin(tt.deadline), tt.resp, tt.ref, at(0))
				explained := 0
				for n.explain(at(age)) {
					explained++
				}
				want := tt.explains
				if age > 2000 {
					want = 0
				}
				if explained != want {
					t.Errorf("explains %d failures after %d ms, want %d", explained, age, want)
				}
			}
		})
	}
}

// A nested call that explained its parent's failure at the deadline must not explain a second one when it ends.
func TestNestedFailureExplainsOnce(t *testing.T) {
	var n nestedFailures
	now := time.Unix(1000, 0)
	c := n.begin(now)
	if !n.explain(now) {
		t.Fatal("a nested call at its deadline explains nothing")
	}
	n.end(c, nil, refuser.New(refuser.Unknown, refuser.DeadlineExceeded, ""), now)
	if n.explain(now) {
		t.Error("the nested call explains a second failure")
	}
}

// A call that gates refuse for suspensions goes to two further workers, the last of which runs it, and no further.
func TestReroutesOfSuspendedCall(t *testing.T) {
	f := newJudgeFixture()
	c, state := &call{}, &dispatchState{}
	ref := refuseNotRun(refuser.Suspended, "")
	for i, wantIgnore := range []bool{false, true} {
		if !f.mayReroute(c, state, ref) || state.ignoreSuspension != wantIgnore {
			t.Fatalf("reroute %d: ignores the suspension: %v, want %v", i+1, state.ignoreSuspension, wantIgnore)
		}
	}
	c.ignoreSuspension = true
	if f.mayReroute(c, state, ref) {
		t.Error("a call that ignores suspensions was rerouted for one")
	}
	if c.rerouted {
		t.Error("the call does not count as demand at the next gate, although no gate has counted it")
	}
}

// The header between nodes carries the time of the suspension, also a short one.
func TestSuspensionHeader(t *testing.T) {
	for _, d := range []time.Duration{0, time.Microsecond, 1500 * time.Millisecond} {
		h := http.Header{}
		hopReport{suspendedFor: d}.write(h)
		want := d
		if d == time.Microsecond {
			want = time.Millisecond
		}
		if got := readReport(h).suspendedFor; got != want {
			t.Errorf("%v arrives as %v, want %v", d, got, want)
		}
	}
	if got := readReport(http.Header{headerSuspended: {"-5"}}).suspendedFor; got != 0 {
		t.Errorf("a negative time arrives as %v", got)
	}
}
