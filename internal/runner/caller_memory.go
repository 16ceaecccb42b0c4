package runner

import (
	"math"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/budgeter"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// defaultHeap is the memory of the Go runtime in bytes for a process that sets no limit, such as a fleet in one process.
	defaultHeap = 192 << 20
	// callerShare is the part of the runtime's memory that callers and upstreams may hold. At 184 MB for the process it is 73.6 MB,
	// room for one body of 64 MB. The rest is for the node's own state and for what is not collected yet.
	callerShare = 2.0 / 3
	// connectionShare is the part of the runtime's memory for callers' connections at connectionSize bytes each, and descriptorShare
	// the part of the process's file descriptors. The rest of the descriptors is for upstreams and other nodes.
	connectionShare = 1.0 / 2
	connectionSize  = 20 << 10
	descriptorShare = 3.0 / 4
	// auxiliaryConnections bounds the connections to a port that only a few clients use, on the same host or of the platform.
	auxiliaryConnections = 64
	// pressureInterval is the time between two log lines about the budget.
	pressureInterval = time.Minute
)

// runtimeMemory returns the memory in bytes that the Go runtime may use.
func runtimeMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	return defaultHeap
}

// newCallerBudget returns the budget of what the process holds for callers, upstreams and other processes. A limit of zero is derived
// from the memory of the runtime.
func newCallerBudget(t *timer.Service, limit uint64, registry metrics.Registry) *budgeter.Budget {
	size := int64(min(limit, math.MaxInt64))
	if size == 0 {
		size = int64(float64(runtimeMemory()) * callerShare)
	}
	b := budgeter.New(t, size)
	for name, value := range map[string]func() int64{
		"callerMemory.limit": b.Limit, "callerMemory.used": b.Used, "callerMemory.refused": b.Refused, "callerMemory.dropped": b.Dropped,
	} {
		registry.GetOrRegister(name, metrics.NewFunctionalGauge(value))
	}
	return b
}

// maxConnections returns the number of callers' connections for which there are memory and descriptors.
func maxConnections() int64 {
	n := int64(float64(runtimeMemory()) * connectionShare / connectionSize)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < math.MaxInt64 {
		n = min(n, int64(float64(files.Cur)*descriptorShare))
	}
	return n
}

// logPressure logs once a minute how much was refused and dropped, if anything was.
func logPressure(t *tomb.Tomb, tm *timer.Service, log *zap.Logger, b *budgeter.Budget, closed func() int64) error {
	every := tm.Every(pressureInterval)
	defer every.Stop()
	var refused, dropped, shut int64
	for {
		select {
		case <-t.Dying():
			return nil
		case <-every.C:
		}
		nowRefused, nowDropped, nowShut := b.Refused(), b.Dropped(), closed()
		if nowRefused+nowDropped+nowShut > refused+dropped+shut {
			log.Warn("callerMemory", zap.Int64("limit", b.Limit()), zap.Int64("used", b.Used()), zap.Int64("refused", nowRefused-refused),
				zap.Int64("dropped", nowDropped-dropped), zap.Int64("closedConnections", nowShut-shut))
		}
		refused, dropped, shut = nowRefused, nowDropped, nowShut
	}
}

// streamSize is the memory in bytes of a request on a multiplexed connection, besides its header section and its body.
const streamSize = 16 << 10

// chargeStreams charges the requests of callers on HTTP/2 connections, whose number no limit on connections bounds.
func chargeStreams(b *budgeter.Budget, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor < 2 {
			h.ServeHTTP(w, r)
			return
		}
		size := int64(streamSize)
		for name, values := range r.Header {
			for _, v := range values {
				size += int64(len(name) + len(v))
			}
		}
		if !b.Take(size) {
			refuser.NewRetryable(refuser.NotRun, refuser.OutOfMemory, "the node has no memory for the request", time.Second).Write(w)
			return
		}
		defer b.Return(size)
		h.ServeHTTP(w, r)
	})
}
