package mesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

// rankingTTL is how long a ranking holds while no daemon changes. A daemon that falls silent is passed over after several
// heartbeats, which are a multiple of it.
const rankingTTL = 50 * time.Millisecond

// rankingCache remembers rankings, as every request needs one and several hundred daemons take long to sort.
type rankingCache struct {
	mu sync.Mutex
	rankings  map[string]ranking
	generation  int // number of changes
}

// ranking is the order of the daemons for a duty at a time.
type ranking struct {
	peers []Peer
	rankedAt    time.Time
}

func (r *rankingCache) invalidate() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.rankings = nil
	r.generation++
}

// get returns a ranking that still holds, or else the number of changes so far.
func (r *rankingCache) get(duty string, now time.Time) ([]Peer, int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if v, ok := r.rankings[duty]; ok && now.Sub(v.rankedAt) >= 0 && now.Sub(v.rankedAt) < rankingTTL {
		return v.peers, r.generation
	}

	return nil, r.generation
}

// put remembers a ranking unless a daemon changed meanwhile.
func (r *rankingCache) put(duty string, l []Peer, now time.Time, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if n != r.generation {
		return
	}

	if r.rankings == nil {
		r.rankings = map[string]ranking{}
	}

	r.rankings[duty] = ranking{peers: l, rankedAt: now}
}

// RankedPeers returns the daemons that may do a duty, the first choice first: those that are able to before those that have
// started while the log is away, then those with the most processor time, and among equals by a rendezvous hash. A small
// VM may need all of its time for the requests of its own callers. This daemon is among them unless it is leaving and
// another one is live. The list must not be changed.
func (t *Table) RankedPeers(duty string, now time.Time) []Peer {
	l, n := t.rankings.get(duty, now)
	if l != nil {
		return l
	}

	l = t.LivePeers(now)
	if v := t.Self(); !v.Leaving || len(l) == 0 {
		l = append(l, v)
	}

	l = rankByPower(duty, l)
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
	t.rankings.put(duty, l, now, n)

	return l
}

func rankByPower(duty string, l []Peer) []Peer {
	l = RankByHash(duty, l)
	slices.SortStableFunc(l, func(a, b Peer) int { return cmp.Compare(b.Power, a.Power) })

	return l
}

// RankByHash returns daemons in the order of a rendezvous hash for a key.
func RankByHash(key string, l []Peer) []Peer {
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
