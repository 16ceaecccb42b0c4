package runner

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/parser"
)

// watchInterval is the interval at which the settings file is read, since it can change without a signal.
const watchInterval = time.Second

// Watcher reloads a process when its settings file changes.
type Watcher struct {
	process     *Process
	file        string
	log         *zap.Logger
	tomb        tomb.Tomb
	lastContent []byte
}

// Watch starts a watcher that reads the settings file periodically and on each signal from hangups.
func Watch(p *Process, file string, log *zap.Logger, hangups <-chan os.Signal) *Watcher {
	w := &Watcher{process: p, file: file, log: log}
	// The process has just read the same file. An error here is reported by the first check if it persists.
	w.lastContent, _ = os.ReadFile(file)
	w.tomb.Go(func() error { return w.run(hangups) })
	return w
}

// Stop stops the watcher and waits for its goroutine.
func (w *Watcher) Stop() {
	w.tomb.Kill(nil)
	// The goroutine returns no error.
	_ = w.tomb.Wait()
}

func (w *Watcher) run(hangups <-chan os.Signal) error {
	ctx := w.tomb.Context(context.Background())
	tick := w.process.Timer.Every(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-hangups:
		case <-ctx.Done():
			return nil
		}
		w.reloadIfChanged()
	}
}

// reloadIfChanged reloads the settings if the content of the file has changed. If the file can't be read or its settings
// are invalid, the current settings stay in force.
func (w *Watcher) reloadIfChanged() {
	text, err := os.ReadFile(w.file)
	if err != nil {
		w.log.Warn("settingsNotRead", zap.String("file", w.file), zap.Error(err))
		return
	}
	if bytes.Equal(text, w.lastContent) {
		return
	}
	w.lastContent = text
	cfg, err := parser.Parse(w.file, text)
	if err == nil {
		err = w.process.Reload(cfg)
	}
	if err != nil {
		w.log.Warn("settingsRefused", zap.String("file", w.file), zap.Error(err))
		return
	}
	w.log.Info("settingsReloaded", zap.String("file", w.file))
}
