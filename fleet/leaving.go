package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leavingRetention is how long the announcement of an incarnation that is not registered is kept. A registration that
	// expired while the log was away may return long after the target has said that it is leaving.
	leavingRetention = 10 * time.Minute
	// leavingSpreadTime is how long an announcement is passed on to other daemons. It is longer than the heartbeat
	// interval among several hundred daemons, so that each of them gets it directly.
	leavingSpreadTime = 10 * time.Second
)

// Incarnation identifies one run of a target's process.
type Incarnation struct {
	name  string
	start int64
}

// NewIncarnation returns the incarnation of a target with the start of its process in Unix milliseconds; 0 if the start
// is not known.
func NewIncarnation(name string, start int64) Incarnation {
	return Incarnation{name: name, start: start}
}

// Incarnation returns the incarnation of the target.
func (t Target) Incarnation() Incarnation { return Incarnation{name: t.name, start: t.start} }

// Name returns the name of the target.
func (i Incarnation) Name() string { return i.name }

// Start returns the start of the process in Unix milliseconds; 0 if it is not known.
func (i Incarnation) Start() int64 { return i.start }

// MarkLeaving records that an incarnation of a target has announced in a response that it is leaving, so that it gets no
// new work even while the log lists it as ready. It reports whether the announcement is new. Another incarnation of the
// target is not affected.
func (r *Registry) MarkLeaving(i Incarnation, now time.Time) bool {
	h := r.shard(i.name)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.dropOldAnnouncements(now)

	if _, ok := h.leavingSince[i]; ok {
		return false
	}

	if h.leavingSince == nil {
		h.leavingSince = map[Incarnation]time.Time{}
	}

	h.leavingSince[i] = now

	if e, ok := h.registrations[i.name]; ok && e.target.Incarnation() == i {
		e.announcedLeaving = true
		h.registrations[i.name] = e

		r.changes.Add(1)
	}

	return true
}

// HasAnnouncedLeaving reports whether an incarnation of a target has announced that it is leaving.
func (r *Registry) HasAnnouncedLeaving(i Incarnation) bool {
	h := r.shard(i.name)

	h.mu.Lock()
	defer h.mu.Unlock()

	_, ok := h.leavingSince[i]

	return ok
}

// RecentlyLeaving returns the incarnations whose announcement became known within leavingSpreadTime, sorted by name and
// start.
func (r *Registry) RecentlyLeaving(now time.Time) []Incarnation {
	var l []Incarnation

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for n, t := range h.leavingSince {
			if now.Sub(t) <= leavingSpreadTime {
				l = append(l, n)
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.start, b.start))
	})

	return l
}

// dropOldAnnouncements drops the announcements of unregistered incarnations after leavingRetention. The caller holds
// the lock.
func (h *registryShard) dropOldAnnouncements(now time.Time) {
	for i, t := range h.leavingSince {
		if now.Sub(t) > leavingRetention && h.registrations[i.name].target.Incarnation() != i {
			delete(h.leavingSince, i)
		}
	}
}

// deleteRegistration deletes the registration of a target. If its start is not known, a later incarnation of the same
// name would look the same, so the announcement ends as well. The caller holds the lock.
func (h *registryShard) deleteRegistration(e registrationState) {
	delete(h.registrations, e.target.name)

	if e.target.start == 0 {
		delete(h.leavingSince, e.target.Incarnation())
	}
}
