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

// decrease returns the part by which the affected share lowers the admitted share.
func (c responseCount) decrease() float64 {
	return shareDecrease * float64(c.affected) / float64(max(c.all, minShareResponses))
}
