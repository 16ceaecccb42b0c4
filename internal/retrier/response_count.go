package retrier

// responseCount counts the responses of an interval.
type responseCount struct {
	all      int
	affected int
}

func (c *responseCount) add(affected bool) {
	c.all++
	if affected {
		c.affected++
	}
}

// usualAffected is the share of affected responses at which the admitted share stays: at full use, a tenth of the requests is slow
// without an overload.
const usualAffected = 0.1

// decrease returns the part by which the affected share lowers the admitted share.
func (c responseCount) decrease() float64 {
	affected := float64(c.affected) / float64(max(c.all, minShareResponses))
	return shareDecrease * max(0, affected-usualAffected) / (1 - usualAffected)
}
