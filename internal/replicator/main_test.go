package replicator

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the default seed of the randomized tests. The command line can override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
