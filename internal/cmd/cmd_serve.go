package cmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"github.com/lavenderhub/lavenderhub/internal/logger"
	"github.com/lavenderhub/lavenderhub/internal/parser"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

var cmdServe = command{
	name:    "serve",
	short:   "Run the roles configured in a settings file until interrupted",
	example: "  lavenderhub serve --config node.jsonc",
	args:    cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		file := addConfigFlag(c)
		level := addLogLevelFlag(c)
		return func([]string) error { return serve(*file, *level) }
	},
}

func serve(file, level string) error {
	cfg, err := parser.ParseFile(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryLimit(cfg))
	if cfg.GetFleet() != nil {
		return errors.Errorf("%s describes a fleet; run it with lavenderhub dev --config %s", file, file)
	}
	minLevel, err := parseLogLevel(level)
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	// The process already serves before the watcher starts, and SIGHUP would end it by default.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	out := logger.NewAsyncWriter(os.Stdout)
	// Lines that can't be written at exit are lost.
	defer func() { _ = out.Close() }()
	log := logger.New(out, minLevel)
	p, err := runner.Start(cfg, log)
	if err != nil {
		return err
	}
	p.Registry.GetOrRegister("log.dropped", metrics.NewFunctionalGauge(out.Dropped))
	w := runner.Watch(p, file, log, hangups)
	defer w.Stop()
	select {
	case <-ctx.Done():
	case <-p.Failed():
	}
	// A second interrupt terminates the process immediately. A second SIGTERM doesn't, since two planned stops may overlap.
	signal.Reset(syscall.SIGINT)
	return p.Stop()
}

// memoryLimit returns the soft memory limit in bytes, beyond which the garbage collector runs more often.
func memoryLimit(cfg *schema.Settings) int64 {
	if mb := int64(cfg.GetLimits().GetMemoryMb()); mb > 0 {
		return mb << 20 * heapPercent / 100
	}
	return defaultMemoryLimit
}

// heapPercent is the soft memory limit as a percentage of the memory that the settings allow the process. The rest is for
// stacks, kernel buffers and incoming data.
const heapPercent = 60

// interruptContext returns a context that is canceled by the first SIGINT or SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
