package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

// leavingTargets is the set of leaving targets. Entries are never withdrawn, only forgotten after keepDeparted.
type leavingTargets struct {
	shards [tableShards]leavingTargetShard
}

type leavingTargetShard struct {
	mu sync.Mutex
	departures  map[string]Departure
}

// IsTargetLeaving reports whether a target is leaving.
func (t *Table) IsTargetLeaving(vm, address string) bool {
	h := t.leavingTargets.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	_, ok := h.departures[departureKey(vm, address)]

	return ok
}

// MarkTargetLeaving records that a target is leaving, by the platform's list or by its own word.
func (t *Table) MarkTargetLeaving(now time.Time, vm, address string) {
	t.mergeDepartures(now, []Departure{{VM: vm, Address: address, Since: now.Unix()}})
}

func (t *Table) mergeDepartures(now time.Time, l []Departure) {
	for _, d := range l {
		d.Since = min(d.Since, now.Unix()) // a clock that is ahead must not keep an entry for longer

		if now.Sub(time.Unix(d.Since, 0)) < departureRetention && t.leavingTargets.add(d) {
			t.queue.addDeparture(d, t.viewSize())
			t.version.Add(1)
		}
	}
}

func departureKey(vm, address string) string { return vm + "\x00" + address }

func (s *leavingTargets) shard(vm string) *leavingTargetShard { return &s.shards[shard.Index(vm, tableShards)] }

// add reports whether the target was not known to leave. The earliest report gives the time.
func (s *leavingTargets) add(d Departure) bool {
	h := s.shard(d.VM)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.departures == nil {
		h.departures = map[string]Departure{}
	}

	k := departureKey(d.VM, d.Address)
	o, known := h.departures[k]

	if !known || d.Since < o.Since {
		h.departures[k] = d
	}

	return !known
}

// departuresForSync returns the departures that full exchanges carry, and their digest, which leaves out the times.
func (s *leavingTargets) departuresForSync(now time.Time) ([]Departure, uint64) {
	var l []Departure

	var n uint64

	for i := range s.shards {
		h := &s.shards[i]

		h.mu.Lock()
		for _, d := range h.departures {
			if now.Sub(time.Unix(d.Since, 0)) < maxSyncedDepartureAge {
				l = append(l, d)
				n ^= hash(d.VM, d.Address, 0)
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(b.Since, a.Since), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Address, b.Address))
	})

	return l[:min(len(l), maxSyncEntries)], n
}

func (s *leavingTargets) removeExpired(now time.Time) {
	for i := range s.shards {
		h := &s.shards[i]

		h.mu.Lock()
		for k, d := range h.departures {
			if now.Sub(time.Unix(d.Since, 0)) >= departureRetention {
				delete(h.departures, k)
			}
		}
		h.mu.Unlock()
	}
}
