package controller

import (
	"time"

	"github.com/lavenderhub/lavenderhub/internal/replicator"
)

const (
	// maxLag is the lag of the control goroutine from which on the leader is overloaded. Beyond it heartbeats are late.
	maxLag = replicator.HeartbeatInterval
	// paceInterval is how often the share is adjusted.
	paceInterval = 100 * time.Millisecond
	// minShare bounds the share from below, and shareStep is its growth in one interval.
	minShare  = 0.02
	shareStep = 0.02
)

// pace determines which share of the usual exchanges the leader asks for. The share is halved in each interval in which the
// control goroutine ran late, and grows slowly otherwise.
type pace struct {
	lastTick   time.Time
	adjustedAt time.Time
	worst      time.Duration
	share      float64
}

func newPace() pace {
	return pace{share: 1}
}

// recordTick records a tick of the control goroutine and returns by how much it was late.
func (p *pace) recordTick(now time.Time) time.Duration {
	if p.lastTick.IsZero() {
		p.lastTick, p.adjustedAt = now, now
	}
	lag := max(0, now.Sub(p.lastTick)-tickInterval)
	p.lastTick = now
	p.worst = max(p.worst, lag)
	if now.Sub(p.adjustedAt) >= paceInterval {
		p.adjust()
		p.adjustedAt = now
	}
	return lag
}

// exclude leaves time out of the lag that was spent on something other than exchanges.
func (p *pace) exclude(d time.Duration) {
	p.lastTick = p.lastTick.Add(d)
}

func (p *pace) adjust() {
	if p.worst > maxLag {
		p.share = max(minShare, p.share/2)
	} else {
		p.share = min(1, p.share+shareStep)
	}
	p.worst = 0
}
