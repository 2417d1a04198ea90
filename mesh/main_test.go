package mesh_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that CI runs are repeatable. For more runs, use
// go test ./mesh -rapid.checks 1000 -rapid.seed N.
func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261205")
	}

	os.Exit(m.Run())
}
