package admitter

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed default seed for the randomized tests. The rapid.seed flag overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
