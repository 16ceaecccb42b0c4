package limiter

import "time"

const (
	// maxClips bounds the remembered clips of one account.
	maxClips = 64
	// clipLifetime is how long a clip can be given back: a grant is settled within its lifetime.
	clipLifetime = ownerLifetime
)

// clip is a span in which a full bucket lost its refill, at a rate in tokens a second.
type clip struct {
	from time.Time
	to   time.Time
	rate float64
}

// clips are the clips of one account, oldest first.
type clips struct {
	list []clip
}

func (c *clips) add(one clip, now time.Time) {
	for len(c.list) > 0 && (len(c.list) >= maxClips || now.Sub(c.list[0].to) > clipLifetime) {
		c.list = c.list[1:]
	}
	c.list = append(c.list, one)
}

// take returns up to an amount of what was clipped after a moment, and forgets it. The earliest goes first, since the
// later can serve more of the news to come.
func (c *clips) take(amount float64, after time.Time) float64 {
	taken := 0.0
	kept := make([]clip, 0, len(c.list)+1)
	for _, one := range c.list {
		start := one.from
		if after.After(start) {
			start = after
		}
		part := min(amount-taken, one.rate*one.to.Sub(start).Seconds())
		if part <= 0 {
			kept = append(kept, one)
			continue
		}
		taken += part
		if start.After(one.from) {
			kept = append(kept, clip{from: one.from, to: start, rate: one.rate})
		}
		end := start.Add(time.Duration(part / one.rate * float64(time.Second)))
		if end.Before(one.to) {
			kept = append(kept, clip{from: end, to: one.to, rate: one.rate})
		}
	}
	c.list = kept
	return taken
}
