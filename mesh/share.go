package mesh

import (
	"slices"
	"time"
)

// Share returns the daemons that share a duty: the first choices of each failure domain, so that each domain that is cut
// off can go on. A daemon that is silent for a short time keeps its share, as the duty is costly to take over.
func (t *Table) Share(duty string, each int, now time.Time) []Peer {
	n := t.count()
	settled, self := t.settled(now), t.Self()
	var l []Peer

	t.each(func(s state) {
		if !s.peer.Leaving && s.lasting(n, settled, now) {
			l = append(l, s.peer)
		}
	})

	if !self.Leaving || len(l) == 0 {
		l = append(l, self)
	}

	taken := map[string]int{}

	return slices.DeleteFunc(rank(duty, l), func(p Peer) bool {
		taken[p.Domain]++

		return taken[p.Domain] > each
	})
}

// Suspect reports whether a daemon did not answer the last call.
func (t *Table) Suspect(vm string) bool {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[vm]

	return ok && s.failed
}

// lasting reports whether a daemon is thought to go on with its work, when n others are known.
func (s state) lasting(n int, settled bool, now time.Time) bool {
	if !settled || now.Sub(s.heard) <= max(goneAfter, silentAfter*Interval(n)) {
		return true
	}

	return s.heard.IsZero() && now.Sub(s.added) <= settleAfter
}

// Announce records which partitions this daemon follows, to be told with its heartbeats.
func (t *Table) Announce(partitions []int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.self.Parts = 0
	for _, n := range partitions {
		t.self.Parts |= partBit(n)
	}
}

func partBit(n int) uint64 { return 1 << (n % 64) } //nolint:mnd // bits of the field

// Dropped reports whether a daemon has told after a time that it does not follow a partition.
func (t *Table) Dropped(vm string, partition int, since time.Time) bool {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[vm]

	return ok && s.heard.After(since) && s.peer.Parts&partBit(partition) == 0
}
