package experimenter

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// quantile returns the q-quantile of the values by the nearest-rank method, rounded for display, or 0 without values.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return roundDuration(sorted[max(0, rank)])
}

// roundDuration rounds d for display.
func roundDuration(d time.Duration) time.Duration {
	const precision = 100 * time.Microsecond
	return d.Round(precision)
}

func itoa(n int) string {
	return strconv.Itoa(n)
}
