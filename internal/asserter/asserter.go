// Package asserter checks invariants at run time. Every check is counted. A broken invariant is logged and terminates
// the process.
package asserter

import (
	"os"
	"sort"
	"sync/atomic"

	"go.uber.org/zap"
)

// Invariant names a property that must always hold.
type Invariant int

// The invariants of the program.
const (
	// NotRunIsTrue holds if no refusal has the outcome notRun after a byte of its request was sent to an upstream.
	NotRunIsTrue Invariant = iota
	// KeyStaysAtEntry holds if no node sends a request on with the caller's key.
	KeyStaysAtEntry
	// RetriesBounded holds if the attempts for a root call stay within its retry budget.
	RetriesBounded
	// RunsAtMostOnce holds if no non-idempotent request is dispatched after it may have run.
	RunsAtMostOnce
	// ImportantShedLast holds if a gate admits no request while one of higher rank waits.
	ImportantShedLast
	// WithinSlots holds if a gate has no more requests in progress than slots.
	WithinSlots
	// TokensWithinBurst holds if the available and the outstanding tokens of an account's owner together stay within the
	// burst.
	TokensWithinBurst
	// SpentWithinGrant holds if a node spends no more tokens than it was granted.
	SpentWithinGrant
	// VersionNeverReverts holds if the revision of a node or replica never decreases.
	VersionNeverReverts
	// FreshWhenKeyed holds if requests authorized by a key run only with an unexpired freshness certificate.
	FreshWhenKeyed
	// AccountOfKey holds if a request runs for the account of the key that it was sent with.
	AccountOfKey
	// WholeAnswer holds if a response that was forwarded as complete has the announced length.
	WholeAnswer
	// NoWorkWhenDraining holds if a draining gate admits no request.
	NoWorkWhenDraining
	// CommittedStays holds if a replica never replaces a committed log entry.
	CommittedStays
	// StopCutsNothing holds if no request is in progress at the end of a planned stop.
	StopCutsNothing

	invariantCount
)

var names = [invariantCount]string{
	"notRunIsTrue", "keyStaysAtEntry", "retriesBounded", "runsAtMostOnce", "importantShedLast", "withinSlots",
	"tokensWithinBurst", "spentWithinGrant", "versionNeverReverts", "freshWhenKeyed", "accountOfKey", "wholeAnswer",
	"noWorkWhenDraining", "committedStays", "stopCutsNothing",
}

// String returns the invariant's name in metrics and logs.
func (i Invariant) String() string {
	return names[i]
}

// Asserter counts checks and terminates the process on a broken invariant. A nil Asserter checks nothing.
type Asserter struct {
	log     *zap.Logger
	onBreak func(Invariant, string)
	checked [invariantCount]atomic.Uint64
	broken  [invariantCount]atomic.Uint64
}

// Option configures an Asserter.
type Option func(*Asserter)

// WithOnBreak sets the function that is called on a broken invariant, in place of the one that terminates the process. It
// gets the invariant and the detail passed to Check.
func WithOnBreak(f func(Invariant, string)) Option {
	return func(a *Asserter) { a.onBreak = f }
}

// exitStatus is the exit status of a process that a broken invariant terminated.
const exitStatus = 70

// New returns an Asserter that logs a broken invariant and terminates the process. It does not panic, since net/http
// recovers panics in its handlers.
func New(log *zap.Logger, opts ...Option) *Asserter {
	a := &Asserter{log: log}
	a.onBreak = func(Invariant, string) {
		_ = log.Sync()
		os.Exit(exitStatus)
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Check counts a check of i. If ok is false, it logs the detail and terminates the process, or calls the function set by
// WithOnBreak.
func (a *Asserter) Check(i Invariant, ok bool, detail string) {
	if a == nil {
		return
	}
	a.checked[i].Add(1)
	if ok {
		return
	}
	a.broken[i].Add(1)
	if a.log != nil {
		a.log.Error("invariantBroken", zap.String("invariant", i.String()), zap.String("detail", detail))
	}
	a.onBreak(i, detail)
}

// Count holds how often an invariant was checked and found broken.
type Count struct {
	Invariant Invariant
	Checked   uint64
	Broken    uint64
}

// Counts returns the counts of all invariants, sorted by name.
func (a *Asserter) Counts() []Count {
	counts := make([]Count, 0, invariantCount)
	for i := range invariantCount {
		counts = append(counts, Count{Invariant: i, Checked: a.checked[i].Load(), Broken: a.broken[i].Load()})
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Invariant.String() < counts[j].Invariant.String() })
	return counts
}
