package controller

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

// usage is the heap and the size of the data folder of a control host.
type usage struct {
	heap, disk int64
}

func measureUsage(t *testing.T, folder string) usage {
	t.Helper()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u := usage{heap: int64(m.HeapInuse)}
	err := filepath.Walk(folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil {
			u.disk += info.Size()
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// TestManyLargeConfigurationsUseUpControlHost guards against control hosts that run out of memory or disk after a few hundred changes
// of a large configuration, and again at each start.
func TestManyLargeConfigurationsUseUpControlHost(t *testing.T) {
	const (
		few, many = 60, 400
		// maxRatio is the stated bound on the growth from few changes to many.
		maxRatio = 1.25
		// slack allows for what the test itself and the runtime hold.
		slack = 8 << 20
	)
	folder := t.TempDir()
	c := startLoneController(t, folder)
	document := []byte(strings.Repeat("x", 400<<10))
	var before usage
	for i := range many {
		doc := append([]byte(fmt.Sprint(i)), document...)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		result, err := c.Change(ctx, &schema.Command{Change: &schema.Command_ReplaceConfiguration{
			ReplaceConfiguration: &schema.ReplaceConfiguration{
				BaseVersion: uint64(i), Configuration: &schema.Configuration{Version: uint64(i + 1), Document: doc},
			},
		}})
		cancel()
		if err != nil || result.GetStatus() != schema.ResultStatus_RESULT_STATUS_OK {
			t.Fatalf("change %d: %v %v", i, result, err)
		}
		if i+1 == few {
			before = measureUsage(t, folder)
		}
	}
	after := measureUsage(t, folder)
	t.Logf("after %d changes: heap %d MB, disk %d MB; after %d: %d MB, %d MB", few, before.heap>>20, before.disk>>20, many,
		after.heap>>20, after.disk>>20)
	if float64(after.heap) > maxRatio*float64(before.heap)+slack || float64(after.disk) > maxRatio*float64(before.disk) {
		t.Errorf("heap and disk have grown from %+v to %+v, want at most %v times as much", before, after, maxRatio)
	}
	if err := c.Kill(); err != nil {
		t.Fatal(err)
	}
	c = startLoneController(t, folder)
	if restarted := measureUsage(t, folder); float64(restarted.heap) > maxRatio*float64(after.heap)+slack {
		t.Errorf("the heap after a restart is %d MB, %d MB before", restarted.heap>>20, after.heap>>20)
	}
	version := uint64(0)
	if err := c.do(t.Context(), func(time.Time) { version, _ = c.machine.Configuration() }); err != nil || version != many {
		t.Errorf("version %d after a restart, want %d: %v", version, many, err)
	}
}

// startLoneController starts the only control host of a fleet and waits until it leads.
func startLoneController(t *testing.T, folder string) *Controller {
	t.Helper()
	tm := timer.New()
	security, err := dialer.NewSecurity(nil, tm, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(Parts{
		Settings: &schema.ControlSettings{
			Name: "c", Address: "127.0.0.1:1", DataFolder: folder,
			Peers: []*schema.PeerSettings{{Name: "c", Address: "127.0.0.1:1"}},
		},
		Timer: tm, Log: zap.NewNop(), Assert: asserter.New(zap.NewNop()), Registry: metrics.NewRegistry(),
		Pool: dialer.NewPool(security, tm),
	})
	if err != nil {
		t.Fatal(err)
	}
	c.Run()
	t.Cleanup(func() { _ = c.Kill() })
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		leads := false
		if err := c.do(t.Context(), func(now time.Time) { leads = c.changeRefusal(now) == nil && c.leading != nil }); err == nil && leads {
			return c
		}
	}
	t.Fatal("the control host does not lead")
	return nil
}
