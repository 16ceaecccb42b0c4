package logger

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// failureRate and failureBurst limit the lines about refused and failed requests, in lines per second and in lines.
	// Together they keep the log of a process below 20 KB per second.
	failureRate  = 40
	failureBurst = 80
	// successRate and successBurst limit the lines about successful requests.
	successRate  = 2
	successBurst = 4
)

// DecisionLog logs decisions on requests, one line per decision, and limits the rate of lines. It is safe for concurrent
// use.
type DecisionLog struct {
	log       *zap.Logger
	failures  *rate.Limiter
	successes *rate.Limiter
	dropped   atomic.Int64
}

// NewDecisionLog returns a decision log that writes to log.
func NewDecisionLog(log *zap.Logger) *DecisionLog {
	return &DecisionLog{
		log: log, failures: rate.NewLimiter(failureRate, failureBurst), successes: rate.NewLimiter(successRate, successBurst),
	}
}

// LogFailure logs a refusal or a failure. It calls fields only for lines that are written.
func (d *DecisionLog) LogFailure(now time.Time, event string, fields func() []zap.Field) {
	d.write(d.failures, now, event, fields)
}

// LogSuccess logs a decision on a request that was admitted or succeeded. It calls fields only for lines that are written.
func (d *DecisionLog) LogSuccess(now time.Time, event string, fields func() []zap.Field) {
	d.write(d.successes, now, event, fields)
}

func (d *DecisionLog) write(limiter *rate.Limiter, now time.Time, event string, fields func() []zap.Field) {
	if !limiter.AllowN(now, 1) {
		d.dropped.Add(1)
		return
	}
	d.log.Info(event, fields()...)
}

// Dropped returns the number of lines that were dropped by the rate limits.
func (d *DecisionLog) Dropped() int64 {
	return d.dropped.Load()
}
