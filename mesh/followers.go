package mesh

import (
	"slices"
	"strconv"
	"time"
)

// RankedPerDomain returns the daemons that are jointly responsible for a key, such as the followers of a partition: up
// to perDomain of each failure domain, so that a domain that is partitioned off can continue. Daemons with the
// most processor time come first, then rendezvous hashing decides. A daemon that does not reply for a short time stays
// included, as taking over its work is costly. The result must not be changed.
func (t *Table) RankedPerDomain(key string, perDomain int, now time.Time) []Peer {
	cacheKey := strconv.Itoa(perDomain) + "/" + key

	l, generation := t.domainRankings.get(cacheKey, domainRankingTTL, now)
	if l == nil {
		l = t.rankPerDomain(key, perDomain, now)
		t.domainRankings.put(cacheKey, l, now, generation)
	}

	return l
}

func (t *Table) rankPerDomain(key string, perDomain int, now time.Time) []Peer {
	n := t.peerCount()
	canDetect, self := t.canDetectFailures(now), t.Self()
	var l []Peer

	t.forEachPeer(func(s peerState) {
		if !s.peer.Leaving && s.isRunning(n, canDetect, now) {
			l = append(l, s.peer)
		}
	})

	if !self.Leaving || len(l) == 0 {
		l = append(l, self)
	}

	count := map[string]int{}

	return slices.DeleteFunc(rankByPower(key, l), func(p Peer) bool {
		count[p.Domain]++

		return count[p.Domain] > perDomain
	})
}

// IsSuspected reports whether the last call to a daemon failed. It is false for unknown daemons.
func (t *Table) IsSuspected(vm string) bool {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[vm]

	return ok && s.failed
}

// isRunning reports whether a daemon is presumed to continue its work: until takeoverTimeout or peerTimeoutIntervals
// heartbeat intervals after its last reply, whichever is longer, or for firstReplyGracePeriod if it has not replied
// yet. n is the number of known peers. While this daemon cannot detect failures, every daemon counts as running.
func (s peerState) isRunning(n int, canDetect bool, now time.Time) bool {
	if !canDetect || now.Sub(s.lastReply) <= max(takeoverTimeout, peerTimeoutIntervals*HeartbeatInterval(n)) {
		return true
	}

	return s.lastReply.IsZero() && now.Sub(s.addedAt) <= firstReplyGracePeriod
}

// AnnouncePartitions sets the partitions that this daemon follows, which its heartbeats report.
func (t *Table) AnnouncePartitions(partitions []int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.self.Parts = 0
	for _, n := range partitions {
		t.self.Parts |= partitionBit(n)
	}
}

// partitionBit returns the bit of a partition in Peer.Parts.
func partitionBit(n int) uint64 { return 1 << (n % 64) } //nolint:mnd // number of bits

// HasStoppedFollowing reports whether a daemon has replied after a time and does not report that it follows a
// partition. Partitions whose numbers differ by a multiple of 64 share a bit and are not told apart.
func (t *Table) HasStoppedFollowing(vm string, partition int, since time.Time) bool {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[vm]

	return ok && s.lastReply.After(since) && s.peer.Parts&partitionBit(partition) == 0
}
