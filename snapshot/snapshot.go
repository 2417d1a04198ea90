// Package snapshot splits the state of a partition into the records of a snapshot stream, finds the newest complete
// snapshot of the stream, and decides when a new one is due. A snapshot is complete once its closing record and all
// parts before it are in the stream. Package store does the reading and writing.
package snapshot

import (
	"slices"
	"time"

	"github.com/agategap/agategap/journal"
)

// Split returns the parts of a partition's state and the closing record, in the order in which they are to be appended.
// The estimated size of a part is at most maxBytes, or the part has only one section.
func Split(id string, offset int64, s []journal.Section, maxBytes int) []Part {
	var l []Part

	for first := 0; first < len(s); {
		end, sum := first, 0
		for end < len(s) && (end == first || sum+s[end].EstimatedSize() <= maxBytes) {
			sum += s[end].EstimatedSize()
			end++
		}

		l = append(l, Part{ID: id, Offset: offset, Index: len(l), Sections: s[first:end]})
		first = end
	}

	return append(l, Part{ID: id, Offset: offset, Index: len(l), Closing: true})
}

// Snapshot is a complete snapshot of a partition. The zero value means that there is none.
type Snapshot struct {
	offset      int64
	firstPartAt time.Time
	sections    []journal.Section
}

// Offset returns the partition's offset at which the snapshot was taken; 0 if there is no snapshot.
func (s Snapshot) Offset() int64 { return s.offset }

// FirstPartAt returns the log time of the oldest record of the snapshot, which the retention of the log removes first.
func (s Snapshot) FirstPartAt() time.Time { return s.firstPartAt }

// Sections returns the state of the partition; nil if the reader does not keep sections.
func (s Snapshot) Sections() []journal.Section { return s.sections }

// maxIncomplete is the maximum number of incomplete snapshots that a reader keeps. There may be several, as two
// followers may write at once and a writer that fails leaves an incomplete one. For one more, the reader drops the
// oldest.
const maxIncomplete = 4

// Reader finds the newest complete snapshot of a stream. The zero value keeps no sections. It is not safe for
// concurrent use.
type Reader struct {
	keepSections bool
	incomplete   []*incompleteSnapshot
	newest       Snapshot
}

// incompleteSnapshot has the parts of a snapshot whose closing record was not read yet.
type incompleteSnapshot struct {
	id          string
	offset      int64
	firstPartAt time.Time                 // log time of the part that was read first
	parts       map[int][]journal.Section // by index; nil sections if the reader does not keep them
}

// NewReader returns a reader that keeps the sections of the newest complete snapshot.
func NewReader() *Reader { return &Reader{keepSections: true} }

// Add adds the next part of the stream, which was appended at a log time, and reports whether it completed a newer
// snapshot: one of a higher offset, or a later one of the same offset. Duplicates of a part have no effect. A closing
// record does not complete a snapshot that misses a part.
func (r *Reader) Add(at time.Time, p Part) bool {
	a := r.findOrAdd(at, p)

	if !p.Closing {
		if _, ok := a.parts[p.Index]; !ok {
			a.parts[p.Index] = nil
			if r.keepSections {
				a.parts[p.Index] = p.Sections
			}
		}

		return false
	}

	r.incomplete = slices.DeleteFunc(r.incomplete, func(o *incompleteSnapshot) bool { return o == a })

	if !a.isComplete(p.Index) || p.Offset <= r.newest.offset && !at.After(r.newest.firstPartAt) || p.Offset < r.newest.offset {
		return false
	}

	r.newest = Snapshot{offset: p.Offset, firstPartAt: a.firstPartAt}

	for i := range p.Index {
		r.newest.sections = append(r.newest.sections, a.parts[i]...)
	}

	return true
}

// Newest returns the newest complete snapshot.
func (r *Reader) Newest() Snapshot { return r.newest }

// findOrAdd returns the incomplete snapshot that part p, appended at a log time, belongs to.
func (r *Reader) findOrAdd(at time.Time, p Part) *incompleteSnapshot {
	for _, a := range r.incomplete {
		if a.id == p.ID && a.offset == p.Offset {
			return a
		}
	}

	if len(r.incomplete) == maxIncomplete {
		r.incomplete = slices.Delete(r.incomplete, 0, 1)
	}

	a := &incompleteSnapshot{id: p.ID, offset: p.Offset, firstPartAt: at, parts: map[int][]journal.Section{}}
	r.incomplete = append(r.incomplete, a)

	return a
}

// isComplete reports whether the snapshot has all of its parts, of which there must be one or more.
func (s *incompleteSnapshot) isComplete(partCount int) bool {
	for i := range partCount {
		if _, ok := s.parts[i]; !ok {
			return false
		}
	}

	return partCount > 0
}

// Policy decides when a partition needs a new snapshot. With the zero value it never does.
type Policy struct {
	retention  time.Duration
	maxEntries int64
}

// renewalsPerRetention is the number of snapshots within the retention time of the log. A snapshot is renewed after a
// quarter of the retention, so that the rest remains to write the next one, even if the log is down for part of it.
const renewalsPerRetention = 4

// NewPolicy returns a policy for a log that keeps records for a retention time. A reader without state should not have
// to replay more than about maxEntries entries after a snapshot; 0 for no limit.
func NewPolicy(retention time.Duration, maxEntries int64) Policy {
	return Policy{retention: retention, maxEntries: maxEntries}
}

// CheckInterval returns the time between two calls of IsDue that is short enough for the retention; 0 for the zero
// value.
func (p Policy) CheckInterval() time.Duration {
	const checksPerRenewal = 16

	return p.retention / (renewalsPerRetention * checksPerRenewal)
}

// IsDue reports whether a partition at an offset needs a new snapshot at time now. newest is its newest complete
// snapshot. Without one, the time to the next snapshot counts from oldest, the log time of the first replayed entry. An
// empty partition, at offset 0, needs none.
func (p Policy) IsDue(now, oldest time.Time, offset int64, newest Snapshot) bool {
	if p.retention <= 0 || offset == 0 {
		return false
	}

	since := oldest
	if newest.offset > 0 {
		since = newest.firstPartAt
	}

	if p.maxEntries > 0 && offset-newest.offset >= p.maxEntries {
		return true
	}

	return now.Sub(since) >= p.retention/renewalsPerRetention
}
