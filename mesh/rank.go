package mesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

// rankFor is how long a ranking holds while no daemon changes. A daemon that falls silent is passed over after several
// heartbeats, which are a multiple of it.
const rankFor = 50 * time.Millisecond

// ranks remembers rankings, as every request needs one and several hundred daemons take long to sort.
type ranks struct {
	mu sync.Mutex
	l  map[string]ranking
	n  int // number of changes
}

// ranking is the order of the daemons for a duty at a time.
type ranking struct {
	peers []Peer
	at    time.Time
}

func (r *ranks) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.l = nil
	r.n++
}

// get returns a ranking that still holds, or else the number of changes so far.
func (r *ranks) get(duty string, now time.Time) ([]Peer, int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if v, ok := r.l[duty]; ok && now.Sub(v.at) >= 0 && now.Sub(v.at) < rankFor {
		return v.peers, r.n
	}

	return nil, r.n
}

// put remembers a ranking unless a daemon changed meanwhile.
func (r *ranks) put(duty string, l []Peer, now time.Time, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if n != r.n {
		return
	}

	if r.l == nil {
		r.l = map[string]ranking{}
	}

	r.l[duty] = ranking{peers: l, at: now}
}

// Ranked returns the daemons that may do a duty, the first choice first: those that are able to before those that have
// started while the log is away, then those with the most processor time, and among equals by a rendezvous hash. A small
// VM may need all of its time for the requests of its own callers. This daemon is among them unless it is leaving and
// another one is live. The list must not be changed.
func (t *Table) Ranked(duty string, now time.Time) []Peer {
	l, n := t.ranks.get(duty, now)
	if l != nil {
		return l
	}

	l = t.Live(now)
	if v := t.Self(); !v.Leaving || len(l) == 0 {
		l = append(l, v)
	}

	l = rank(duty, l)
	slices.SortStableFunc(l, func(a, b Peer) int {
		switch {
		case a.Unable == b.Unable:
			return 0
		case b.Unable:
			return -1
		default:
			return 1
		}
	})
	t.ranks.put(duty, l, now, n)

	return l
}

func rank(duty string, l []Peer) []Peer {
	l = Order(duty, l)
	slices.SortStableFunc(l, func(a, b Peer) int { return cmp.Compare(b.Power, a.Power) })

	return l
}

// Order returns daemons in the order of a rendezvous hash for a key.
func Order(key string, l []Peer) []Peer {
	m := make(map[string]Peer, len(l))
	n := make([]string, len(l))

	for i, p := range l {
		m[p.VM], n[i] = p, p.VM
	}

	r := make([]Peer, len(l))
	for i, vm := range shard.Rank(key, n) {
		r[i] = m[vm]
	}

	return r
}
