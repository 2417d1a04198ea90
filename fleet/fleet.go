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

// registryShards is the number of shards of the registry; more than the cores of an entry VM.
const registryShards = 8

// lapseHold is how long an entry that vanished around an outage of the log still counts. Live targets write their
// entries again within about two seconds of its return.
const lapseHold = 2 * time.Second

// Target is a target as its entry describes it.
type Target struct {
	name, address, domain, service string
	slots                          int
	started                        int64
	leaving                        bool
}

// NewTarget returns a target that serves at an IP number with a port and runs slots requests at a time.
func NewTarget(name, address, domain, service string, slots int) Target {
	return Target{name: name, address: address, domain: domain, service: service, slots: slots}
}

// WithStart returns a copy with the time of the target's start, in Unix milliseconds. Another start under the same
// name is another incarnation.
func (t Target) WithStart(ms int64) Target {
	t.started = ms

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
func (t Target) Start() int64 { return t.started }

// Leaving reports whether the target gets nothing new.
func (t Target) Leaving() bool { return t.leaving }

// Registry has the entries of all targets. The zero value is empty and ready to use.
type Registry struct {
	shards [registryShards]registryShard

	imports sync.Mutex // held during an import, so that it ends before the log is read
	read    bool       // whether the log was read once

	changes atomic.Int64 // number of changes of entries
	lapsed  atomic.Int64 // number of entries that vanished around an outage and are remembered

	mu     sync.Mutex
	known  bool
	outage time.Time // when the log was last known to be unavailable
	down   bool
}

type registryShard struct {
	mu      sync.Mutex
	entries map[string]entry
}

// Entry is the entry of a target as one daemon passes it on to another.
type Entry struct {
	target Target
	offset int64
	lapsed bool
}

// NewEntry returns the entry of a target at an offset of the log. lapsed means that it vanished around an outage of the
// log and still counts.
func NewEntry(t Target, offset int64, lapsed bool) Entry {
	return Entry{target: t, offset: offset, lapsed: lapsed}
}

// Target returns the target.
func (e Entry) Target() Target { return e.target }

// Offset returns the offset of the entry, or of its removal.
func (e Entry) Offset() int64 { return e.offset }

// Lapsed reports whether the entry vanished around an outage of the log.
func (e Entry) Lapsed() bool { return e.lapsed }

// entry is a target's entry. lapsed is when it vanished around an outage of the log; zero while it stands.
type entry struct {
	target Target
	offset int64
	lapsed time.Time
}

func (r *Registry) shard(name string) *registryShard {
	return &r.shards[shard.Index(name, registryShards)]
}

// Read records that the entries are read from the log, even if there are none. Entries of other daemons count no more.
func (r *Registry) Read() {
	r.imports.Lock()
	r.read = true
	r.imports.Unlock()

	r.learn()
}

func (r *Registry) learn() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.known = true
}

// Known reports whether the entries were read at least once, or taken from another daemon.
func (r *Registry) Known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.known
}

// SetLogDown records whether the log is available. Entries that vanish during an outage or soon after it are held for a
// while, as live targets write theirs again.
func (r *Registry) SetLogDown(down bool, now time.Time) {
	r.mu.Lock()

	if down || r.down {
		r.outage = now
	}

	r.down = down
	over := !down && now.Sub(r.outage) >= lapseHold
	r.mu.Unlock()

	if over && r.lapsed.Load() > 0 {
		r.forget(now)
	}
}

// forget drops the entries that lapsed and were not written again in time.
func (r *Registry) forget(now time.Time) {
	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for n, e := range h.entries {
			if !e.lapsed.IsZero() && now.Sub(e.lapsed) >= lapseHold {
				r.count(e.lapsed, time.Time{})
				delete(h.entries, n)
			}
		}
		h.mu.Unlock()
	}
}

// lapses reports whether an entry that vanishes now may belong to a live target.
func (r *Registry) lapses(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.down || !r.outage.IsZero() && now.Sub(r.outage) < lapseHold
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

	e, ok := h.entries[t.name]
	if ok && offset <= e.offset {
		return false
	}

	if h.entries == nil {
		h.entries = map[string]entry{}
	}

	h.entries[t.name] = entry{target: t, offset: offset, lapsed: lapsed}

	if ok && e.target == t && e.lapsed.IsZero() && lapsed.IsZero() {
		return false
	}

	r.count(e.lapsed, lapsed)

	return true
}

