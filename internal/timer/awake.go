package timer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedStep is the least suspension that is counted: shorter ones are the time between the readings of two clocks.
const suspendedStep = 10 * time.Millisecond

// SuspendAware returns a clock that also counts the time during which the host was suspended, which the monotonic clock leaves
// out (clock_gettime(2), CLOCK_BOOTTIME). Leases and certificates are judged by it.
func SuspendAware() func() time.Time {
	began := time.Now()
	first, ok := sinceBoot()
	var suspended atomic.Int64
	return func() time.Time {
		now := time.Now()
		boot, readable := sinceBoot()
		if ok && readable {
			missed := int64((boot - first) - now.Sub(began))
			if old := suspended.Load(); missed > old+int64(suspendedStep) {
				suspended.CompareAndSwap(old, missed)
			}
		}
		return now.Add(time.Duration(suspended.Load()))
	}
}

// sinceBoot returns the time since the host started. It returns false where there is no such clock.
func sinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
