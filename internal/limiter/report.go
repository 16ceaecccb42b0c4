package limiter

import "time"

// reportInterval is the longest time between two reports of an unchanged bucket. It leaves time to renew the lease and the
// tokens before they expire.
const reportInterval = 900 * time.Millisecond

// report is what a bucket has told the owner in one request.
type report struct {
	at         time.Time
	settled    float64
	unspent    float64
	spentCount uint64
	waiting    int
}

// newReport returns the report of the bucket's present state.
func (b *Bucket) newReport(now time.Time) report {
	return report{at: now, settled: b.settled, unspent: b.unspent, spentCount: b.spentCount, waiting: len(b.waiters)}
}

// HasNews reports whether a request waits for a token, or tokens were settled that the owner still counts as outstanding.
// Without news the bucket may be left out of an exchange ahead of the interval.
func (b *Bucket) HasNews() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropExpired(b.timer.Now())
	return len(b.waiters) > 0 || b.settled != b.acknowledged.settled
}

// IsReportDue reports whether the bucket has changed since the last report that the owner has acknowledged in this epoch, or
// that report is old. Otherwise the bucket may be left out of an exchange: the owner counts its tokens and its lease until
// they expire.
func (b *Bucket) IsReportDue(epoch uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	b.dropExpired(now)
	current := b.newReport(b.acknowledged.at)
	return epoch != b.epoch || current != b.acknowledged || len(b.waiters) > 0 || now.Sub(b.acknowledged.at) >= reportInterval
}
