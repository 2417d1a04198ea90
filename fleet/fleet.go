// Package fleet decides which targets may get work, from the registrations that targets keep in the platform's log. It
// takes the time as an argument and does no input or output.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/shard"
)

// shardCount is the number of shards of Registry; it is higher than the number of cores of an entry VM.
const shardCount = 8

// removalGracePeriod is how long a registration that was removed during an outage of the log or soon after it remains
// in effect, counted from its removal or from the end of the outage, whichever is later. Live targets renew their
// registrations within about two seconds after the outage.
const removalGracePeriod = 2 * time.Second

// Target has the data of a target's registration.
type Target struct {
	name, address, domain, service string
	slots                          int
	start                          int64
	leaving                        bool
}

// NewTarget returns a target that runs a service. address is its IP address and port, domain its failure domain, and
// slots the number of requests that it runs at a time.
func NewTarget(name, address, domain, service string, slots int) Target {
	return Target{name: name, address: address, domain: domain, service: service, slots: slots}
}

// WithStart returns a copy with the start of the target's process, in Unix milliseconds. Another start under the same
// name is another incarnation.
func (t Target) WithStart(ms int64) Target {
	t.start = ms

	return t
}

// AsLeaving returns a copy that is leaving.
func (t Target) AsLeaving() Target {
	t.leaving = true

	return t
}

// Name returns the name, which identifies the target in the log.
func (t Target) Name() string { return t.name }

// Address returns the IP address and port.
func (t Target) Address() string { return t.address }

// Domain returns the failure domain.
func (t Target) Domain() string { return t.domain }

// Service returns the service that the target runs.
func (t Target) Service() string { return t.service }

// Slots returns the number of requests that the target runs at a time.
func (t Target) Slots() int { return t.slots }

// Start returns the start of the target's process, in Unix milliseconds; 0 if it is not known.
func (t Target) Start() int64 { return t.start }

// Leaving reports whether the target is leaving, so that it must get no new work.
func (t Target) Leaving() bool { return t.leaving }

// Registry has the registrations of all targets. Around an outage of the log it delays removals, because live targets
// may not have been able to renew their registrations; such a removal is pending for a grace period. The zero value is
// empty and ready to use. It is safe for concurrent use.
type Registry struct {
	shards [shardCount]registryShard

	importMu sync.Mutex // guards logRead; held during all of Import, so that MarkLogRead waits for its end
	logRead  bool       // MarkLogRead was called

	changes         atomic.Int64 // number of changes of registrations so far
	pendingRemovals atomic.Int64 // number of registrations with a pending removal

	mu          sync.Mutex
	initialized bool
	lastOutage  time.Time // last time at which the log was down
	logDown     bool
}

type registryShard struct {
	mu            sync.Mutex
	registrations map[string]registrationState // by name of the target
	leavingSince  map[Incarnation]time.Time    // when it became known that a target has announced that it is leaving
}

// Registration is the registration of a target as one daemon passes it on to another.
type Registration struct {
	target         Target
	offset         int64
	removalPending bool
	leaving        bool
}

// NewRegistration returns the registration of a target at an offset of the log. removalPending means that it was
// removed around an outage of the log and remains in effect for removalGracePeriod.
func NewRegistration(t Target, offset int64, removalPending bool) Registration {
	return Registration{target: t, offset: offset, removalPending: removalPending}
}

// WithAnnouncedLeaving returns a copy for a target that has announced in a response that it is leaving.
func (e Registration) WithAnnouncedLeaving() Registration {
	e.leaving = true

	return e
}

// HasAnnouncedLeaving reports whether the target has announced in a response that it is leaving.
func (e Registration) HasAnnouncedLeaving() bool { return e.leaving }

// Target returns the target.
func (e Registration) Target() Target { return e.target }

// Offset returns the offset of the registration in the log, or that of its removal.
func (e Registration) Offset() int64 { return e.offset }

// IsRemovalPending reports whether the registration was removed around an outage of the log and remains in effect.
func (e Registration) IsRemovalPending() bool { return e.removalPending }

// registrationState is the registration of a target. removedAt is the time of its pending removal; zero if there is
// none.
type registrationState struct {
	target           Target
	offset           int64
	removedAt        time.Time
	announcedLeaving bool // this incarnation has announced in a response that it is leaving
}

// isLeaving reports whether the target is leaving, from its registration or its responses.
func (e registrationState) isLeaving() bool { return e.target.leaving || e.announcedLeaving }

