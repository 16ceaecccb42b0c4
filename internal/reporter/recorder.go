// Package reporter counts outcomes for each service and client account over several windows and reports how fast
// the service-level objectives burn.
package reporter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

// Class is the outcome of a root call as the objectives see it.
type Class int

// Classes.
const (
	// Good: a whole answer in time.
	Good Class = iota
	// Late: a whole answer that took too long.
	Late
	// Failed: no whole answer, or an error of the upstream.
	Failed
	// Shed: not run for lack of capacity.
	Shed
	// RefusedWithinRate: refused for its rate although the account kept to it.
	RefusedWithinRate
	// OverRate: refused for its rate. It does not count against the objective.
	OverRate
	// Ignored: the caller's own doing.
	Ignored

	classCount
)

// Windows are the spans that reports cover.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

const (
	// parts is the number of buckets of each window.
	parts = 12
	// maxRows bounds the pairs of service and account that one node counts; the rest go to one row.
	maxRows = 4096
	// otherName is the service and account of that row.
	otherName = "other"
)

// counts holds one number for each class.
type counts [classCount]uint64

// window is a ring of buckets over one span.
type window struct {
	buckets [parts]counts
	turn    int64
}

// advance moves the ring to the bucket of a moment and clears what fell out.
func (w *window) advance(span time.Duration, elapsed time.Duration) *counts {
	turn := int64(elapsed / (span / parts))
	for steps := 0; w.turn < turn; steps++ {
		w.turn++
		if steps < parts {
			w.buckets[w.turn%parts] = counts{}
		}
		if steps >= parts {
			w.turn = turn
		}
	}
	return &w.buckets[w.turn%parts]
}

func (w *window) sum() counts {
	var total counts
	for _, b := range w.buckets {
		for i, n := range b {
			total[i] += n
		}
	}
	return total
}

// row is the counts of one service and client account.
type row struct {
	mu        sync.Mutex
	objective float64
	windows   []window
}

type rowKey struct {
	service string
	account string
}

// Recorder counts outcomes at one node. It is safe for concurrent use.
type Recorder struct {
	timer *timer.Service
	began time.Time
	mu    sync.RWMutex
	rows  map[rowKey]*row
}

// NewRecorder returns a Recorder without counts.
func NewRecorder(t *timer.Service) *Recorder {
	return &Recorder{timer: t, began: t.Now(), rows: map[rowKey]*row{}}
}

// Record counts one root call. The objective is the share of calls that must be good.
func (r *Recorder) Record(service, account string, objective float64, class Class) {
	if class == Ignored {
		return
	}
	w := r.row(rowKey{service, account})
	elapsed := r.timer.Since(r.began)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.objective = objective
	for i, span := range Windows {
		w.windows[i].advance(span, elapsed)[class]++
	}
}

func (r *Recorder) row(k rowKey) *row {
	r.mu.RLock()
	found := r.rows[k]
	r.mu.RUnlock()
	if found != nil {
		return found
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.rows) >= maxRows && r.rows[k] == nil {
		k = rowKey{otherName, otherName}
	}
	if r.rows[k] == nil {
		r.rows[k] = &row{windows: make([]window, len(Windows))}
	}
	return r.rows[k]
}

// Report returns the counts of this node.
func (r *Recorder) Report() *schema.BurnReport {
	r.mu.RLock()
	defer r.mu.RUnlock()
	elapsed := r.timer.Since(r.began)
	out := &schema.BurnReport{}
	for k, w := range r.rows {
		out.Rows = append(out.Rows, w.report(k, elapsed))
	}
	sortRows(out.Rows)
	return out
}

func (w *row) report(k rowKey, elapsed time.Duration) *schema.BurnRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := &schema.BurnRow{Service: k.service, Account: k.account, Objective: w.objective}
	for i, span := range Windows {
		w.windows[i].advance(span, elapsed)
		n := w.windows[i].sum()
		out.Windows = append(out.Windows, &schema.BurnWindow{
			Seconds: uint64(span.Seconds()),
			Counts: &schema.BurnCounts{
				Good: n[Good], Late: n[Late], Failed: n[Failed], Shed: n[Shed],
				RefusedWithinRate: n[RefusedWithinRate], OverRate: n[OverRate],
			},
		})
	}
	return out
}

func sortRows(rows []*schema.BurnRow) {
	slices.SortFunc(rows, func(a, b *schema.BurnRow) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetAccount(), b.GetAccount()))
	})
}
