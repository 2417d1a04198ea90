// Package fleet decides which targets may get work, from the entries that targets keep in the platform's log. It takes
// the time as an argument and does no input or output.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/shard"
)

// shardCount is the number of shards of the registry; more than the cores of an entry VM.
const shardCount = 8

// removalGracePeriod is how long an entry that vanished around an outage of the log still counts. Live targets write their
// entries again within about two seconds of its return.
const removalGracePeriod = 2 * time.Second

// Target is a target as its entry describes it.
type Target struct {
	name, address, domain, service string
	slots                          int
	start                        int64
	leaving                        bool
}

// NewTarget returns a target that serves at an IP number with a port and runs slots requests at a time.
func NewTarget(name, address, domain, service string, slots int) Target {
	return Target{name: name, address: address, domain: domain, service: service, slots: slots}
}

// WithStart returns a copy with the time of the target's start, in Unix milliseconds. Another start under the same
// name is another incarnation.
func (t Target) WithStart(ms int64) Target {
	t.start = ms

	return t
}

// AsLeaving returns a copy that gets nothing new.
func (t Target) AsLeaving() Target {
	t.leaving = true

	return t
}

// Name returns the target's name.
func (t Target) Name() string { return t.name }

// Address returns the IP number and port.
func (t Target) Address() string { return t.address }

// Domain returns the failure domain.
func (t Target) Domain() string { return t.domain }

// Service returns the service that the target runs.
func (t Target) Service() string { return t.service }

// Slots returns the number of requests that the target runs at a time.
func (t Target) Slots() int { return t.slots }

// Start returns the time of the target's start, in Unix milliseconds; 0 when it is not known.
func (t Target) Start() int64 { return t.start }

// Leaving reports whether the target gets nothing new.
func (t Target) Leaving() bool { return t.leaving }

// Registry has the entries of all targets. The zero value is empty and ready to use.
type Registry struct {
	shards [shardCount]registryShard

	importMu sync.Mutex // held during an import, so that it ends before the log is read
	logRead    bool       // whether the log was read once

	changes atomic.Int64 // number of changes of entries
	pendingRemovals  atomic.Int64 // number of entries that vanished around an outage and are remembered

	mu     sync.Mutex
	initialized  bool
	lastOutage time.Time // when the log was last known to be unavailable
	logDown   bool
}

type registryShard struct {
	mu      sync.Mutex
	registrations map[string]registrationState
}

// Registration is the entry of a target as one daemon passes it on to another.
type Registration struct {
	target Target
	offset int64
	removalPending bool
}

// NewRegistration returns the entry of a target at an offset of the log. lapsed means that it vanished around an outage of the
// log and still counts.
func NewRegistration(t Target, offset int64, lapsed bool) Registration {
	return Registration{target: t, offset: offset, removalPending: lapsed}
}

// Target returns the target.
func (e Registration) Target() Target { return e.target }

// Offset returns the offset of the entry, or of its removal.
func (e Registration) Offset() int64 { return e.offset }

// IsRemovalPending reports whether the entry vanished around an outage of the log.
func (e Registration) IsRemovalPending() bool { return e.removalPending }

// registrationState is a target's entry. lapsed is when it vanished around an outage of the log; zero while it stands.
type registrationState struct {
	target Target
	offset int64
	removedAt time.Time
}

func (r *Registry) shard(name string) *registryShard {
	return &r.shards[shard.Index(name, shardCount)]
}

// Read records that the entries are read from the log, even if there are none. Entries of other daemons count no more.
func (r *Registry) Read() {
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

// IsInitialized reports whether the entries were read at least once, or taken from another daemon.
func (r *Registry) IsInitialized() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.initialized
}

// SetLogDown records whether the log is available. Entries that vanish during an outage or soon after it are held for a
// while, as live targets write theirs again.
func (r *Registry) SetLogDown(down bool, now time.Time) {
	r.mu.Lock()

	if down || r.logDown {
		r.lastOutage = now
	}

	r.logDown = down
	over := !down && now.Sub(r.lastOutage) >= removalGracePeriod
	r.mu.Unlock()

	if over && r.pendingRemovals.Load() > 0 {
		r.removeExpired(now)
	}
}

// removeExpired drops the entries that lapsed and were not written again in time.
func (r *Registry) removeExpired(now time.Time) {
	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for n, e := range h.registrations {
			if !e.removedAt.IsZero() && now.Sub(e.removedAt) >= removalGracePeriod {
				r.countChange(e.removedAt, time.Time{})
				delete(h.registrations, n)
			}
		}
		h.mu.Unlock()
	}
}

// shouldDelayRemoval reports whether an entry that vanishes now may belong to a live target.
func (r *Registry) shouldDelayRemoval(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.logDown || !r.lastOutage.IsZero() && now.Sub(r.lastOutage) < removalGracePeriod
}

// Put records the entry of a target at an offset of the log. Older entries are ignored. It reports whether something
// about the target changed.
func (r *Registry) Put(t Target, offset int64) bool {
	return r.put(t, offset, time.Time{})
}

