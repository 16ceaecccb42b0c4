// Command standin runs the cases of this review: it starts the project's programs on loopback addresses, with stand-ins for clients,
// workers, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// runLimit bounds a run.
const runLimit = 115 * time.Second

// caseFunc runs a case on a fleet that it lays out, and reports whether the rule was broken. Without trouble it leaves the disruption out.
type caseFunc func(layOut func(controls int, services ...string) (*fleet, error), rec *record, trouble bool) (bool, error)

// cases maps the name of a case to its run. Each case adds itself.
var cases = map[string]caseFunc{}

func main() {
	os.Exit(run(os.Args))
}

func run(args []string) int {
	if len(args) != 4 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER")
		return notRun
	}
	rec, err := newRecord(filepath.Join(args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	var f *fleet
	layOut := func(controls int, services ...string) (*fleet, error) {
		var err error
		f, err = newFleet(args[2], rec, controls, services)
		return f, err
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
		select {
		case <-signals:
		case <-time.After(runLimit):
		}
		if f != nil {
			f.stopAll()
		}
		rec.add("the run was ended early")
		os.Exit(notRun)
	}()
	isBroken, err := cases[args[1]](layOut, rec, os.Getenv("TROUBLE") != "0")
	if f != nil {
		f.stopAll()
	}
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	case isBroken:
		rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	default:
		rec.add("the rule held")
		fmt.Println("the rule held")
		return held
	}
}
