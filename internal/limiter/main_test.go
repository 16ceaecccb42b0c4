package limiter

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomized tests, unless the command line sets another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
