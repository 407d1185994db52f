package detector

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed, so that every CI run tries the same events. Command-line flags
// (-rapid.seed, -rapid.checks) override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "40")
	flag.Parse()
	os.Exit(m.Run())
}
