package stream

import (
	"errors"
	"fmt"
)

// ErrMoved means that a conditional append was not made, as the stream does not end at the given offset.
var ErrMoved = fmt.Errorf("%w: the stream has moved on", ErrRefused)

// ErrForbidden means that the log never takes this call from the system.
var ErrForbidden = errors.New("the log forbids the call")

// Anywhere is the offset of an append without a condition.
const Anywhere int64 = -1

// Keyed is a record of a stream that keeps the newest record of each key. Offsets count from 0.
type Keyed struct {
	offset int64
	key    string
	value  []byte
}

// NewKeyed returns the record of a key. An empty value drops the key.
func NewKeyed(offset int64, key string, value []byte) Keyed {
	return Keyed{offset: offset, key: key, value: value}
}

// Offset returns the record's offset.
func (k Keyed) Offset() int64 { return k.offset }

// Key returns the key.
func (k Keyed) Key() string { return k.key }

// Value returns the record's bytes; none when the key is dropped.
func (k Keyed) Value() []byte { return k.value }

// At returns a copy with another offset.
func (k Keyed) At(offset int64) Keyed {
	k.offset = offset

	return k
}

// KeyedPage is the answer to a read of a keyed stream.
type KeyedPage struct {
	records []Keyed
	end     int64
	more    bool
}

// NewKeyedPage returns records, the offset that the next append will get, and whether a listing goes on.
func NewKeyedPage(r []Keyed, end int64, more bool) KeyedPage {
	return KeyedPage{records: r, end: end, more: more}
}

// Records returns the records: in order of offset for a read, of keys for a listing.
func (p KeyedPage) Records() []Keyed { return p.records }

// End returns the offset that the next append will get.
func (p KeyedPage) End() int64 { return p.end }

// More reports whether a listing goes on behind its last key.
func (p KeyedPage) More() bool { return p.more }
