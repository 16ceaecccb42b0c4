// Command standin runs the scripts of the second review: it starts the processes of the system as the deploy file says, on loopback
// addresses, with stand-ins for clients, workers, the operator and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Results of a case, which are the exit statuses of its script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases holds the function of each case. It gets whether the disruption takes place.
var cases = map[string]func(root string, rec *record, trouble bool) int{
	"quota": quotaCase, "firstStart": firstStartCase, "drain": drainCase, "return": returnCase, "pipeline": pipelineCase,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(cannotRun)
	}
	rec, err := newRecord(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption %v", *name, trouble)
	result := run(*root, rec, trouble)
	rec.line("result %d", result)
	os.Exit(result)
}