// count records a change of an entry, which had lapsed at a time before and has lapsed at another one now.
func (r *Registry) count(before, now time.Time) {
	r.changes.Add(1)

	switch {
	case before.IsZero() && !now.IsZero():
		r.lapsed.Add(1)
	case !before.IsZero() && now.IsZero():
		r.lapsed.Add(-1)
	}
}

// lapseTick is the precision with which entries that lapsed stop counting.
const lapseTick = 100 * time.Millisecond

// Version returns a number that differs when other targets may get work than before.
func (r *Registry) Version(now time.Time) int64 {
	n := r.changes.Load()
	if r.lapsed.Load() == 0 {
		return n
	}

	return n ^ now.UnixNano()/int64(lapseTick)<<32
}

// Export returns the entries of all targets that count.
func (r *Registry) Export(now time.Time) []Entry {
	var l []Entry

	for _, e := range r.entries(func(Target) bool { return true }) {
		if e.target.leaving || r.usable(e, now) {
			l = append(l, Entry{target: e.target, offset: e.offset, lapsed: !e.lapsed.IsZero()})
		}
	}

	return l
}

// Import takes the entries that another daemon has: all of them while the log was not read, and later those that lapsed
// around an outage of the log that may not be over. What the log shows as removed stays so.
func (r *Registry) Import(l []Entry, now time.Time) {
	r.imports.Lock()
	defer r.imports.Unlock()

	lapses := r.lapses(now)

	for _, e := range l {
		switch {
		case e.lapsed && (lapses || !r.read):
			r.put(e.target, e.offset, now)
		case !e.lapsed && !r.read:
			r.put(e.target, e.offset, time.Time{})
		}
	}

	r.learn()
}

// Remove records that the entry of a target is gone.
func (r *Registry) Remove(name string, offset int64, now time.Time) {
	lapsed := r.lapses(now)
	h := r.shard(name)

	h.mu.Lock()
	defer h.mu.Unlock()

	if e, ok := h.entries[name]; ok && offset > e.offset {
		if lapsed && !e.target.leaving {
			r.count(e.lapsed, now)

			e.lapsed, e.offset = now, offset
			h.entries[name] = e
		} else {
			r.count(e.lapsed, time.Time{})
			delete(h.entries, name)
		}
	}
}

// Names returns the names of all entries, also of those that have lapsed.
func (r *Registry) Names() []string {
	var l []string

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for n := range h.entries {
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
	e, ok := h.entries[name]
	h.mu.Unlock()

	return e.target, ok && r.usable(e, now)
}

func (r *Registry) usable(e entry, now time.Time) bool {
	if e.target.leaving {
		return false
	}

	if e.lapsed.IsZero() {
		return true
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if r.down {
		return true
	}

	since := e.lapsed
	if r.outage.After(since) {
		since = r.outage
	}

	return now.Sub(since) < lapseHold
}

// Usable returns the targets of a service that may get work, in order of name.
func (r *Registry) Usable(service string, now time.Time) []Target {
	return r.list(
		func(t Target) bool { return t.service == service },
		func(e entry) bool { return r.usable(e, now) },
	)
}

// Any reports whether a target may get work. It is called for every request.
func (r *Registry) Any(now time.Time) bool {
	for i := range r.shards {
		if r.shards[i].stands() {
			return true
		}
	}

	return slices.ContainsFunc(r.entries(func(Target) bool { return true }), func(e entry) bool { return r.usable(e, now) })
}

// stands reports whether a shard has a target whose entry stands and that is not leaving.
func (h *registryShard) stands() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	for _, e := range h.entries {
		if !e.target.leaving && e.lapsed.IsZero() {
			return true
		}
	}

	return false
}

// Listed returns all targets that may get work or are leaving, in order of name.
func (r *Registry) Listed(now time.Time) []Target {
	return r.list(
		func(Target) bool { return true },
		func(e entry) bool { return e.target.leaving || r.usable(e, now) },
	)
}

// list returns the targets that belong to a list, and whose entries count, in order of name.
func (r *Registry) list(belongs func(t Target) bool, counts func(e entry) bool) []Target {
	var l []Target

	for _, e := range r.entries(belongs) {
		if counts(e) {
			l = append(l, e.target)
		}
	}

	slices.SortFunc(l, func(a, b Target) int { return cmp.Compare(a.name, b.name) })

	return l
}

// entries returns the entries of the targets that belong to a list. belongs is called under the lock of a shard.
func (r *Registry) entries(belongs func(t Target) bool) []entry {
	var l []entry

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for _, e := range h.entries {
			if belongs(e.target) {
				l = append(l, e)
			}
		}
		h.mu.Unlock()
	}

	return l
}
