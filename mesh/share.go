package mesh

import (
	"slices"
	"time"
)

// RankedPerDomain returns the daemons that share a duty: the first choices of each failure domain, so that each domain that is cut
// off can go on. A daemon that is silent for a short time keeps its share, as the duty is costly to take over.
func (t *Table) RankedPerDomain(duty string, each int, now time.Time) []Peer {
	n := t.peerCount()
	settled, self := t.canDetectFailures(now), t.Self()
	var l []Peer

	t.forEachPeer(func(s peerState) {
		if !s.peer.Leaving && s.isRunning(n, settled, now) {
			l = append(l, s.peer)
		}
	})

	if !self.Leaving || len(l) == 0 {
		l = append(l, self)
	}

	taken := map[string]int{}

	return slices.DeleteFunc(rankByPower(duty, l), func(p Peer) bool {
		taken[p.Domain]++

		return taken[p.Domain] > each
	})
}

// IsSuspected reports whether a daemon did not answer the last call.
func (t *Table) IsSuspected(vm string) bool {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[vm]

	return ok && s.failed
}

// isRunning reports whether a daemon is thought to go on with its work, when n others are known.
func (s peerState) isRunning(n int, settled bool, now time.Time) bool {
	if !settled || now.Sub(s.lastReply) <= max(takeoverTimeout, peerTimeoutIntervals*HeartbeatInterval(n)) {
		return true
	}

	return s.lastReply.IsZero() && now.Sub(s.addedAt) <= firstReplyGracePeriod
}

// AnnouncePartitions records which partitions this daemon follows, to be told with its heartbeats.
func (t *Table) AnnouncePartitions(partitions []int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.self.Parts = 0
	for _, n := range partitions {
		t.self.Parts |= partitionBit(n)
	}
}

func partitionBit(n int) uint64 { return 1 << (n % 64) } //nolint:mnd // bits of the field

// HasStoppedFollowing reports whether a daemon has told after a time that it does not follow a partition.
func (t *Table) HasStoppedFollowing(vm string, partition int, since time.Time) bool {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[vm]

	return ok && s.lastReply.After(since) && s.peer.Parts&partitionBit(partition) == 0
}
