// Package stream has the values that pass between the platform's append-only log and its users.
package stream

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrRefused means that the log did not take the append. A later attempt may succeed.
	ErrRefused = errors.New("the log refused the append")
	// ErrTooLarge means that the log never takes an append of this size. It is an ErrRefused.
	ErrTooLarge = fmt.Errorf("%w: it is too large", ErrRefused)
	// ErrUnconfirmed means that nothing is known of the append: it may be in the log.
	ErrUnconfirmed = errors.New("the log's answer to the append was lost")
	// ErrTruncated means that retention dropped the requested offset.
	ErrTruncated = errors.New("the log no longer has this offset")
	// ErrUnavailable means that the log did not answer a read.
	ErrUnavailable = errors.New("the log is not available")
)

// Entry is one record of a stream.
type Entry struct {
	offset int64
	appendedAt     time.Time
	data   []byte
}

// NewEntry returns the record at an offset (from 1), appended at the log's time.
func NewEntry(offset int64, at time.Time, data []byte) Entry {
	return Entry{offset: offset, appendedAt: at, data: data}
}

// Offset returns the record's offset.
func (e Entry) Offset() int64 { return e.offset }

// AppendedAt returns the log's time of the append.
func (e Entry) AppendedAt() time.Time { return e.appendedAt }

// Data returns the record's bytes.
func (e Entry) Data() []byte { return e.data }

// Page is the answer to a read.
type Page struct {
	entries []Entry
	oldestOffset  int64
	nextOffset    int64
}

// NewPage returns entries in order, the oldest offset that the log still has, and the offset that the next
// append will get.
func NewPage(e []Entry, oldest, next int64) Page {
	return Page{entries: e, oldestOffset: oldest, nextOffset: next}
}

// Entries returns the records in order.
func (p Page) Entries() []Entry { return p.entries }

// OldestOffset returns the oldest offset that the log still has.
func (p Page) OldestOffset() int64 { return p.oldestOffset }

// NextOffset returns the offset that the next append will get.
func (p Page) NextOffset() int64 { return p.nextOffset }
