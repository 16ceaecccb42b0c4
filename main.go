// Lavenderhub is an overload control system for service call graphs.
package main

import (
	"os"

	"github.com/lavenderhub/lavenderhub/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
