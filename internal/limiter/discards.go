package limiter

import "time"

const (
	// maxDiscards limits the number of recorded discards of one account.
	maxDiscards = 64
	// discardLifetime is how long discarded refill can be reclaimed. A grant is settled within its lifetime, so no later
	// report can reclaim it.
	discardLifetime = ownerLifetime
)

// discard is a period in which a full bucket could not take its refill, which came at a rate in tokens per second.
type discard struct {
	from time.Time
	to   time.Time
	rate float64
}

// discards holds the discarded refill of one account, oldest first.
type discards struct {
	list []discard
}

func (ds *discards) add(d discard, now time.Time) {
	for len(ds.list) > 0 && (len(ds.list) >= maxDiscards || now.Sub(ds.list[0].to) > discardLifetime) {
		ds.list = ds.list[1:]
	}
	ds.list = append(ds.list, d)
}

// reclaim removes refill that was discarded after a time and returns how many tokens it removed, at most amount. It
// takes the earliest first, because more of the reports to come can reclaim the later refill.
func (ds *discards) reclaim(amount float64, after time.Time) float64 {
	reclaimed := 0.0
	remaining := make([]discard, 0, len(ds.list)+1)
	for _, d := range ds.list {
		start := d.from
		if after.After(start) {
			start = after
		}
		part := min(amount-reclaimed, d.rate*d.to.Sub(start).Seconds())
		if part <= 0 {
			remaining = append(remaining, d)
			continue
		}
		reclaimed += part
		if start.After(d.from) {
			remaining = append(remaining, discard{from: d.from, to: start, rate: d.rate})
		}
		end := start.Add(time.Duration(part / d.rate * float64(time.Second)))
		if end.Before(d.to) {
			remaining = append(remaining, discard{from: end, to: d.to, rate: d.rate})
		}
	}
	ds.list = remaining
	return reclaimed
}
