package stream

import (
	"errors"
	"fmt"
)

// ErrOffsetMismatch means that a conditional append was refused, as the partition does not end at the given offset. It
// is an ErrRefused.
var ErrOffsetMismatch = fmt.Errorf("%w: the partition does not end at the given offset", ErrRefused)

// ErrForbidden means that the system is not permitted to make this call to the log; a retry fails as well.
var ErrForbidden = errors.New("the log does not permit the call")

// AnyOffset is the offset argument of an append without a condition.
const AnyOffset int64 = -1

// KeyedRecord is a record of a keyed stream, which keeps the newest record of each key. Offsets count from 0 in each
// partition.
type KeyedRecord struct {
	offset int64
	key    string
	value  []byte
}

// NewKeyedRecord returns a record. An empty value drops the key.
func NewKeyedRecord(offset int64, key string, value []byte) KeyedRecord {
	return KeyedRecord{offset: offset, key: key, value: value}
}

// Offset returns the offset in the partition.
func (k KeyedRecord) Offset() int64 { return k.offset }

// Key returns the key.
func (k KeyedRecord) Key() string { return k.key }

// Value returns the value; empty if the key is dropped.
func (k KeyedRecord) Value() []byte { return k.value }

// WithOffset returns a copy with an offset.
func (k KeyedRecord) WithOffset(offset int64) KeyedRecord {
	k.offset = offset

	return k
}

// KeyedPage is the result of a read of a keyed stream: either of the records from an offset on, or of the newest record
// of each key.
type KeyedPage struct {
	records []KeyedRecord
	end     int64
	hasMore bool
}

// NewKeyedPage returns a page with records, the end of the partition, and whether a read of newest records has more
// keys.
func NewKeyedPage(r []KeyedRecord, end int64, more bool) KeyedPage {
	return KeyedPage{records: r, end: end, hasMore: more}
}

// Records returns the records: in order of offset for a read from an offset, in order of keys for a read of newest
// records.
func (p KeyedPage) Records() []KeyedRecord { return p.records }

// End returns the end of the partition: the offset that the next append will get.
func (p KeyedPage) End() int64 { return p.end }

// HasMore reports whether a read of newest records has more keys after that of the last record.
func (p KeyedPage) HasMore() bool { return p.hasMore }
