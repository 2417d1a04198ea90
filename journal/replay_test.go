package journal_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/wire"
)

// encodeGroups returns encoded groups with three records for each key of work: accept, claim and complete. A group has
// at least 100 records, except for the last one.
func encodeGroups(b *testing.B, records int) [][]byte {
	b.Helper()

	const group = 100

	var (
		l [][]byte
		r []journal.Record
	)

	for i := 0; i < records; i += 3 {
		k := fmt.Sprintf("key-%d", i)
		r = append(r,
			journal.Record{Accept: &journal.AcceptRecord{Account: "a", Key: k, Digest: fmt.Sprintf("%064d", i), Service: "signwriter", Idempotent: true, RetainMS: 86_400_000}},
			journal.Record{Claim: &journal.ClaimRecord{Account: "a", Key: k, ID: k, Holder: "vm-1/4f0a"}},
			journal.Record{Complete: &journal.CompleteRecord{Account: "a", Key: k, Claim: k, Effect: journal.Done, Status: 200, Text: fmt.Sprintf("%0200d", i)}})

		if len(r) >= group || i+3 >= records {
			v, err := (wire.GroupCodec{}).Encode(journal.Group{Writer: "vm-1/4f0a", Number: uint64(len(l) + 1), Records: r})
			if err != nil {
				b.Fatal(err)
			}

			l, r = append(l, v), nil
		}
	}

	return l
}

// replayGroups decodes and applies groups. It returns how long that takes and the heap memory of the partition in
// bytes.
func replayGroups(b *testing.B, l [][]byte) (time.Duration, uint64) {
	b.Helper()

	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)

	var p journal.Partition

	begin := time.Now()

	for i, v := range l {
		g, err := (wire.GroupCodec{}).Decode(v)
		if err != nil {
			b.Fatal(err)
		}

		p.Apply(journal.NewEntry(int64(i+1), startTime, g))
	}

	d := time.Since(begin)

	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(&p)

	return d, after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

// BenchmarkReplay reports time and memory per record, computed from the difference between two journal lengths, so that
// costs that do not depend on the length cancel out.
func BenchmarkReplay(b *testing.B) {
	lengths := []int{3_000, 30_000, 300_000}
	groups := make([][][]byte, len(lengths))

	for i, n := range lengths {
		groups[i] = encodeGroups(b, n)
	}

	for b.Loop() {
		var times [3]time.Duration

		var sizes [3]uint64

		for i, l := range groups {
			times[i], sizes[i] = replayGroups(b, l)
		}

		for i := 1; i < len(lengths); i++ {
			n := float64(lengths[i] - lengths[i-1])
			name := fmt.Sprintf("%dk-%dk", lengths[i-1]/1000, lengths[i]/1000)
			b.ReportMetric(float64(times[i]-times[i-1])/n, "ns/record@"+name)
			b.ReportMetric((float64(sizes[i])-float64(sizes[i-1]))/n, "B/record@"+name)
		}
	}
}
