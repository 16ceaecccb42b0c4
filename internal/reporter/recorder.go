// Package reporter counts request outcomes per service and client account over several time windows, and reports the burn
// rates of the error budgets.
package reporter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

// Class classifies the outcome of a root call for the service-level objective.
type Class int

// Classes of outcomes. Late, Failed, Shed and RefusedWithinRate use up the error budget.
const (
	// Good is a complete response within the latency objective.
	Good Class = iota
	// Late is a complete response that exceeded the latency objective.
	Late
	// Failed is a request without a complete response, or with an error status from the upstream.
	Failed
	// Shed is a request that was not run for lack of capacity.
	Shed
	// RefusedWithinRate is a rate-limited request of an account that was within its rate across the fleet.
	RefusedWithinRate
	// OverRate is a rate-limited request of an account that exceeded its rate. It does not count against the objective.
	OverRate
	// Ignored is an outcome that the caller caused, such as a bad request. It is not counted.
	Ignored

	classCount
)

// Windows lists the time windows of a report, the shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

const (
	// bucketCount is the number of buckets in each window.
	bucketCount = 12
	// maxRows is the maximum number of pairs of service and account that a node counts separately. Requests of further
	// pairs are counted in a shared row.
	maxRows = 4096
	// otherName is the service and the account of the shared row.
	otherName = "other"
)

// counts holds the number of requests in each class.
type counts [classCount]uint64

// window counts requests in a ring of buckets that covers one time window.
type window struct {
	buckets [bucketCount]counts
	// current is the sequence number of the newest bucket, counted from the start of the recorder.
	current int64
}

// advance moves the ring to the bucket for the elapsed time, clears the buckets that expired, and returns the current
// bucket.
func (w *window) advance(span time.Duration, elapsed time.Duration) *counts {
	target := int64(elapsed / (span / bucketCount))
	for steps := 0; w.current < target; steps++ {
		w.current++
		if steps < bucketCount {
			w.buckets[w.current%bucketCount] = counts{}
		}
		if steps >= bucketCount {
			w.current = target
		}
	}
	return &w.buckets[w.current%bucketCount]
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

// row holds the counts of one service and client account.
type row struct {
	mu        sync.Mutex
	objective float64
	windows   []window
}

type rowKey struct {
	service string
	account string
}

// Recorder counts the outcomes of root calls at one node. It is safe for concurrent use.
type Recorder struct {
	timer     *timer.Service
	startedAt time.Time
	mu        sync.RWMutex
	rows      map[rowKey]*row
}

// NewRecorder returns an empty Recorder.
func NewRecorder(t *timer.Service) *Recorder {
	return &Recorder{timer: t, startedAt: t.Now(), rows: map[rowKey]*row{}}
}

// Record counts a root call. The objective is the fraction of calls that must be good, between 0 and 1.
func (r *Recorder) Record(service, account string, objective float64, class Class) {
	if class == Ignored {
		return
	}
	row := r.row(rowKey{service, account})
	elapsed := r.timer.Since(r.startedAt)
	row.mu.Lock()
	defer row.mu.Unlock()
	row.objective = objective
	for i, span := range Windows {
		row.windows[i].advance(span, elapsed)[class]++
	}
}

// row returns the row of a service and account, creating it if needed. It returns the shared row once maxRows exist.
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

// Report returns the counts of this node, sorted by service and account.
func (r *Recorder) Report() *schema.BurnReport {
	r.mu.RLock()
	defer r.mu.RUnlock()
	elapsed := r.timer.Since(r.startedAt)
	out := &schema.BurnReport{}
	for k, row := range r.rows {
		out.Rows = append(out.Rows, row.report(k, elapsed))
	}
	sortRows(out.Rows)
	return out
}

func (r *row) report(k rowKey, elapsed time.Duration) *schema.BurnRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &schema.BurnRow{Service: k.service, Account: k.account, Objective: r.objective}
	for i, span := range Windows {
		r.windows[i].advance(span, elapsed)
		n := r.windows[i].sum()
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
