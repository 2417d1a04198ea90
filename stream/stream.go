// Package stream defines the records, pages and errors of the platform's append-only log. The implementations of the
// log and all packages that read it or append to it share them.
package stream

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrRefused means that an append had no effect. A later attempt may succeed.
	ErrRefused = errors.New("the log refused the append")
	// ErrTooLarge means that the log never accepts an append of this size. It is an ErrRefused.
	ErrTooLarge = fmt.Errorf("%w: the append is too large", ErrRefused)
	// ErrUnconfirmed means that the outcome of an append is unknown: it may be in the log, or get there later.
	ErrUnconfirmed = errors.New("the log did not confirm the append")
	// ErrTruncated means that the log has dropped the requested offset because of its retention.
	ErrTruncated = errors.New("the log no longer retains the requested offset")
	// ErrUnavailable means that a read failed because the log did not respond or was not able to serve it.
	ErrUnavailable = errors.New("the log is not available")
)

// Entry is a record of a stream without keys. Offsets count from 1.
type Entry struct {
	offset     int64
	appendedAt time.Time
	data       []byte
}

// NewEntry returns an entry at an offset, appended at a time of the log's clock.
func NewEntry(offset int64, at time.Time, data []byte) Entry {
	return Entry{offset: offset, appendedAt: at, data: data}
}

// Offset returns the offset in the stream.
func (e Entry) Offset() int64 { return e.offset }

// AppendedAt returns the time of the append by the log's clock.
func (e Entry) AppendedAt() time.Time { return e.appendedAt }

// Data returns the contents of the entry.
func (e Entry) Data() []byte { return e.data }

// Page is the result of a read of entries.
type Page struct {
	entries      []Entry
	oldestOffset int64
	nextOffset   int64
}

// NewPage returns a page with entries in order of offset, the oldest offset that the log retains, and the offset that
// the next append will get.
func NewPage(e []Entry, oldest, next int64) Page {
	return Page{entries: e, oldestOffset: oldest, nextOffset: next}
}

// Entries returns the entries in order of offset.
func (p Page) Entries() []Entry { return p.entries }

// OldestOffset returns the oldest offset that the log retains.
func (p Page) OldestOffset() int64 { return p.oldestOffset }

// NextOffset returns the offset that the next append will get.
func (p Page) NextOffset() int64 { return p.nextOffset }
