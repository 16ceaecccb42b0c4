package retrier

import "time"

// congestionLifetime is how long a measured congestion is believed. Its current value falls to zero in that time, so that it
// does not outlive its cause however many nodes pass it on.
const congestionLifetime = time.Second

// Congestion is how full a service was at a given time: the share, from 0 to 1, of its calls that waited for long or were
// refused for lack of capacity. The zero value means none.
type Congestion struct {
	Service string
	Value   float64
	At      time.Time
}

// Current returns the value, lowered by the age of the measurement.
func (c Congestion) Current(now time.Time) float64 {
	if c.Value <= 0 {
		return 0
	}
	age := max(0, now.Sub(c.At))
	return c.Value * max(0, 1-age.Seconds()/congestionLifetime.Seconds())
}
