package stream

import (
	"errors"
	"fmt"
)

// ErrOffsetMismatch means that a conditional append was not made, as the stream does not end at the given offset.
var ErrOffsetMismatch = fmt.Errorf("%w: the stream has moved on", ErrRefused)

// ErrForbidden means that the log never takes this call from the system.
var ErrForbidden = errors.New("the log forbids the call")

// AnyOffset is the offset of an append without a condition.
const AnyOffset int64 = -1

// KeyedRecord is a record of a stream that keeps the newest record of each key. Offsets count from 0.
type KeyedRecord struct {
	offset int64
	key    string
	value  []byte
}

// NewKeyedRecord returns the record of a key. An empty value drops the key.
func NewKeyedRecord(offset int64, key string, value []byte) KeyedRecord {
	return KeyedRecord{offset: offset, key: key, value: value}
}

// Offset returns the record's offset.
func (k KeyedRecord) Offset() int64 { return k.offset }

// Key returns the key.
func (k KeyedRecord) Key() string { return k.key }

// Value returns the record's bytes; none when the key is dropped.
func (k KeyedRecord) Value() []byte { return k.value }

// WithOffset returns a copy with another offset.
func (k KeyedRecord) WithOffset(offset int64) KeyedRecord {
	k.offset = offset

	return k
}

// KeyedPage is the answer to a read of a keyed stream.
type KeyedPage struct {
	records []KeyedRecord
	end     int64
	hasMore    bool
}

// NewKeyedPage returns records, the offset that the next append will get, and whether a listing goes on.
func NewKeyedPage(r []KeyedRecord, end int64, more bool) KeyedPage {
	return KeyedPage{records: r, end: end, hasMore: more}
}

// Records returns the records: in order of offset for a read, of keys for a listing.
func (p KeyedPage) Records() []KeyedRecord { return p.records }

// End returns the offset that the next append will get.
func (p KeyedPage) End() int64 { return p.end }

// HasMore reports whether a listing goes on behind its last key.
func (p KeyedPage) HasMore() bool { return p.hasMore }
