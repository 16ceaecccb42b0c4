package breaker

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// callsUntilOpen returns the number of calls of the given error rate until a new breaker opens, or max.
func callsUntilOpen(random *rand.Rand, rate float64, spacing time.Duration, most int) int {
	b, now := New(), start
	for n := range most {
		r := Success
		if random.Float64() < rate {
			r = Failure
		}
		now = now.Add(spacing)
		if b.Record(b.Admit(now, true, false).Permit, r, now).To == Open {
			return n + 1
		}
	}
	return most
}

// A faulty upstream that is detected late fails more calls; one that is suspended without a fault takes its capacity away.
func TestOpensForFaultyUpstream(t *testing.T) {
	tests := []struct {
		name    string
		rate    float64
		spacing time.Duration
		mean    float64
		worst   int
	}{
		{"all fail", 1, 30 * time.Millisecond, 4, 4},
		{"truncated responses", 0.7, 30 * time.Millisecond, 7, 25},
		{"40 % lost", 0.4, 30 * time.Millisecond, 12, 60},
		{"32 % errors", 0.32, 30 * time.Millisecond, 15, 80},
		{"32 % errors, few calls", 0.32, 200 * time.Millisecond, 18, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const runs = 2000
			random := rand.New(rand.NewPCG(1, 2))
			total, worst := 0, 0
			for range runs {
				n := callsUntilOpen(random, tt.rate, tt.spacing, 1000)
				total += n
				worst = max(worst, n)
			}
			t.Logf("mean %.1f calls, worst %d", float64(total)/runs, worst)
			if mean := float64(total) / runs; mean > tt.mean || worst > tt.worst {
				t.Errorf("opened after %.1f calls, worst %d; want %.0f and %d at most", mean, worst, tt.mean, tt.worst)
			}
		})
	}
}

func TestStaysClosedForHealthyUpstream(t *testing.T) {
	const calls = 2_000_000
	if n := callsUntilOpen(rand.New(rand.NewPCG(3, 4)), usualErrorRate, 10*time.Millisecond, calls); n < calls {
		t.Errorf("opened after %d calls at the usual error rate", n)
	}
}

// step is one event in the life of a breaker: a call, or the end of an earlier one.
type step struct {
	// at is the time since the start in milliseconds.
	at int
	// admit names the call that asks for admission; end names the call that ends with the result.
	admit         string
	notIdempotent bool
	ignore        bool
	refusedFor    time.Duration
	end           string
	result        Result
	want          State
}

// openAt returns steps that open a breaker at the given time.
func openAt(at int) []step {
	return []step{
		{at: at, admit: "old"},
		{at: at, admit: "a"},
		{at: at, end: "a", result: Failure},
		{at: at, admit: "a"},
		{at: at, end: "a", result: Failure},
		{at: at, admit: "a"},
		{at: at, end: "a", result: Failure},
		{at: at, admit: "a"},
		{at: at, end: "a", result: Failure, want: Open},
	}
}

// succeed returns steps of n successful calls, one in each interval of the given length from the given time on.
func succeed(at, interval, n int, during State) []step {
	var list []step
	for i := range n {
		now := at + i*interval
		list = append(list, step{at: now, admit: "s", want: during}, step{at: now, end: "s", result: Success, want: during})
	}
	return list
}

