// Package asserter checks invariants in the running program. Every check is counted; a broken invariant is
// logged and stops the process.
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
	// NotRunIsTrue holds when a refusal marked notRun never follows a byte sent to an upstream.
	NotRunIsTrue Invariant = iota
	// KeyStaysAtEntry holds when no request leaves a node with a caller's key.
	KeyStaysAtEntry
	// RetriesBounded holds when the attempts for a root call stay within its budget.
	RetriesBounded
	// RunsAtMostOnce holds when a non-idempotent request is not dispatched after it may have run.
	RunsAtMostOnce
	// ImportantShedLast holds when a gate sheds no waiting request while it admits a lower-ranked one.
	ImportantShedLast
	// WithinSlots holds when a gate has no more requests in progress than slots.
	WithinSlots
	// TokensWithinBurst holds when an owner's level and outstanding tokens stay within the burst.
	TokensWithinBurst
	// SpentWithinGrant holds when a node spends no more tokens than it was granted.
	SpentWithinGrant
	// VersionNeverReverts holds when a node's or replica's revision never goes back.
	VersionNeverReverts
	// FreshWhenKeyed holds when keyed work runs only under an unexpired certificate.
	FreshWhenKeyed
	// AccountOfKey holds when a request runs for the account of the key that came with it.
	AccountOfKey
	// WholeAnswer holds when an answer passed on as whole has the length that was announced.
	WholeAnswer
	// NoWorkWhenDraining holds when a draining gate admits nothing.
	NoWorkWhenDraining
	// CommittedStays holds when a replica never replaces a committed entry.
	CommittedStays
	// StopCutsNothing holds when a planned stop ends with no request in progress.
	StopCutsNothing

	invariantCount
)

var names = [invariantCount]string{
	"notRunIsTrue", "keyStaysAtEntry", "retriesBounded", "runsAtMostOnce", "importantShedLast", "withinSlots",
	"tokensWithinBurst", "spentWithinGrant", "versionNeverReverts", "freshWhenKeyed", "accountOfKey", "wholeAnswer",
	"noWorkWhenDraining", "committedStays", "stopCutsNothing",
}

// String returns the invariant's name as metrics and logs show it.
func (i Invariant) String() string {
	return names[i]
}

// Asserter counts checks and acts on broken invariants. A nil Asserter checks nothing.
type Asserter struct {
	log     *zap.Logger
	onBreak func(Invariant, string)
	checked [invariantCount]atomic.Uint64
	broken  [invariantCount]atomic.Uint64
}

// Option changes an Asserter under construction.
type Option func(*Asserter)

// WithOnBreak replaces the stop of the process on a broken invariant.
func WithOnBreak(f func(Invariant, string)) Option {
	return func(a *Asserter) { a.onBreak = f }
}

// exitStatus is the status of a process that an invariant stopped.
const exitStatus = 70

// New returns an Asserter that stops the process on a broken invariant, after it logged it. A panic would not do:
// net/http recovers those of its handlers.
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

// Check counts a check of i and acts when ok is false.
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

// Count tells how often one invariant was checked and found broken.
type Count struct {
	Invariant Invariant
	Checked   uint64
	Broken    uint64
}

// Counts returns the counts of all invariants, by name.
func (a *Asserter) Counts() []Count {
	counts := make([]Count, 0, invariantCount)
	for i := range invariantCount {
		counts = append(counts, Count{Invariant: i, Checked: a.checked[i].Load(), Broken: a.broken[i].Load()})
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Invariant.String() < counts[j].Invariant.String() })
	return counts
}
