package timer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is counted: smaller differences come from reading the two clocks one
// after the other.
const minSuspension = 10 * time.Millisecond

// SuspendAware returns a clock that includes the time during which the host was suspended, which the monotonic clock
// does not (clock_gettime(2), CLOCK_BOOTTIME). The expiry of leases and freshness certificates is checked against it.
func SuspendAware() func() time.Time {
	start := time.Now()
	bootAtStart, ok := sinceBoot()
	var suspended atomic.Int64
	return func() time.Time {
		now := time.Now()
		boot, readable := sinceBoot()
		if ok && readable {
			missed := int64((boot - bootAtStart) - now.Sub(start))
			if old := suspended.Load(); missed > old+int64(minSuspension) {
				suspended.CompareAndSwap(old, missed)
			}
		}
		return now.Add(time.Duration(suspended.Load()))
	}
}

// sinceBoot returns the time since the host booted, including suspensions. It returns false if that clock can't be read.
func sinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
