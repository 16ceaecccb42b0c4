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
	short:   "Run the roles of a settings file until interrupted",
	example: "  lavenderhub serve --config node.jsonc",
	args:    cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		file := configFlag(c)
		level := logLevelFlag(c)
		return func([]string) error { return serve(*file, *level) }
	},
}

func serve(file, level string) error {
	cfg, err := parser.ParseFile(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryLimitOf(cfg))
	if cfg.GetFleet() != nil {
		return errors.Errorf("%s describes a fleet; run it with lavenderhub dev --config %s", file, file)
	}
	least, err := logLevel(level)
	if err != nil {
		return err
	}
	ctx, stop := untilInterrupted()
	defer stop()
	out := logger.NewAsyncWriter(os.Stdout)
	// What could not be written is lost with the process.
	defer func() { _ = out.Close() }()
	log := logger.New(out, least)
	p, err := runner.Start(cfg, log)
	if err != nil {
		return err
	}
	p.Registry.GetOrRegister("log.dropped", metrics.NewFunctionalGauge(out.Dropped))
	w := runner.Watch(p, file, log)
	defer w.Stop()
	select {
	case <-ctx.Done():
	case <-p.Failed():
	}
	// A second signal ends the process at once.
	stop()
	return p.Stop()
}

// memoryLimitOf returns the memory in bytes beyond which the heap is collected sooner.
func memoryLimitOf(cfg *schema.Settings) int64 {
	if mb := int64(cfg.GetLimits().GetMemoryMb()); mb > 0 {
		return mb << 20 * heapPercent / 100
	}
	return memoryLimit
}

// heapPercent is the part of a process's memory that the heap may take before it is collected sooner; the rest is for
// stacks, buffers of the kernel and what arrives.
const heapPercent = 60

// untilInterrupted returns a context that ends with the first interrupt or termination signal.
func untilInterrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
