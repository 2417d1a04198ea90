package member

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
)

// queue has the changes that heartbeats still carry.
type queue struct {
	mu    sync.Mutex
	items map[string]*queued
}

type queued struct {
	change    Change
	departure Departure
	target    bool
	remaining int
}

func (q *queue) add(c Change, size int) {
	q.put("daemon/"+c.VM, &queued{change: c, remaining: transmissions(size)})
}

func (q *queue) depart(d Departure, size int) {
	q.put("target/"+d.VM+"/"+d.Address, &queued{departure: d, target: true, remaining: transmissions(size)})
}

func (q *queue) put(key string, v *queued) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.items == nil {
		q.items = map[string]*queued{}
	}

	q.items[key] = v
}

// take returns the changes for one message, the least often sent first. Departures come before changes, since
// they have the shorter bound.
func (q *queue) take() (c []Change, d []Departure) {
	q.mu.Lock()
	defer q.mu.Unlock()

	k := make([]string, 0, len(q.items))
	for n := range q.items {
		k = append(k, n)
	}

	slices.SortFunc(k, func(a, b string) int {
		x, y := q.items[a], q.items[b]
		if x.target != y.target {
			return cmp.Compare(rank(y.target), rank(x.target))
		}

		return cmp.Or(cmp.Compare(y.remaining, x.remaining), cmp.Compare(a, b))
	})

	for _, n := range k[:min(len(k), maxChanges)] {
		v := q.items[n]
		if v.target {
			d = append(d, v.departure)
		} else {
			c = append(c, v.change)
		}

		if v.remaining--; v.remaining <= 0 {
			delete(q.items, n)
		}
	}

	return c, d
}

func rank(target bool) int {
	if target {
		return 1
	}

	return 0
}

// transmissions grows with the logarithm of the number of daemons, which is how many rounds a change takes to
// reach all of them.
func transmissions(size int) int { return retransmit * bits.Len(uint(max(size, 1))) } //nolint:gosec // not negative
