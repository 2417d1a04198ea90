package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

// leavingTargets has the departures of the leaving targets. They cannot be revoked and expire after departureRetention.
type leavingTargets struct {
	shards [tableShardCount]leavingTargetShard
}

type leavingTargetShard struct {
	mu         sync.Mutex
	departures map[string]Departure // by departureKey
}

// IsTargetLeaving reports whether the target at an address of a VM is known to be leaving.
func (t *Table) IsTargetLeaving(vm, address string) bool {
	h := t.leavingTargets.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	_, ok := h.departures[departureKey(vm, address)]

	return ok
}

// MarkTargetLeaving records that a target is leaving, as reported by the platform's list or by the target itself, and
// has heartbeats spread the report.
func (t *Table) MarkTargetLeaving(now time.Time, vm, address string) {
	t.mergeDepartures(now, []Departure{{VM: vm, Address: address, Since: now.Unix()}})
}

func (t *Table) mergeDepartures(now time.Time, l []Departure) {
	for _, d := range l {
		d.Since = min(d.Since, now.Unix()) // a sender whose clock is ahead must not extend the retention

		if now.Sub(time.Unix(d.Since, 0)) < departureRetention && t.leavingTargets.add(d) {
			t.queue.addDeparture(d, t.viewSize())
			t.version.Add(1)
		}
	}
}

func departureKey(vm, address string) string { return vm + "\x00" + address }

func (s *leavingTargets) shard(vm string) *leavingTargetShard {
	return &s.shards[shard.Index(vm, tableShardCount)]
}

// add records a departure and reports whether the target was not yet known to be leaving. The earliest report
// determines the time.
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

// departuresForSync returns the departures that full syncs carry, the newest first, and their digest. The digest leaves
// out the times, which may differ between daemons.
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
