package logger

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// notableRate is how many lines a second tell of refused and failed requests; notableBurst how many may follow each
	// other at once. Together they keep a process's log under 20 KB a second.
	notableRate  = 40
	notableBurst = 80
	// plainRate is the same for requests that went well.
	plainRate  = 2
	plainBurst = 4
)

// DecisionLog logs what was decided on requests: one line a decision, bounded in rate. It is safe for concurrent use.
type DecisionLog struct {
	log     *zap.Logger
	notable *rate.Limiter
	plain   *rate.Limiter
	dropped atomic.Int64
}

// NewDecisionLog returns a log of decisions over a logger.
func NewDecisionLog(log *zap.Logger) *DecisionLog {
	return &DecisionLog{
		log: log, notable: rate.NewLimiter(notableRate, notableBurst), plain: rate.NewLimiter(plainRate, plainBurst),
	}
}

// LogFailure logs a refusal or a failure. Fields are worked out only for lines that are written.
func (d *DecisionLog) LogFailure(now time.Time, event string, fields func() []zap.Field) {
	d.write(d.notable, now, event, fields)
}

// LogSuccess logs a decision that let a request go on or end well.
func (d *DecisionLog) LogSuccess(now time.Time, event string, fields func() []zap.Field) {
	d.write(d.plain, now, event, fields)
}

func (d *DecisionLog) write(limit *rate.Limiter, now time.Time, event string, fields func() []zap.Field) {
	if !limit.AllowN(now, 1) {
		d.dropped.Add(1)
		return
	}
	d.log.Info(event, fields()...)
}

// Dropped returns how many lines were left out to bound the rate.
func (d *DecisionLog) Dropped() int64 {
	return d.dropped.Load()
}