func (r *Registry) shard(name string) *registryShard {
	return &r.shards[shard.Index(name, shardCount)]
}

// MarkLogRead records that the registrations were read from the log, even if the log has none. From then on, Import
// ignores registrations without a pending removal.
func (r *Registry) MarkLogRead() {
	r.importMu.Lock()
	r.logRead = true
	r.importMu.Unlock()

	r.markInitialized()
}

func (r *Registry) markInitialized() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.initialized = true
}

// IsInitialized reports whether the registrations were read from the log or imported from another daemon at least once.
func (r *Registry) IsInitialized() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.initialized
}

// SetLogDown tells the registry whether the log can be read. Registrations that are removed during an outage or soon
// after it remain in effect until removalGracePeriod has passed, as live targets renew theirs.
func (r *Registry) SetLogDown(down bool, now time.Time) {
	r.mu.Lock()

	if down || r.logDown {
		r.lastOutage = now
	}

	r.logDown = down
	gracePeriodOver := !down && now.Sub(r.lastOutage) >= removalGracePeriod
	r.mu.Unlock()

	if gracePeriodOver && r.pendingRemovals.Load() > 0 {
		r.removeExpired(now)
	}
}

// removeExpired deletes the registrations that were removed and not renewed within the grace period.
func (r *Registry) removeExpired(now time.Time) {
	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for _, e := range h.registrations {
			if !e.removedAt.IsZero() && now.Sub(e.removedAt) >= removalGracePeriod {
				r.countChange(e.removedAt, time.Time{})
				h.deleteRegistration(e)
			}
		}
		h.mu.Unlock()
	}
}

// shouldDelayRemoval reports whether a registration that is removed now may belong to a live target.
func (r *Registry) shouldDelayRemoval(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.logDown || !r.lastOutage.IsZero() && now.Sub(r.lastOutage) < removalGracePeriod
}

// Put adds or replaces the registration of a target at an offset of the log, unless one at this offset or a later one
// is known. It reports whether anything but the offset changed.
func (r *Registry) Put(t Target, offset int64) bool {
	return r.put(t, offset, time.Time{})
}

// put is Put for a registration that may have a pending removal since removedAt.
func (r *Registry) put(t Target, offset int64, removedAt time.Time) bool {
	h := r.shard(t.name)

	h.mu.Lock()
	defer h.mu.Unlock()

	e, ok := h.registrations[t.name]
	if ok && offset <= e.offset {
		return false
	}

	if h.registrations == nil {
		h.registrations = map[string]registrationState{}
	}

	_, leaving := h.leavingSince[t.Incarnation()]
	h.registrations[t.name] = registrationState{target: t, offset: offset, removedAt: removedAt, announcedLeaving: leaving}

	if ok && e.target == t && e.removedAt.IsZero() && removedAt.IsZero() {
		return false
	}

	r.countChange(e.removedAt, removedAt)

	return true
}

// countChange counts a change of a registration. before and after are the times of its pending removal before and after
// the change; the zero value means no pending removal.
func (r *Registry) countChange(before, after time.Time) {
	r.changes.Add(1)

	switch {
	case before.IsZero() && !after.IsZero():
		r.pendingRemovals.Add(1)
	case !before.IsZero() && after.IsZero():
		r.pendingRemovals.Add(-1)
	}
}

// versionInterval is the interval at which the version changes while removals are pending. Users of the version notice
// the end of a grace period up to that much later.
const versionInterval = 100 * time.Millisecond

// Version returns a number that changes whenever the set of usable targets may have changed. Versions have no order.
func (r *Registry) Version(now time.Time) int64 {
	n := r.changes.Load()
	if r.pendingRemovals.Load() == 0 {
		return n
	}

	return n ^ now.UnixNano()/int64(versionInterval)<<32
}

// Export returns the registrations of all targets that are usable or leaving, for Import by another daemon.
func (r *Registry) Export(now time.Time) []Registration {
	var l []Registration

	for _, e := range r.filterRegistrations(func(Target) bool { return true }) {
		if e.isLeaving() || r.isUsable(e, now) {
			l = append(l, Registration{
				target: e.target, offset: e.offset, removalPending: !e.removedAt.IsZero(), leaving: e.announcedLeaving,
			})
		}
	}

	return l
}

