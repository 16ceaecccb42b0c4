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

// A thousand failures in one second must produce a limited number of lines, and the dropped lines must be counted.
func TestDecisionLogLimitsRate(t *testing.T) {
	var out bytes.Buffer
	d := NewDecisionLog(New(&out, zapcore.InfoLevel))
	now := time.Unix(1000, 0)
	const total = 1000
	fieldCalls := 0
	for i := range total {
		d.LogFailure(now.Add(time.Duration(i)*time.Millisecond), "requestEnded", func() []zap.Field {
			fieldCalls++
			return []zap.Field{zap.String("id", "a")}
		})
	}
	lines := strings.Count(out.String(), "\n")
	if limit := failureRate + failureBurst; lines > limit || lines < failureBurst {
		t.Errorf("%d lines, want %d to %d", lines, failureBurst, limit)
	}
	if fieldCalls != lines || d.Dropped() != int64(total-lines) {
		t.Errorf("fields called %d times for %d lines, %d counted as dropped", fieldCalls, lines, d.Dropped())
	}
}

// A target that blocks must not block writes, and the dropped lines must be counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	a := NewAsyncWriter(w)
	const total = 3 * maxQueuedLines
	for range total {
		if n, err := a.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	if dropped := a.Dropped(); dropped < total-maxQueuedLines-1 || dropped > total-maxQueuedLines {
		t.Errorf("%d of %d lines dropped, want all but the %d in the queue", dropped, total, maxQueuedLines)
	}
	// Writes to the closed pipe fail, and their lines count as dropped too.
	_ = r.Close()
	if err := a.Close(); err != nil {
		t.Error(err)
	}
	if dropped := a.Dropped(); dropped != total {
		t.Errorf("%d of %d lines counted as dropped", dropped, total)
	}
}
