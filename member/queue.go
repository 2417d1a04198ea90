package member

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
)

// changeQueue has the changes that heartbeats still carry.
type changeQueue struct {
	mu    sync.Mutex
	items map[string]*queuedChange
}

type queuedChange struct {
	change    Change
	departure Departure
	isDeparture    bool
	remainingSends int
}

func (q *changeQueue) addChange(c Change, size int) {
	q.put("daemon/"+c.VM, &queuedChange{change: c, remainingSends: transmissions(size)})
}

func (q *changeQueue) addDeparture(d Departure, size int) {
	q.put("target/"+d.VM+"/"+d.Address, &queuedChange{departure: d, isDeparture: true, remainingSends: transmissions(size)})
}

func (q *changeQueue) put(key string, v *queuedChange) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.items == nil {
		q.items = map[string]*queuedChange{}
	}

	q.items[key] = v
}

// dequeue returns the changes for one message, the least often sent first. Departures come before changes, since
// they have the shorter bound.
func (q *changeQueue) dequeue() (c []Change, d []Departure) {
	q.mu.Lock()
	defer q.mu.Unlock()

	k := make([]string, 0, len(q.items))
	for n := range q.items {
		k = append(k, n)
	}

	slices.SortFunc(k, func(a, b string) int {
		x, y := q.items[a], q.items[b]
		if x.isDeparture != y.isDeparture {
			return cmp.Compare(departureOrder(y.isDeparture), departureOrder(x.isDeparture))
		}

		return cmp.Or(cmp.Compare(y.remainingSends, x.remainingSends), cmp.Compare(a, b))
	})

	for _, n := range k[:min(len(k), maxHeartbeatChanges)] {
		v := q.items[n]
		if v.isDeparture {
			d = append(d, v.departure)
		} else {
			c = append(c, v.change)
		}

		if v.remainingSends--; v.remainingSends <= 0 {
			delete(q.items, n)
		}
	}

	return c, d
}

func departureOrder(target bool) int {
	if target {
		return 1
	}

	return 0
}

// transmissions grows with the logarithm of the number of daemons, which is how many rounds a change takes to
// reach all of them.
func transmissions(size int) int { return retransmitFactor * bits.Len(uint(max(size, 1))) } //nolint:gosec // not negative
