package mesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

// rankingTTL is how long a ranking is reused while no peer changes. It hardly delays the exclusion of a peer that stops
// replying, which takes several heartbeat intervals of at least 250 ms.
const rankingTTL = 50 * time.Millisecond

// domainRankingTTL is the same for RankedPerDomain, which every daemon needs several times a second for each partition.
// It is short against takeoverTimeout, and incarnations and leaving daemons take effect at once.
const domainRankingTTL = time.Second

// rankingCache keeps rankings by key, as every request needs one and sorting several hundred daemons takes long.
type rankingCache struct {
	mu         sync.Mutex
	rankings   map[string]ranking
	generation int // number of invalidations so far
}

// ranking is a list of daemons in ranked order with its time.
type ranking struct {
	peers    []Peer
	rankedAt time.Time
}

// invalidate discards all rankings. It is called when a peer changes.
func (r *rankingCache) invalidate() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.rankings = nil
	r.generation++
}

// get returns the ranking for a key, or nil if there is none or it is older than ttl, and the generation to pass to put.
func (r *rankingCache) get(key string, ttl time.Duration, now time.Time) ([]Peer, int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if v, ok := r.rankings[key]; ok && now.Sub(v.rankedAt) >= 0 && now.Sub(v.rankedAt) < ttl {
		return v.peers, r.generation
	}

	return nil, r.generation
}

// put stores a ranking unless the cache was invalidated since get returned the generation.
func (r *rankingCache) put(key string, l []Peer, now time.Time, generation int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if generation != r.generation {
		return
	}

	if r.rankings == nil {
		r.rankings = map[string]ranking{}
	}

	r.rankings[key] = ranking{peers: l, rankedAt: now}
}

// RankedPeers returns the daemons that may be responsible for a key, such as a service, in order of preference. Daemons
// that know no targets, because they started while the log was down, come last. Daemons with more processor time come
// before others, as a small VM may need all of its time for the requests of its callers. Rendezvous hashing decides
// among the rest. This daemon is included unless it is leaving and another one is live. The result must not be changed.
func (t *Table) RankedPeers(key string, now time.Time) []Peer {
	l, generation := t.rankings.get(key, rankingTTL, now)
	if l != nil {
		return l
	}

	l = t.LivePeers(now)
	if v := t.Self(); !v.Leaving || len(l) == 0 {
		l = append(l, v)
	}

	l = rankByPower(key, l)
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
	t.rankings.put(key, l, now, generation)

	return l
}

// rankByPower ranks daemons by processor time, and those with equal processor time by rendezvous hashing.
func rankByPower(key string, l []Peer) []Peer {
	l = RankByHash(key, l) // the stable sort keeps this order among daemons with equal processor time
	slices.SortStableFunc(l, func(a, b Peer) int { return cmp.Compare(b.Power, a.Power) })

	return l
}

// RankByHash returns daemons ranked for a key by rendezvous hashing, the first-ranked first.
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
