package settings

import (
	"time"

	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/tomlfile"
)

// Values of interface.
const (
	InterfaceOpenAI = "openai"
	InterfaceRouted = "routed"
)

const (
	// defaultPartitions is enough for one VM's share of appends; each partition costs a read that waits.
	defaultPartitions = 4
	maxPartitions    = 1024
	defaultRecordBytes     = 256 << 10
	defaultCallBytes       = 2 << 20
	minRecordBytes       = 16 << 10
	maxCallBytes          = 64 << 20

	defaultKeepResults = 10 * time.Minute
	maxKeepResults    = 30 * 24 * time.Hour
)

func (s *Store) setDefaults(x tomlfile.Index) {
	for _, v := range []struct {
		key     string
		value   *int
		initial int
	}{
		{"store.partitions", &s.Partitions, defaultPartitions},
		{"store.record_bytes", &s.RecordBytes, defaultRecordBytes},
		{"store.call_bytes", &s.CallBytes, defaultCallBytes},
	} {
		if !x.Has(v.key) {
			*v.value = v.initial
		}
	}
}

func (s Store) check(x tomlfile.Index, l *finding.List) {
	if s.Partitions < 1 || s.Partitions > maxPartitions {
		x.Addf(l, "store.partitions", "%d is not between 1 and %d", s.Partitions, maxPartitions)
	}

	if s.RecordBytes < minRecordBytes || s.RecordBytes > maxCallBytes {
		x.Addf(l, "store.record_bytes", "%d is not between %d and %d", s.RecordBytes, minRecordBytes, maxCallBytes)
	}

	if s.CallBytes < s.RecordBytes || s.CallBytes > maxCallBytes {
		x.Addf(l, "store.call_bytes", "%d is not between record_bytes and %d", s.CallBytes, maxCallBytes)
	}

	s.KeepResults.Check(x, l, "store.keep_results", 0, maxKeepResults)
}