func TestTransitions(t *testing.T) {
	join := func(lists ...[]step) []step {
		var all []step
		for _, l := range lists {
			all = append(all, l...)
		}
		return all
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"an open breaker names the time that remains", join(openAt(0), []step{
			{at: 100, admit: "x", refusedFor: 400 * time.Millisecond, want: Open},
			{at: 100, admit: "x", notIdempotent: true, refusedFor: 400 * time.Millisecond, want: Open},
		})},
		{"a call that ignores the suspension runs", join(openAt(0), []step{{at: 100, admit: "x", ignore: true, want: Open}})},
		{"results of calls from before do not count", join(openAt(0), []step{
			{at: 500, admit: "x", want: Trial},
			{at: 510, end: "old", result: Failure, want: Trial},
		})},
		{"neutral results change nothing", join(openAt(0), []step{
			{at: 500, admit: "x", want: Trial},
			{at: 510, end: "x", result: Neutral, want: Trial},
			{at: 520, admit: "x", refusedFor: trialRefusal, want: Trial},
			{at: 700, admit: "x", want: Trial},
		})},
		{"trial calls are few before a success", join(openAt(0), []step{
			{at: 500, admit: "x", want: Trial},
			{at: 600, admit: "y", refusedFor: trialRefusal, want: Trial},
			{at: 700, admit: "y", want: Trial},
			{at: 1600, admit: "z", refusedFor: trialRefusal, want: Trial},
			{at: 1610, end: "x", result: Success, want: Trial},
			{at: 1610, admit: "z", want: Trial},
			{at: 1700, admit: "z2", refusedFor: trialRefusal, want: Trial},
			{at: 1710, admit: "z2", want: Trial},
		})},
		{"trial calls without a response do not hold up the trial", join(openAt(0), []step{
			{at: 500, admit: "x", want: Trial},
			{at: 700, admit: "y", want: Trial},
			{at: 1699, admit: "z", refusedFor: trialRefusal, want: Trial},
			{at: 1700, admit: "z", want: Trial},
			{at: 2699, admit: "z2", refusedFor: trialRefusal, want: Trial},
		})},
		{"a failed trial opens for longer", join(openAt(0), []step{
			{at: 500, admit: "x", want: Trial},
			{at: 600, end: "x", result: Failure, want: Open},
			{at: 1100, admit: "x", refusedFor: 500 * time.Millisecond, want: Open},
			{at: 1600, admit: "x", want: Trial},
			{at: 1600, end: "x", result: Failure, want: Open},
			{at: 1600, admit: "x", refusedFor: 2 * time.Second, want: Open},
			{at: 3600, admit: "x", want: Trial},
			{at: 3600, end: "x", result: Failure, want: Open},
			{at: 3600, admit: "x", refusedFor: 2 * time.Second, want: Open},
		})},
		{"a series of successes closes", join(openAt(0), succeed(500, 200, trialSuccesses-1, Trial), []step{
			{at: 3000, admit: "x", want: Trial},
			{at: 3000, end: "x", result: Success, want: Closed},
			{at: 3000, admit: "x", notIdempotent: true, want: Closed},
		})},
		{"a fault that returns is found sooner and waits longer", join(openAt(0), succeed(500, 200, trialSuccesses-1, Trial), []step{
			{at: 3000, admit: "x", want: Trial},
			{at: 3000, end: "x", result: Success, want: Closed},
			{at: 3000, admit: "x"},
			{at: 3000, end: "x", result: Failure},
			{at: 3000, admit: "x"},
			{at: 3000, end: "x", result: Failure, want: Open},
			{at: 3000, admit: "x", refusedFor: time.Second, want: Open},
		})},
		{"calls that ignore the suspension close it", func() []step {
			list := openAt(0)
			for i := range trialSuccesses {
				want := Open
				if i == trialSuccesses-1 {
					want = Closed
				}
				list = append(list, step{at: 100, admit: "x", ignore: true, want: Open}, step{at: 100, end: "x", result: Success, want: want})
			}
			return list
		}()},
		{"calls that are not idempotent are tried if there are no others", join(openAt(0), []step{
			{at: 600, admit: "x", notIdempotent: true, refusedFor: trialRefusal, want: Open},
			{at: 1400, admit: "x", notIdempotent: true, refusedFor: trialRefusal, want: Open},
			{at: 1500, admit: "x", notIdempotent: true, want: Trial},
			{at: 1500, end: "x", result: Success, want: Trial},
			{at: 1700, admit: "x", want: Trial},
			{at: 1900, admit: "y", notIdempotent: true, refusedFor: trialRefusal, want: Trial},
		})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { play(t, New(), tt.steps) })
	}
}

// play plays the steps and checks the breaker's answers and states.
func play(t *testing.T, b *Breaker, steps []step) {
	t.Helper()
	permits := map[string]Permit{}
	for i, s := range steps {
		now := start.Add(time.Duration(s.at) * time.Millisecond)
		if s.admit != "" {
			a := b.Admit(now, !s.notIdempotent, s.ignore)
			if a.SuspendedFor != s.refusedFor {
				t.Fatalf("step %d: suspended for %v, want %v", i, a.SuspendedFor, s.refusedFor)
			}
			permits[s.admit] = a.Permit
		} else {
			b.Record(permits[s.end], s.result, now)
		}
		if b.state != s.want {
			t.Fatalf("step %d: state %v, want %v", i, b.state, s.want)
		}
	}
}

// An upstream that is full declines a part of its calls and must stay in use. One that declines nearly all is faulty.
func TestDeclines(t *testing.T) {
	tests := []struct {
		name     string
		declined func(n int) bool
		want     State
	}{
		{"all", func(int) bool { return true }, Open},
		{"19 of 20", func(n int) bool { return n%20 != 0 }, Open},
		{"two of three", func(n int) bool { return n%3 != 0 }, Closed},
		{"five of six", func(n int) bool { return n%6 != 0 }, Closed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, now := New(), start
			for n := range 40 {
				now = now.Add(10 * time.Millisecond)
				a := b.Admit(now, true, false)
				if a.SuspendedFor > 0 {
					break
				}
				r := Success
				if tt.declined(n) {
					r = Declined
				}
				b.Record(a.Permit, r, now)
			}
			if b.state != tt.want {
				t.Errorf("state %v, want %v", b.state, tt.want)
			}
		})
	}
}
