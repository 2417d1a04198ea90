package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

// departed is the set of leaving targets. Entries are never withdrawn, only forgotten after keepDeparted.
type departed struct {
	shards [tableShards]departedShard
}

type departedShard struct {
	mu sync.Mutex
	m  map[string]Departure
}

// Departing reports whether a target is leaving.
func (t *Table) Departing(vm, address string) bool {
	h := t.departed.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	_, ok := h.m[departureKey(vm, address)]

	return ok
}

// Depart records that a target is leaving, by the platform's list or by its own word.
func (t *Table) Depart(now time.Time, vm, address string) {
	t.mergeDepartures(now, []Departure{{VM: vm, Address: address, Since: now.Unix()}})
}

func (t *Table) mergeDepartures(now time.Time, l []Departure) {
	for _, d := range l {
		d.Since = min(d.Since, now.Unix()) // a clock that is ahead must not keep an entry for longer

		if now.Sub(time.Unix(d.Since, 0)) < keepDeparted && t.departed.add(d) {
			t.queue.depart(d, t.size())
			t.version.Add(1)
		}
	}
}

func departureKey(vm, address string) string { return vm + "\x00" + address }

func (s *departed) shard(vm string) *departedShard { return &s.shards[shard.Index(vm, tableShards)] }

// add reports whether the target was not known to leave. The earliest report gives the time.
func (s *departed) add(d Departure) bool {
	h := s.shard(d.VM)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.m == nil {
		h.m = map[string]Departure{}
	}

	k := departureKey(d.VM, d.Address)
	o, known := h.m[k]

	if !known || d.Since < o.Since {
		h.m[k] = d
	}

	return !known
}

// shared returns the departures that full exchanges carry, and their digest, which leaves out the times.
func (s *departed) shared(now time.Time) ([]Departure, uint64) {
	var l []Departure

	var n uint64

	for i := range s.shards {
		h := &s.shards[i]

		h.mu.Lock()
		for _, d := range h.m {
			if now.Sub(time.Unix(d.Since, 0)) < shareDeparted {
				l = append(l, d)
				n ^= hash(d.VM, d.Address, 0)
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(b.Since, a.Since), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Address, b.Address))
	})

	return l[:min(len(l), maxFull)], n
}

func (s *departed) forget(now time.Time) {
	for i := range s.shards {
		h := &s.shards[i]

		h.mu.Lock()
		for k, d := range h.m {
			if now.Sub(time.Unix(d.Since, 0)) >= keepDeparted {
				delete(h.m, k)
			}
		}
		h.mu.Unlock()
	}
}