func (r *Registry) put(t Target, offset int64, lapsed time.Time) bool {
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

	h.registrations[t.name] = registrationState{target: t, offset: offset, removedAt: lapsed}

	if ok && e.target == t && e.removedAt.IsZero() && lapsed.IsZero() {
		return false
	}

	r.countChange(e.removedAt, lapsed)

	return true
}

// countChange records a change of an entry, which had lapsed at a time before and has lapsed at another one now.
func (r *Registry) countChange(before, now time.Time) {
	r.changes.Add(1)

	switch {
	case before.IsZero() && !now.IsZero():
		r.pendingRemovals.Add(1)
	case !before.IsZero() && now.IsZero():
		r.pendingRemovals.Add(-1)
	}
}

// versionInterval is the precision with which entries that lapsed stop counting.
const versionInterval = 100 * time.Millisecond

// Version returns a number that differs when other targets may get work than before.
func (r *Registry) Version(now time.Time) int64 {
	n := r.changes.Load()
	if r.pendingRemovals.Load() == 0 {
		return n
	}

	return n ^ now.UnixNano()/int64(versionInterval)<<32
}

// Export returns the entries of all targets that count.
func (r *Registry) Export(now time.Time) []Registration {
	var l []Registration

	for _, e := range r.filterRegistrations(func(Target) bool { return true }) {
		if e.target.leaving || r.isUsable(e, now) {
			l = append(l, Registration{target: e.target, offset: e.offset, removalPending: !e.removedAt.IsZero()})
		}
	}

	return l
}

// Import takes the entries that another daemon has: all of them while the log was not read, and later those that lapsed
// around an outage of the log that may not be over. What the log shows as removed stays so.
func (r *Registry) Import(l []Registration, now time.Time) {
	r.importMu.Lock()
	defer r.importMu.Unlock()

	lapses := r.shouldDelayRemoval(now)

	for _, e := range l {
		switch {
		case e.removalPending && (lapses || !r.logRead):
			r.put(e.target, e.offset, now)
		case !e.removalPending && !r.logRead:
			r.put(e.target, e.offset, time.Time{})
		}
	}

	r.markInitialized()
}

// Remove records that the entry of a target is gone.
func (r *Registry) Remove(name string, offset int64, now time.Time) {
	lapsed := r.shouldDelayRemoval(now)
	h := r.shard(name)

	h.mu.Lock()
	defer h.mu.Unlock()

	if e, ok := h.registrations[name]; ok && offset > e.offset {
		if lapsed && !e.target.leaving {
			r.countChange(e.removedAt, now)

			e.removedAt, e.offset = now, offset
			h.registrations[name] = e
		} else {
			r.countChange(e.removedAt, time.Time{})
			delete(h.registrations, name)
		}
	}
}

// Names returns the names of all entries, also of those that have lapsed.
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

// Find returns the target with a name if it may get work.
func (r *Registry) Find(name string, now time.Time) (Target, bool) {
	h := r.shard(name)

	h.mu.Lock()
	e, ok := h.registrations[name]
	h.mu.Unlock()

	return e.target, ok && r.isUsable(e, now)
}

func (r *Registry) isUsable(e registrationState, now time.Time) bool {
	if e.target.leaving {
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

// UsableTargets returns the targets of a service that may get work, in order of name.
func (r *Registry) UsableTargets(service string, now time.Time) []Target {
	return r.filterTargets(
		func(t Target) bool { return t.service == service },
		func(e registrationState) bool { return r.isUsable(e, now) },
	)
}

// HasUsable reports whether a target may get work. It is called for every request.
func (r *Registry) HasUsable(now time.Time) bool {
	for i := range r.shards {
		if r.shards[i].hasRegistered() {
			return true
		}
	}

	return slices.ContainsFunc(r.filterRegistrations(func(Target) bool { return true }), func(e registrationState) bool { return r.isUsable(e, now) })
}

// hasRegistered reports whether a shard has a target whose entry stands and that is not leaving.
func (h *registryShard) hasRegistered() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	for _, e := range h.registrations {
		if !e.target.leaving && e.removedAt.IsZero() {
			return true
		}
	}

	return false
}

// Targets returns all targets that may get work or are leaving, in order of name.
func (r *Registry) Targets(now time.Time) []Target {
	return r.filterTargets(
		func(Target) bool { return true },
		func(e registrationState) bool { return e.target.leaving || r.isUsable(e, now) },
	)
}

// filterTargets returns the targets that belong to a list, and whose entries count, in order of name.
func (r *Registry) filterTargets(belongs func(t Target) bool, counts func(e registrationState) bool) []Target {
	var l []Target

	for _, e := range r.filterRegistrations(belongs) {
		if counts(e) {
			l = append(l, e.target)
		}
	}

	slices.SortFunc(l, func(a, b Target) int { return cmp.Compare(a.name, b.name) })

	return l
}

// filterRegistrations returns the entries of the targets that belong to a list. belongs is called under the lock of a shard.
func (r *Registry) filterRegistrations(belongs func(t Target) bool) []registrationState {
	var l []registrationState

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for _, e := range h.registrations {
			if belongs(e.target) {
				l = append(l, e)
			}
		}
		h.mu.Unlock()
	}

	return l
}
