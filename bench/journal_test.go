package bench_test

import (
	"fmt"
	"testing"

	"github.com/agategap/agategap/bench"
)

// BenchmarkGroupCommit reports the accepted items and the appends a second for each group size.
func BenchmarkGroupCommit(b *testing.B) {
	for b.Loop() {
		l, err := bench.MeasureGroupCommit(b.Context(), 1)
		if err != nil {
			b.Fatal(err)
		}

		for _, f := range l {
			b.ReportMetric(f.ItemsPerSecond(), fmt.Sprintf("items/s@%d", f.GroupSize()))
			b.ReportMetric(f.AppendsPerSecond(), fmt.Sprintf("appends/s@%d", f.GroupSize()))
		}
	}
}
