// Package cmd implements the command line of the binary.
package cmd

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"
)

// Version is the release version of the binary.
const Version = "0.1.0"

// command describes a subcommand.
type command struct {
	name    string
	short   string
	example string
	args    cobra.PositionalArgs
	// setup adds the flags of the subcommand and returns the function that runs it. It is nil for a subcommand that only
	// groups others.
	setup func(c *cobra.Command) func(args []string) error
	// parent is the full name of the parent subcommand, empty at the top level.
	parent string
}

// commands lists all subcommands. A parent precedes its children.
var commands []command

func init() {
	commands = []command{
		cmdServe, cmdCheck, cmdDev, cmdVersion, cmdLoad, cmdExperiment, cmdDocs,
		cmdReport, cmdReportBurn,
		cmdAdmin,
		cmdAccount, cmdAccountCreate, cmdAccountSet, cmdAccountShow, cmdAccountList,
		cmdKey, cmdKeyIssue, cmdKeyWithdraw, cmdKeyList,
		cmdSettings, cmdSettingsGet, cmdSettingsSet, cmdSettingsUnset,
		cmdDomain, cmdDomainEvacuate, cmdDomainRestore, cmdDomainList,
		cmdControl, cmdControlStatus, cmdControlRemove, cmdControlTransfer,
	}
}

const (
	// gcPercent is the heap growth in percent that triggers a garbage collection. On a fleet of 74 nodes a node uses 29 % less
	// memory with 120 % than with 300 %, for 3 % more processor time and without slower requests; 60 % costs 9 % more of it.
	gcPercent = 120
	// defaultMemoryLimit is the soft memory limit in bytes if the settings don't limit the memory of the process. It is
	// meant for a process that shares its host with an upstream.
	defaultMemoryLimit = 192 << 20
)

// Run executes the subcommand given by args and returns the exit status of the process.
func Run(args []string, out, errOut io.Writer) int {
	debug.SetGCPercent(gcPercent)
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

// newRoot returns the root command with all subcommands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "lavenderhub",
		Short:         "Overload control for service call graphs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	byName := map[string]*cobra.Command{"": root}
	for _, c := range commands {
		cobraCmd := c.build()
		byName[c.parent].AddCommand(cobraCmd)
		byName[fullName(c)] = cobraCmd
	}
	return root
}

// fullName returns the name of a subcommand preceded by the names of its parents.
func fullName(c command) string {
	if c.parent == "" {
		return c.name
	}
	return c.parent + " " + c.name
}

func (c command) build() *cobra.Command {
	cobraCmd := &cobra.Command{Use: c.name, Short: c.short, Example: c.example, Args: c.args}
	if c.setup == nil {
		return cobraCmd
	}
	action := c.setup(cobraCmd)
	cobraCmd.RunE = func(_ *cobra.Command, args []string) error { return action(args) }
	return cobraCmd
}

// addLogLevelFlag adds the flag for the log level.
func addLogLevelFlag(c *cobra.Command) *string {
	return c.Flags().String("log-level", "info", "minimum level of logged events: debug, info, warn or error")
}

func parseLogLevel(s string) (zapcore.Level, error) {
	return zapcore.ParseLevel(s)
}

// logOutput returns the writer for the logs of commands that write their results to standard output.
func logOutput() io.Writer {
	return os.Stderr
}
