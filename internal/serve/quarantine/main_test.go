package quarantine_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that CI runs are repeatable, and bounds the time to shrink a failure. For
// more runs and shorter traces, use go test ./internal/serve/quarantine -rapid.checks 1000 -rapid.seed N -rapid.shrinktime 20s.
func TestMain(m *testing.M) {
	flag.Parse()

	for n, v := range map[string]string{"rapid.seed": "20261205", "rapid.shrinktime": "100ms", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(n); f.Value.String() == f.DefValue {
			_ = f.Value.Set(v)
		}
	}

	os.Exit(m.Run())
}
