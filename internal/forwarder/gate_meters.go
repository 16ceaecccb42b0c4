package forwarder

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
)

// invalidLoadPause is the time between two log lines about invalid load reports of one upstream.
const invalidLoadPause = time.Minute

// gateMeters shows what the gates in front of the local upstreams have learned, in metrics and log lines.
type gateMeters struct {
	limit        metrics.Gauge
	expectedTime metrics.GaugeFloat64
	slowdown     metrics.GaugeFloat64
	invalidLoads metrics.Counter
	log          *zap.Logger

	mu        sync.Mutex
	limits    map[*admitter.Gate]int
	invalidAt map[string]time.Time
}

func newGateMeters(r metrics.Registry, log *zap.Logger) *gateMeters {
	return &gateMeters{
		limit:        metrics.GetOrRegisterGauge("gate.limit", r),
		expectedTime: metrics.GetOrRegisterGaugeFloat64("gate.expectedTime", r),
		slowdown:     metrics.GetOrRegisterGaugeFloat64("gate.slowdown", r),
		invalidLoads: metrics.GetOrRegisterCounter("load.invalid", r),
		log:          log,
		limits:       map[*admitter.Gate]int{},
		invalidAt:    map[string]time.Time{},
	}
}

// update records the state of a gate, and logs when what it has learned changes its limit.
func (m *gateMeters) update(up *announcer.Upstream, r admitter.Report) {
	m.limit.Update(int64(r.Limit))
	m.expectedTime.Update(r.Expected.Seconds())
	m.slowdown.Update(r.Slowdown)
	m.mu.Lock()
	old, known := m.limits[up.Gate]
	if !known {
		// There is one gate for each running instance. Earlier ones are no longer needed.
		clear(m.limits)
	}
	m.limits[up.Gate] = r.Learned
	m.mu.Unlock()
	if known && old != r.Learned {
		m.log.Info("gateLimitLearned", zap.String("service", up.Service), zap.String("instance", up.Instance), zap.Int("limit", r.Learned),
			zap.Int("before", old), zap.Duration("expectedTime", r.Expected), zap.Float64("slowdown", r.Slowdown), zap.Float64("load", r.Load))
	}
}

// countInvalidLoad counts an invalid load report, and logs it once in a while for each upstream.
func (m *gateMeters) countInvalidLoad(up *announcer.Upstream, err error, now time.Time) {
	m.invalidLoads.Inc(1)
	m.mu.Lock()
	at, known := m.invalidAt[up.Service]
	due := !known || now.Sub(at) >= invalidLoadPause
	if due {
		m.invalidAt[up.Service] = now
	}
	m.mu.Unlock()
	if due {
		m.log.Warn("loadInvalid", zap.String("service", up.Service), zap.String("instance", up.Instance), zap.Error(err))
	}
}
