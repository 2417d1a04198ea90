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
		for end < len(s) && (end == first || sum+s[end].Weight() <= weight) {
			sum += s[end].Weight()
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
	first    time.Time
	sections []journal.Section
}

// Offset returns the offset of the partition that the state is of; 0 when there is no snapshot.
func (s Snapshot) Offset() int64 { return s.offset }

// First returns the log's time of the oldest record that the snapshot needs. Retention drops that one first.
func (s Snapshot) First() time.Time { return s.first }

// Sections returns the state; nil when the reader does not keep sections.
func (s Snapshot) Sections() []journal.Section { return s.sections }

// maxOpen bounds the incomplete snapshots that a reader keeps. Two followers may write at once, and a writer that
// is lost leaves one behind.
const maxOpen = 4

// Reader finds the newest complete snapshot of a stream. The zero value keeps no sections.
type Reader struct {
	keep   bool
	open   []*assembly
	newest Snapshot
}

// assembly is a snapshot whose closing record was not read yet.
type assembly struct {
	id     string
	offset int64
	first  time.Time
	parts  map[int][]journal.Section
}

// NewReader returns a reader that keeps the sections of the newest complete snapshot.
func NewReader() *Reader { return &Reader{keep: true} }

// Add reads the next part of the stream, appended at the log's time at, and reports whether it completed a newer
// snapshot. Parts that occur twice count once. A part whose snapshot misses earlier parts never completes one.
func (r *Reader) Add(at time.Time, p Part) bool {
	a := r.assembly(at, p)

	if !p.Closing {
		if _, ok := a.parts[p.Index]; !ok {
			a.parts[p.Index] = nil
			if r.keep {
				a.parts[p.Index] = p.Sections
			}
		}

		return false
	}

	r.open = slices.DeleteFunc(r.open, func(o *assembly) bool { return o == a })

	if !a.complete(p.Index) || p.Offset <= r.newest.offset && !at.After(r.newest.first) || p.Offset < r.newest.offset {
		return false
	}

	r.newest = Snapshot{offset: p.Offset, first: a.first}

	for i := range p.Index {
		r.newest.sections = append(r.newest.sections, a.parts[i]...)
	}

	return true
}

// Newest returns the newest complete snapshot.
func (r *Reader) Newest() Snapshot { return r.newest }

func (r *Reader) assembly(at time.Time, p Part) *assembly {
	for _, a := range r.open {
		if a.id == p.ID && a.offset == p.Offset {
			return a
		}
	}

	if len(r.open) == maxOpen {
		r.open = slices.Delete(r.open, 0, 1)
	}

	a := &assembly{id: p.ID, offset: p.Offset, first: at, parts: map[int][]journal.Section{}}
	r.open = append(r.open, a)

	return a
}

func (a *assembly) complete(n int) bool {
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
	entries   int64
}

// renewShare is the share of the retention after which a snapshot is renewed. The rest is time to write it, also
// when the log is down for a part of it.
const renewShare = 4

// NewPolicy returns a policy: the time for which the log keeps a record, and the number of entries after which a
// reader without state should not have to replay more; 0 for no bound.
func NewPolicy(retention time.Duration, entries int64) Policy {
	return Policy{retention: retention, entries: entries}
}

// Interval returns how often Due is worth asking.
func (p Policy) Interval() time.Duration {
	const checks = 16

	return p.retention / (renewShare * checks)
}

// Due reports whether a partition at an offset needs a new snapshot. newest is the newest complete one; oldest is
// the log's time of the first entry that was replayed without one.
func (p Policy) Due(now, oldest time.Time, offset int64, newest Snapshot) bool {
	if p.retention <= 0 || offset == 0 {
		return false
	}

	since := oldest
	if newest.offset > 0 {
		since = newest.first
	}

	if p.entries > 0 && offset-newest.offset >= p.entries {
		return true
	}

	return now.Sub(since) >= p.retention/renewShare
}
