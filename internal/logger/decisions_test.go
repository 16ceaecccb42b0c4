package logger

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A thousand failures in one second leave a bounded number of lines, and the rest is counted.
func TestDecisionsAreBounded(t *testing.T) {
	var out bytes.Buffer
	d := NewDecisionLog(New(&out, zapcore.InfoLevel))
	now := time.Unix(1000, 0)
	const asked = 1000
	worked := 0
	for i := range asked {
		d.LogFailure(now.Add(time.Duration(i)*time.Millisecond), "requestEnded", func() []zap.Field {
			worked++
			return []zap.Field{zap.String("id", "a")}
		})
	}
	lines := strings.Count(out.String(), "\n")
	if limit := notableRate + notableBurst; lines > limit || lines < notableBurst {
		t.Errorf("%d lines, want %d to %d", lines, notableBurst, limit)
	}
	if worked != lines || d.Dropped() != int64(asked-lines) {
		t.Errorf("fields worked out %d times for %d lines, %d counted as left out", worked, lines, d.Dropped())
	}
}

// A target that takes nothing blocks nobody, and what is lost is counted.
func TestAsyncNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	a := NewAsyncWriter(w)
	const asked = 3 * asyncLines
	for range asked {
		if n, err := a.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	if lost := a.Dropped(); lost < asked-asyncLines-1 || lost > asked-asyncLines {
		t.Errorf("%d of %d lines lost, want all but the %d that wait", lost, asked, asyncLines)
	}
	// Writes to the closed pipe fail and are counted as well.
	_ = r.Close()
	if err := a.Close(); err != nil {
		t.Error(err)
	}
	if lost := a.Dropped(); lost != asked {
		t.Errorf("%d of %d lines counted as lost", lost, asked)
	}
}
