// Package snapshot decides how the state of a partition is written to a stream in parts and which snapshot of the
// stream a reader uses. A snapshot counts once its closing record and all parts before it are in the stream.
package snapshot

import (
	"slices"
	"time"

	"github.com/agategap/agategap/journal"
)

// Split returns the parts of a partition's state and the closing record, in the order in which they are appended.
// The summed weight of a part's sections is at most weight bytes, or the part has one section.
func Split(id string, offset int64, s []journal.Section, weight int) []Part {
	var l []Part

	for first := 0; first < len(s); {
		end, sum := first, 0
		for end < len(s) && (end == first || sum+s[end].EstimatedSize() <= weight) {
			sum += s[end].EstimatedSize()
			end++
		}

		l = append(l, Part{ID: id, Offset: offset, Index: len(l), Sections: s[first:end]})
		first = end
	}

	return append(l, Part{ID: id, Offset: offset, Index: len(l), Closing: true})
}

// Snapshot is a complete snapshot. The zero value means that there is none.
type Snapshot struct {
	offset   int64
	firstPartAt    time.Time
	sections []journal.Section
}

// Offset returns the offset of the partition that the state is of; 0 when there is no snapshot.
func (s Snapshot) Offset() int64 { return s.offset }

// FirstPartAt returns the log's time of the oldest record that the snapshot needs. Retention drops that one first.
func (s Snapshot) FirstPartAt() time.Time { return s.firstPartAt }

// Sections returns the state; nil when the reader does not keep sections.
func (s Snapshot) Sections() []journal.Section { return s.sections }

// maxIncomplete bounds the incomplete snapshots that a reader keeps. Two followers may write at once, and a writer that
// is lost leaves one behind.
const maxIncomplete = 4

// Reader finds the newest complete snapshot of a stream. The zero value keeps no sections.
type Reader struct {
	keepSections   bool
	incomplete   []*incompleteSnapshot
	newest Snapshot
}

// incompleteSnapshot is a snapshot whose closing record was not read yet.
type incompleteSnapshot struct {
	id     string
	offset int64
	firstPartAt  time.Time
	parts  map[int][]journal.Section
}

// NewReader returns a reader that keeps the sections of the newest complete snapshot.
func NewReader() *Reader { return &Reader{keepSections: true} }

// Add reads the next part of the stream, appended at the log's time at, and reports whether it completed a newer
// snapshot. Parts that occur twice count once. A part whose snapshot misses earlier parts never completes one.
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

func (a *incompleteSnapshot) isComplete(n int) bool {
	for i := range n {
		if _, ok := a.parts[i]; !ok {
			return false
		}
	}

	return n > 0
}

// Policy decides when a partition needs a new snapshot. The zero value never does.
type Policy struct {
	retention time.Duration
	maxEntries   int64
}

// renewalsPerRetention is the share of the retention after which a snapshot is renewed. The rest is time to write it, also
// when the log is down for a part of it.
const renewalsPerRetention = 4

// NewPolicy returns a policy: the time for which the log keeps a record, and the number of entries after which a
// reader without state should not have to replay more; 0 for no bound.
func NewPolicy(retention time.Duration, entries int64) Policy {
	return Policy{retention: retention, maxEntries: entries}
}

// CheckInterval returns how often Due is worth asking.
func (p Policy) CheckInterval() time.Duration {
	const checks = 16

	return p.retention / (renewalsPerRetention * checks)
}

// IsDue reports whether a partition at an offset needs a new snapshot. newest is the newest complete one; oldest is
// the log's time of the first entry that was replayed without one.
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
