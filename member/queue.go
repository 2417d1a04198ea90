package member

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
)

// changeQueue has the changes and departures that heartbeats still have to carry.
type changeQueue struct {
	mu    sync.Mutex
	items map[string]*queuedChange // by kind and name, so that a new change replaces an older one
}

// queuedChange is a change or, if isDeparture is set, a departure.
type queuedChange struct {
	change         Change
	departure      Departure
	isDeparture    bool
	remainingSends int
}

// addChange queues a change for a failure domain of size daemons.
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

// dequeue returns the changes and departures for one message: departures first, as they have to reach all daemons
// sooner, and among equals those sent least often.
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

func departureOrder(isDeparture bool) int {
	if isDeparture {
		return 1
	}

	return 0
}

// transmissions returns how many times a change is sent among n daemons. It grows with the logarithm of n, as does the
// number of rounds that a change takes to reach all daemons.
func transmissions(n int) int { return retransmitFactor * bits.Len(uint(max(n, 1))) } //nolint:gosec // not negative
