package replicator

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised runs, unless the command line names another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