// Import takes registrations that another daemon exported: all of them until the log was read, and then those with a
// pending removal if the log is down or was so within removalGracePeriod. A registration that is not newer than the
// local one is ignored. That a target has announced that it is leaving is always taken over.
func (r *Registry) Import(l []Registration, now time.Time) {
	r.importMu.Lock()
	defer r.importMu.Unlock()

	delayRemoval := r.shouldDelayRemoval(now)

	for _, e := range l {
		if e.leaving {
			r.MarkLeaving(e.target.Incarnation(), now)
		}

		switch {
		case e.removalPending && (delayRemoval || !r.logRead):
			r.put(e.target, e.offset, now)
		case !e.removalPending && !r.logRead:
			r.put(e.target, e.offset, time.Time{})
		}
	}

	r.markInitialized()
}

// Remove removes the registration of a target at an offset of the log. Around an outage of the log, it keeps the
// registration of a target that is not leaving in effect until removalGracePeriod has passed.
func (r *Registry) Remove(name string, offset int64, now time.Time) {
	delayRemoval := r.shouldDelayRemoval(now)
	h := r.shard(name)

	h.mu.Lock()
	defer h.mu.Unlock()

	if e, ok := h.registrations[name]; ok && offset > e.offset {
		if delayRemoval && !e.isLeaving() {
			r.countChange(e.removedAt, now)

			e.removedAt, e.offset = now, offset
			h.registrations[name] = e
		} else {
			r.countChange(e.removedAt, time.Time{})
			h.deleteRegistration(e)
		}
	}
}

// Names returns the names of all registered targets in no order, including those with a pending removal.
func (r *Registry) Names() []string {
	var l []string

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for n := range h.registrations {
			l = append(l, n)
		}
		h.mu.Unlock()
	}

	return l
}

// Find returns the target with a name, and whether it may get work. The target is the zero value if the name is not
// registered.
func (r *Registry) Find(name string, now time.Time) (Target, bool) {
	h := r.shard(name)

	h.mu.Lock()
	e, ok := h.registrations[name]
	h.mu.Unlock()

	return e.target, ok && r.isUsable(e, now)
}

// isUsable reports whether the target of a registration may get work.
func (r *Registry) isUsable(e registrationState, now time.Time) bool {
	if e.isLeaving() {
		return false
	}

	if e.removedAt.IsZero() {
		return true
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if r.logDown {
		return true
	}

	since := e.removedAt
	if r.lastOutage.After(since) {
		since = r.lastOutage
	}

	return now.Sub(since) < removalGracePeriod
}

// UsableTargets returns the targets of a service that may get work, sorted by name.
func (r *Registry) UsableTargets(service string, now time.Time) []Target {
	return r.filterTargets(
		func(t Target) bool { return t.service == service },
		func(e registrationState) bool { return r.isUsable(e, now) },
	)
}

// HasUsable reports whether any target of any service may get work. It is called for every request, and copies
// registrations only if all of them are leaving or pending removal.
func (r *Registry) HasUsable(now time.Time) bool {
	for i := range r.shards {
		if r.shards[i].hasActive() {
			return true
		}
	}

	return slices.ContainsFunc(r.filterRegistrations(func(Target) bool { return true }), func(e registrationState) bool { return r.isUsable(e, now) })
}

// hasActive reports whether the shard has a registration of a target that is neither leaving nor pending removal.
func (h *registryShard) hasActive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	for _, e := range h.registrations {
		if !e.isLeaving() && e.removedAt.IsZero() {
			return true
		}
	}

	return false
}

// Targets returns all targets that may get work or are leaving, sorted by name.
func (r *Registry) Targets(now time.Time) []Target {
	return r.filterTargets(
		func(Target) bool { return true },
		func(e registrationState) bool { return e.isLeaving() || r.isUsable(e, now) },
	)
}

// filterTargets returns the targets that both functions accept, sorted by name. acceptTarget is called under the lock
// of a shard, acceptState without a lock.
func (r *Registry) filterTargets(acceptTarget func(t Target) bool, acceptState func(e registrationState) bool) []Target {
	var l []Target

	for _, e := range r.filterRegistrations(acceptTarget) {
		if acceptState(e) {
			l = append(l, e.target)
		}
	}

	slices.SortFunc(l, func(a, b Target) int { return cmp.Compare(a.name, b.name) })

	return l
}

// filterRegistrations returns the registrations of the targets that accept selects. accept is called under the lock of
// a shard.
func (r *Registry) filterRegistrations(accept func(t Target) bool) []registrationState {
	var l []registrationState

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for _, e := range h.registrations {
			if accept(e.target) {
				l = append(l, e)
			}
		}
		h.mu.Unlock()
	}

	return l
}
