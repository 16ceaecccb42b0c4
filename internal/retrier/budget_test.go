package retrier

import (
	"math"
	"testing"
)

// TestManyAttemptsAllowNoRetry guards against a route whose number of attempts overflows, so that its requests get no retry or count
// some twice.
func TestManyAttemptsAllowNoRetry(t *testing.T) {
	for _, n := range []uint32{1, 2, math.MaxInt32 - 1, math.MaxInt32, math.MaxInt32 + 1, math.MaxUint32 - 1, math.MaxUint32} {
		b := NewBudget(n)
		nested := b.Reserve()
		nested.Settle(math.MaxUint32)
		if spent := b.Spent(); spent > n || spent == 0 {
			t.Errorf("%d retries: a nested call that used all spent %d", n, spent)
		}
		if b := NewBudget(n); !b.Take() || b.Spent() != 1 {
			t.Errorf("%d retries: none can be taken, %d are left", n, b.Left())
		}
	}
}
