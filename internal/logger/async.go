package logger

import (
	"io"
	"sync/atomic"

	"gopkg.in/tomb.v2"
)

// asyncLines bounds the lines that wait to be written.
const asyncLines = 1024

// AsyncWriter is a writer that never blocks: lines that the target does not take in time are dropped and counted.
type AsyncWriter struct {
	target  io.Writer
	lines   chan []byte
	tomb    tomb.Tomb
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer in front of a target.
func NewAsyncWriter(target io.Writer) *AsyncWriter {
	a := &AsyncWriter{target: target, lines: make(chan []byte, asyncLines)}
	a.tomb.Go(a.run)
	return a
}

// Write hands one line over. It never fails.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were lost.
func (a *AsyncWriter) Dropped() int64 {
	return a.dropped.Load()
}

// Close writes the lines that wait and ends the writer.
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
