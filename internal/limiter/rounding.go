package limiter

import "math"

// Tokens are counted as floating-point numbers, whose spacing grows with their size: between 2^53 and 2^54 it is two tokens. What may
// be granted is therefore rounded down, so that rounding creates no tokens under a quota of any size.

// addDown returns a + b rounded down.
func addDown(a, b float64) float64 {
	sum := a + b
	// The rounding error of a sum is a floating-point number, and these operations compute it without error (Knuth, The Art of
	// Computer Programming, volume 2, section 4.2.2, theorem B). A sum that overflows has none.
	fromB := sum - a
	if err := (a - (sum - fromB)) + (b - fromB); err < 0 {
		return math.Nextafter(sum, math.Inf(-1))
	}
	return sum
}

// subtractDown returns a - b rounded down.
func subtractDown(a, b float64) float64 {
	return addDown(a, -b)
}
