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
	mostPartitions    = 1024
	defaultRecord     = 256 << 10
	defaultCall       = 2 << 20
	leastRecord       = 16 << 10
	mostCall          = 64 << 20

	defaultKeepResults = 10 * time.Minute
	mostKeepResults    = 30 * 24 * time.Hour
)

func (s *Store) setDefaults(x tomlfile.Index) {
	for _, v := range []struct {
		key     string
		value   *int
		initial int
	}{
		{"store.partitions", &s.Partitions, defaultPartitions},
		{"store.record_bytes", &s.RecordBytes, defaultRecord},
		{"store.call_bytes", &s.CallBytes, defaultCall},
	} {
		if !x.Has(v.key) {
			*v.value = v.initial
		}
	}
}

func (s Store) check(x tomlfile.Index, l *finding.List) {
	if s.Partitions < 1 || s.Partitions > mostPartitions {
		x.Addf(l, "store.partitions", "%d is not between 1 and %d", s.Partitions, mostPartitions)
	}

	if s.RecordBytes < leastRecord || s.RecordBytes > mostCall {
		x.Addf(l, "store.record_bytes", "%d is not between %d and %d", s.RecordBytes, leastRecord, mostCall)
	}

	if s.CallBytes < s.RecordBytes || s.CallBytes > mostCall {
		x.Addf(l, "store.call_bytes", "%d is not between record_bytes and %d", s.CallBytes, mostCall)
	}

	s.KeepResults.Check(x, l, "store.keep_results", 0, mostKeepResults)
}
