package admitter

import "time"

const (
	// congestionSpan and congestionSpans give the time over which congestion is measured, 0.2 s: entry nodes change what they
	// admit that often.
	congestionSpan  = 50 * time.Millisecond
	congestionSpans = 4
	// congestedWaitShare is the share of the time to its deadline that a call may wait for a slot without counting as
	// congested. A request that makes four calls one after the other, with waits of that length, runs out of time.
	congestedWaitShare = 0.25
)

// congestionMeter measures the share of recent calls that a gate refused for lack of capacity, or that waited for a slot
// for longer than a quarter of the time to their deadline. It serves gates that see from a few to hundreds of calls a
// second; the memory does not depend on their number.
type congestionMeter struct {
	spans [congestionSpans]congestionCount
}

// congestionCount counts the calls of one span. Spans are numbered since the Unix epoch.
type congestionCount struct {
	number    int64
	calls     int
	congested int
}

// record counts one call.
func (m *congestionMeter) record(congested bool, now time.Time) {
	number := now.UnixNano() / int64(congestionSpan)
	s := &m.spans[number%congestionSpans]
	if s.number != number {
		*s = congestionCount{number: number}
	}
	s.calls++
	if congested {
		s.congested++
	}
}

// recordWait counts a call whose wait for a slot ended without a refusal for lack of capacity.
func (m *congestionMeter) recordWait(w *waiter, now time.Time) {
	limit := time.Duration(float64(w.req.Deadline.Sub(w.enqueuedAt)) * congestedWaitShare)
	m.record(now.Sub(w.enqueuedAt) > limit, now)
}

// value returns the share of congested calls, from 0 to 1.
func (m *congestionMeter) value(now time.Time) float64 {
	number := now.UnixNano() / int64(congestionSpan)
	calls, congested := 0, 0
	for _, s := range m.spans {
		if number-s.number < congestionSpans {
			calls, congested = calls+s.calls, congested+s.congested
		}
	}
	if calls == 0 {
		return 0
	}
	return float64(congested) / float64(calls)
}
