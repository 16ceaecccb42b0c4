// Package cmd holds the subcommands of the binary.
package cmd

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"
)

// Version is the version of the binary.
const Version = "0.1.0"

// command is one subcommand.
type command struct {
	name    string
	short   string
	example string
	args    cobra.PositionalArgs
	// setup declares flags and returns the action.
	setup func(c *cobra.Command) func(args []string) error
	// parent is the name of the command above, or nothing.
	parent string
}

// commands is the table of all subcommands. A parent stands before its children.
var commands []command

func init() {
	commands = []command{
		cmdServe, cmdCheck, cmdDev, cmdVersion, cmdLoad, cmdExperiment, cmdDocs,
		cmdReport, cmdReportBurn,
		cmdAdmin,
		cmdAccount, cmdAccountCreate, cmdAccountSet, cmdAccountShow, cmdAccountList,
		cmdKey, cmdKeyIssue, cmdKeyWithdraw, cmdKeyList,
		cmdSettings, cmdSettingsGet, cmdSettingsSet, cmdSettingsUnset,
		cmdControl, cmdControlStatus, cmdControlRemove, cmdControlTransfer,
	}
}

const (
	// collectAt is the growth of the heap, in percent, after which it is collected. The live heap of a node is a few
	// megabytes; at the usual 100 % it would be collected many times a second, which delays requests.
	collectAt = 300
	// memoryLimit is the memory in bytes beyond which the heap is collected sooner, for processes beside an upstream.
	memoryLimit = 192 << 20
)

// Run runs the binary with its arguments and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	debug.SetGCPercent(collectAt)
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	return 0
}

// newRoot builds the command line from the table.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "lavenderhub",
		Short:         "Overload control for service call graphs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	byName := map[string]*cobra.Command{"": root}
	for _, c := range commands {
		cc := c.build()
		byName[c.parent].AddCommand(cc)
		byName[fullName(c)] = cc
	}
	return root
}

func fullName(c command) string {
	if c.parent == "" {
		return c.name
	}
	return c.parent + " " + c.name
}

func (c command) build() *cobra.Command {
	cc := &cobra.Command{Use: c.name, Short: c.short, Example: c.example, Args: c.args}
	if c.setup == nil {
		return cc
	}
	action := c.setup(cc)
	cc.RunE = func(_ *cobra.Command, args []string) error { return action(args) }
	return cc
}

// logLevelFlag declares the flag for the log level.
func logLevelFlag(c *cobra.Command) *string {
	return c.Flags().String("log-level", "info", "least level of the events to log: debug, info, warn or error")
}

func logLevel(s string) (zapcore.Level, error) {
	return zapcore.ParseLevel(s)
}

// logTarget is where logs go.
func logTarget() io.Writer {
	return os.Stderr
}
