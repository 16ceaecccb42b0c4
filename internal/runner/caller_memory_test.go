package runner

import (
	"runtime/debug"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// The defaults must leave room for a body of the largest size on the users' platform, and for a few thousand connections.
func TestCallerMemoryDefaults(t *testing.T) {
	const heap, body, spare = 184 << 20 * 60 / 100, 64 << 20, 8 << 20
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(heap))
	if limit := newCallerBudget(timer.New(), 0, metrics.NewRegistry()).Limit(); limit < body+spare || limit > heap*3/4 {
		t.Errorf("the budget is %d bytes", limit)
	}
	if limit := newCallerBudget(timer.New(), 5, metrics.NewRegistry()).Limit(); limit != 5 {
		t.Errorf("the setting gives %d bytes", limit)
	}
	if n := maxConnections(); n < 2000 || n > 3500 {
		t.Errorf("at most %d connections", n)
	}
}
