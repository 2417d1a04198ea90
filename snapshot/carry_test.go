package snapshot_test

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/snapshot"
	"github.com/agategap/agategap/wire"
)

// newPartition returns a partition with n ended pieces of work with results of 200 random hexadecimal digits.
func newPartition(n int) *journal.Partition {
	var p journal.Partition

	r := rand.NewChaCha8([32]byte{})
	text := func(bytes int) string {
		b := make([]byte, bytes)
		_, _ = r.Read(b)

		return hex.EncodeToString(b)
	}

	for i := range n {
		k := fmt.Sprintf("key-%d", i)
		p.Apply(journal.NewEntry(int64(i+1), time.UnixMilli(0), journal.Group{Writer: "vm-1/4f0a", Number: uint64(i + 1), Records: []journal.Record{
			{Accept: &journal.AcceptRecord{Account: "a", Key: k, Digest: text(32), Service: "signwriter", RetainMS: 86_400_000}},
			{Claim: &journal.ClaimRecord{Account: "a", Key: k, ID: k, Holder: "vm-1/4f0a"}},
			{Complete: &journal.CompleteRecord{Account: "a", Key: k, Claim: k, Effect: journal.Done, Status: 200, Text: text(100)}},
		}}))
	}

	return &p
}

// writeAndReadSnapshot writes and reads a snapshot, and returns both times, its bytes and its parts.
func writeAndReadSnapshot(b *testing.B, p *journal.Partition) (write, read time.Duration, bytes, parts int) {
	b.Helper()

	begin := time.Now()

	s, err := p.Snapshot()
	if err != nil {
		b.Fatal(err)
	}

	var l [][]byte

	for _, v := range snapshot.Split("s", p.Offset(), s, 4<<20) {
		e, err := (wire.PartCodec{}).EncodePart(v)
		if err != nil {
			b.Fatal(err)
		}

		l = append(l, e)
		bytes += len(e)
	}

	write = time.Since(begin)
	begin = time.Now()
	r := snapshot.NewReader()

	for _, e := range l {
		v, err := (wire.PartCodec{}).DecodePart(e)
		if err != nil {
			b.Fatal(err)
		}

		r.Add(time.UnixMilli(0), v)
	}

	var n journal.Partition
	if _, err := n.Restore(r.Newest().Sections()); err != nil {
		b.Fatal(err)
	}

	return write, time.Since(begin), bytes, len(l)
}

// BenchmarkSnapshot reports the cost of a snapshot per piece of work as slopes between two sizes.
func BenchmarkSnapshot(b *testing.B) {
	const few, many = 10_000, 100_000

	small, large := newPartition(few), newPartition(many)

	for b.Loop() {
		w1, r1, b1, _ := writeAndReadSnapshot(b, small)
		w2, r2, b2, n2 := writeAndReadSnapshot(b, large)

		b.ReportMetric(float64(w2-w1)/(many-few), "write-ns/work")
		b.ReportMetric(float64(r2-r1)/(many-few), "read-ns/work")
		b.ReportMetric(float64(b2-b1)/(many-few), "B/work")
		b.ReportMetric(float64(n2), "parts@100k")
	}
}
