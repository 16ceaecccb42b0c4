package controller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/replicator"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

func startTestController(t *testing.T) *Controller {
	t.Helper()
	tm := timer.New()
	security, err := dialer.NewSecurity(nil, tm, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(Parts{
		Settings: &schema.ControlSettings{Name: "c", Address: "127.0.0.1:1", DataFolder: t.TempDir()},
		Timer:    tm, Log: zap.NewNop(), Assert: asserter.New(zap.NewNop()), Registry: metrics.NewRegistry(),
		Pool: dialer.NewPool(security, tm),
	})
	if err != nil {
		t.Fatal(err)
	}
	c.Run()
	t.Cleanup(func() { _ = c.Kill() })
	return c
}

// TestHeartbeatWaitsBehindExchanges guards against a healthy leader that is replaced because the messages of its quorum wait
// behind the exchanges of a large fleet on a slow processor.
func TestHeartbeatWaitsBehindExchanges(t *testing.T) {
	for _, nodes := range []int{186, 1900} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := startTestController(t)
			const exchangeTime = 2 * time.Millisecond
			ctx, cancel := context.WithCancel(context.Background())
			var started, group sync.WaitGroup
			started.Add(nodes)
			for range nodes {
				group.Go(func() {
					started.Done()
					_ = c.do(ctx, func(time.Time) { time.Sleep(exchangeTime) })
				})
			}
			started.Wait()
			start := time.Now()
			if _, err := c.Step(ctx, &schema.StepRequest{}); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(start); took > replicator.ElectionTimeout/2 {
				t.Errorf("a message of another replica took %v, want at most %v", took, replicator.ElectionTimeout/2)
			}
			cancel()
			group.Wait()
		})
	}
}

// TestExchangesBeyondCapacityAreRejected guards against exchanges that pile up at a busy leader and are all answered too late.
func TestExchangesBeyondCapacityAreRejected(t *testing.T) {
	c := startTestController(t)
	release := make(chan struct{})
	handler := c.boundExchanges(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	var group sync.WaitGroup
	for range maxExchanges {
		group.Go(func() {
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", http.NoBody))
		})
	}
	for len(c.exchangeSlots) < maxExchanges {
		time.Sleep(time.Millisecond)
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", http.NoBody))
	if w.Code != http.StatusTooManyRequests || !strings.Contains(w.Body.String(), "busy") {
		t.Errorf("got %d %s, want 429 while all slots are in use", w.Code, w.Body)
	}
	close(release)
	group.Wait()
	w = httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", http.NoBody))
	if w.Code != http.StatusOK {
		t.Errorf("got %d once the slots are free, want 200", w.Code)
	}
}
