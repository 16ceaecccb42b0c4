package logger

import (
	"io"
	"sync/atomic"

	"gopkg.in/tomb.v2"
)

// maxQueuedLines is the maximum number of lines queued for writing.
const maxQueuedLines = 1024

// AsyncWriter is a non-blocking writer that queues lines for a target writer. Lines that don't fit in the queue, or that the
// target fails to write, are dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	target  io.Writer
	lines   chan []byte
	tomb    tomb.Tomb
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer that queues lines for target. The caller must close it.
func NewAsyncWriter(target io.Writer) *AsyncWriter {
	a := &AsyncWriter{target: target, lines: make(chan []byte, maxQueuedLines)}
	a.tomb.Go(a.run)
	return a
}

// Write queues a copy of one line. It always returns len(p) and a nil error.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (a *AsyncWriter) Dropped() int64 {
	return a.dropped.Load()
}

// Close writes the queued lines and stops the writer. It doesn't close the target.
func (a *AsyncWriter) Close() error {
	a.tomb.Kill(nil)
	return a.tomb.Wait()
}

func (a *AsyncWriter) run() error {
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-a.tomb.Dying():
			for {
				select {
				case line := <-a.lines:
					a.write(line)
				default:
					return nil
				}
			}
		}
	}
}

func (a *AsyncWriter) write(line []byte) {
	if _, err := a.target.Write(line); err != nil {
		a.dropped.Add(1)
	}
}
