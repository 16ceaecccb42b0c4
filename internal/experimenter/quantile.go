package experimenter

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// quantile returns the value below which a share of the values lies, for display.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	at := int(math.Ceil(share*float64(len(sorted)))) - 1
	return round(sorted[max(0, at)])
}

// round shortens a time for display.
func round(d time.Duration) time.Duration {
	const digits = 100 * time.Microsecond
	return d.Round(digits)
}

func quote(n int) string {
	return strconv.Itoa(n)
}
