package admitter

import (
	"math"
	"time"
)

const (
	// recentTime is the time constant of the mean request time. It follows a change within a second.
	recentTime = 400 * time.Millisecond
	// minRecent is the weight in requests that older requests keep in the mean when few finish.
	minRecent = 5
	// effectTime is the time constant of the measured effect of a reported slowdown: several periods of slowness.
	effectTime = 20 * time.Second
	// minEffectSamples is the weight in requests, minSlowdownVariance the variance of the reported slowdown, below which
	// the effect counts as unknown.
	minEffectSamples    = 50
	minSlowdownVariance = 0.001
	// effectErrors is the number of standard errors by which the effect must differ from none.
	effectErrors = 2
	// maxCorrection is the factor by which a reported slowdown may change the expected time. Hosts become slower by
	// factors of up to 2.5.
	maxCorrection = 3.0
)

// expectedTime predicts the time of one more request: the recent mean, corrected for the change of the reported slowdown since
// those requests ran. The reports are not trusted: the correction is the effect that earlier changes of the reported slowdown had
// on measured times (a linear regression), so that a report without relation to them has none.
type expectedTime struct {
	recent moments
	effect moments
}

// moments holds decayed sums over finished requests: of their times in seconds (y) and of the slowdown while they ran (x).
type moments struct {
	n, x, y, xx, xy, yy float64
	at                  time.Time
}

// add adds a request after decaying the sums. The requests keep a weight of at least minWeight.
func (m *moments) add(x, y float64, now time.Time, decayTime time.Duration, minWeight float64) {
	decay := math.Exp(-max(0, now.Sub(m.at).Seconds()) / decayTime.Seconds())
	if m.n > 0 {
		decay = max(decay, min(1, minWeight/m.n))
	}
	m.at = now
	for _, sum := range []*float64{&m.n, &m.x, &m.y, &m.xx, &m.xy, &m.yy} {
		*sum *= decay
	}
	m.n++
	m.x += x
	m.y += y
	m.xx += x * x
	m.xy += x * y
	m.yy += y * y
}

// slope returns the time in seconds that a slowdown of one adds, reduced by its uncertainty. It is between zero and the
// mean time divided by the mean slowdown, which means that all of the time grows with the slowdown.
func (m *moments) slope() float64 {
	if m.n < minEffectSamples {
		return 0
	}
	meanX, meanY := m.x/m.n, m.y/m.n
	varX := m.xx/m.n - meanX*meanX
	if varX < minSlowdownVariance {
		return 0
	}
	b := (m.xy/m.n - meanX*meanY) / varX
	if b <= 0 {
		return 0
	}
	residual := max(0, m.yy/m.n-meanY*meanY-b*b*varX)
	errorShare := effectErrors * effectErrors * residual / (m.n * varX) / (b * b)
	return min(b*max(0, 1-errorShare), meanY/meanX)
}

// record adds a finished request and the mean slowdown while it ran, which is 1 if none is reported.
func (e *expectedTime) record(total time.Duration, slowdown float64, now time.Time) {
	e.recent.add(slowdown, total.Seconds(), now, recentTime, minRecent)
	e.effect.add(slowdown, total.Seconds(), now, effectTime, minEffectSamples)
}

// mean returns the recent mean time.
func (e *expectedTime) mean() time.Duration {
	if e.recent.n == 0 {
		return 0
	}
	return seconds(e.recent.y / e.recent.n)
}

// at returns the expected time at the given slowdown.
func (e *expectedTime) at(slowdown float64) time.Duration {
	if e.recent.n == 0 {
		return 0
	}
	mean := e.recent.y / e.recent.n
	t := mean + e.effect.slope()*(slowdown-e.recent.x/e.recent.n)
	return seconds(max(mean/maxCorrection, min(mean*maxCorrection, t)))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
