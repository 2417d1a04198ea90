// Package mesh decides which other daemons are live, from the replies to heartbeats, and ranks daemons for services and
// partitions. Daemons find each other through their records in the platform's log, and through the seeds of their
// settings while the log is down.
package mesh

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agategap/agategap/shard"
)

const (
	// tableShardCount is the number of shards of Table and Registry; it is higher than the number of cores of an entry VM.
	tableShardCount = 8
	// peerTimeoutIntervals is the number of heartbeat intervals without a reply after which a daemon is no longer live.
	peerTimeoutIntervals = 3
	// minHeartbeatInterval is the interval between heartbeats to a daemon while there are few daemons.
	minHeartbeatInterval = 250 * time.Millisecond
	// heartbeatIntervalPerPeer lengthens the interval with the number of daemons, so that each daemon sends at most 50
	// heartbeats a second.
	heartbeatIntervalPerPeer = 20 * time.Millisecond
	// firstReplyGracePeriod is how long a daemon counts as running before its first reply: after it was added, and after
	// this daemon started or was paused. It covers several heartbeats.
	firstReplyGracePeriod = 1500 * time.Millisecond
	// takeoverTimeout is the time without a reply after which other daemons take over the work of a daemon. Work that is
	// due within many seconds can wait for a network partition of some seconds to end; it would run twice otherwise. After a restart
	// of a daemon, its new incarnation shows at once that its work is lost.
	takeoverTimeout = 7 * time.Second
	// unresponsivePeerTTL is the time without a reply after which a daemon is removed from the table. A new record of the
	// daemon in the log adds it again.
	unresponsivePeerTTL = 2 * time.Minute
)

// Peer describes a daemon. It is part of wire messages and stored records.
type Peer struct {
	VM      string `msgpack:"vm"`
	Address string `msgpack:"address"` // IP address and port for other daemons
	Domain  string `msgpack:"domain"`  // failure domain
	Power   int    `msgpack:"power"`   // processor time of the VM, in thousandths of a core
	Start   int64  `msgpack:"start"`   // start of the process, Unix milliseconds; identifies the incarnation
	Leaving bool   `msgpack:"leaving"` // the daemon is shutting down
	Unable  bool   `msgpack:"unable"`  // the daemon knows no targets, which it needs to serve other daemons
	Parts   uint64 `msgpack:"parts"`   // bit set of the followed partitions; partition n has bit n modulo 64
}

// Table has the state of the other daemons as one daemon knows it. It is safe for concurrent use.
type Table struct {
	mu           sync.Mutex
	self         Peer
	hasTargets   func() bool
	runningSince time.Time // when this daemon started or resumed after a pause
	shards       [tableShardCount]tableShard
	rankings     rankingCache // of RankedPeers

	domainRankings rankingCache // of RankedPerDomain; invalidated by new incarnations, leaving daemons and pauses
}

type tableShard struct {
	mu     sync.Mutex
	peers  map[string]*peerState
	digest uint64 // XOR of the digests of the incarnations of peers
}

// put adds a daemon, or replaces it by another incarnation. The caller holds the lock.
func (h *tableShard) put(p Peer, now time.Time) {
	if h.peers == nil {
		h.peers = map[string]*peerState{}
	}

	h.remove(p.VM)
	h.peers[p.VM] = &peerState{peer: p, addedAt: now}
	h.digest ^= incarnationDigest(p)
}

// remove removes a daemon. The caller holds the lock.
func (h *tableShard) remove(vm string) {
	if s, ok := h.peers[vm]; ok {
		h.digest ^= incarnationDigest(s.peer)
		delete(h.peers, vm)
	}
}

// incarnationDigest returns a hash of the VM and the start of a daemon, which identify an incarnation.
func incarnationDigest(p Peer) uint64 {
	var x xxhash.Digest

	x.Reset()
	_, _ = x.WriteString(p.VM)
	_, _ = x.Write(binary.BigEndian.AppendUint64(nil, uint64(p.Start))) //nolint:gosec // only hashed

	return x.Sum64()
}

// peerState is the known state of one daemon.
type peerState struct {
	peer      Peer
	lastReply time.Time // time of the last reply; zero if there was none

	unknownStart int64     // latest start of an incarnation whose record was not read; 0 for none
	unknownSince time.Time // when IsRunning was first asked about it
	heardAt      time.Time // last heartbeat from a daemon that has heard from this one; zero if there was none
	addedAt      time.Time
	failed       bool // the last call failed
}

// New returns a table that knows only self, this daemon.
func New(self Peer) *Table {
	return &Table{self: self, hasTargets: func() bool { return true }, runningSince: time.UnixMilli(self.Start)}
}

// WithTargetCheck sets the function that reports whether this daemon knows any target, which it needs to serve other
// daemons. It returns t and must be called before the table is used.
func (t *Table) WithTargetCheck(hasTargets func() bool) *Table {
	t.hasTargets = hasTargets

	return t
}

// ResumeAfterPause records that this daemon was paused until now. As it sent no heartbeats in that time, the other
// daemons count as running for another firstReplyGracePeriod.
func (t *Table) ResumeAfterPause(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.runningSince = now
	t.domainRankings.invalidate()
}

// canDetectFailures reports whether this daemon has been running long enough for missing replies to mean a failure.
func (t *Table) canDetectFailures(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return now.Sub(t.runningSince) > firstReplyGracePeriod
}

// Self returns the description of this daemon that its heartbeats carry.
func (t *Table) Self() Peer {
	hasTargets := t.hasTargets()

	t.mu.Lock()
	defer t.mu.Unlock()

	p := t.self
	p.Unable = !hasTargets

	return p
}

// Leave makes this daemon report itself as leaving. This cannot be undone.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.self.Leaving = true
	t.rankings.invalidate()
	t.domainRankings.invalidate()
}

func (t *Table) shard(vm string) *tableShard { return &t.shards[shard.Index(vm, tableShardCount)] }

// AddPeer adds a daemon, or a newer incarnation of it, without marking it as live. It reports whether the incarnation
// is new. Older incarnations are ignored, and a leaving incarnation remains leaving.
func (t *Table) AddPeer(p Peer, now time.Time) bool {
	if p.VM == "" || p.VM == t.Self().VM {
		return false
	}

	h := t.shard(p.VM)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[p.VM]
	if ok && p.Start < s.peer.Start {
		return false
	}

	if ok && p.Start == s.peer.Start {
		if p.Leaving && !s.peer.Leaving {
			t.rankings.invalidate()
			t.domainRankings.invalidate()
		}

		s.peer.Leaving = s.peer.Leaving || p.Leaving

		return false
	}

	h.put(p, now)
	t.rankings.invalidate()
	t.domainRankings.invalidate()

	return true
}

// MarkReplied records that a daemon replied to a call, with its description of itself. It adds the daemon if needed.
func (t *Table) MarkReplied(p Peer, now time.Time) {
	t.AddPeer(p, now)

	h := t.shard(p.VM)

	h.mu.Lock()
	defer h.mu.Unlock()

	if s, ok := h.peers[p.VM]; ok && s.peer.Start == p.Start {
		if s.failed || s.lastReply.IsZero() || p.Leaving != s.peer.Leaving || p.Unable != s.peer.Unable {
			t.rankings.invalidate()
		}

		if p.Leaving && !s.peer.Leaving {
			t.domainRankings.invalidate()
		}

		s.lastReply, s.failed = now, false
		s.peer.Parts, s.peer.Unable = p.Parts, p.Unable
		s.peer.Leaving = s.peer.Leaving || p.Leaving
	}
}

// MarkHeard records a heartbeat from a daemon that has heard from this one, which shows as much as a reply from it. If
// both know the same daemons, no heartbeat has to be sent to it in the same interval.
func (t *Table) MarkHeard(p Peer, sameDigest bool, now time.Time) {
	t.MarkReplied(p, now)

	h := t.shard(p.VM)

	h.mu.Lock()
	defer h.mu.Unlock()

	if s, ok := h.peers[p.VM]; ok && s.peer.Start == p.Start && sameDigest {
		s.heardAt = now
	}
}

// heardShare is the share of the heartbeat interval for which a heartbeat of a daemon replaces one to it.
const heardShare = 0.9

// NeedsHeartbeat reports whether a heartbeat has to be sent to one of n peers: unless it has sent one that shows that
// both directions work within the interval, and no call to it has failed since.
func (t *Table) NeedsHeartbeat(vm string, n int, now time.Time) bool {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[vm]

	return !ok || s.failed || now.Sub(s.heardAt) > time.Duration(heardShare*float64(HeartbeatInterval(n)))
}

// HeardStart returns the start of the incarnation of a daemon that has replied within the last two heartbeat intervals;
// 0 if there is none.
func (t *Table) HeardStart(vm string, now time.Time) int64 {
	const intervals = 2

	n := t.peerCount()
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	if s, ok := h.peers[vm]; ok && !s.failed && now.Sub(s.lastReply) <= intervals*HeartbeatInterval(n) {
		return s.peer.Start
	}

	return 0
}

// MarkFailed records that a call to a daemon failed. The daemon is not live until it replies to a call.
func (t *Table) MarkFailed(vm string) {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	if s, ok := h.peers[vm]; ok {
		s.failed = true

		t.rankings.invalidate()
	}
}

// Remove removes a daemon until it is added again.
func (t *Table) Remove(vm string) {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.remove(vm)
	t.rankings.invalidate()
	t.domainRankings.invalidate()
}

// peerCount returns the number of other daemons.
func (t *Table) peerCount() int {
	n := 0

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		n += len(h.peers)
		h.mu.Unlock()
	}

	return n
}

// forEachPeer calls f with a copy of the state of every other daemon.
func (t *Table) forEachPeer(f func(s peerState)) {
	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		l := make([]peerState, 0, len(h.peers))
		for _, s := range h.peers {
			l = append(l, *s)
		}
		h.mu.Unlock()

		for _, s := range l { // without the lock, as f may remove peers
			f(s)
		}
	}
}

// KnownPeers returns the other daemons, live or not, sorted by VM. It removes those that have been unresponsive for
// unresponsivePeerTTL.
func (t *Table) KnownPeers(now time.Time) []Peer {
	var l []Peer

	t.forEachPeer(func(s peerState) {
		if now.Sub(s.lastReply) > unresponsivePeerTTL && now.Sub(s.addedAt) > unresponsivePeerTTL {
			t.Remove(s.peer.VM)

			return
		}

		l = append(l, s.peer)
	})

	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })

	return l
}

// LivePeers returns the other daemons that reply to calls and are not leaving, sorted by VM. A daemon is left out after
// a failed call until it replies to one, and after peerTimeoutIntervals heartbeat intervals without a reply.
func (t *Table) LivePeers(now time.Time) []Peer {
	var l []Peer

	n := t.peerCount()

	t.forEachPeer(func(s peerState) {
		if !s.failed && !s.peer.Leaving && now.Sub(s.lastReply) <= peerTimeoutIntervals*HeartbeatInterval(n) {
			l = append(l, s.peer)
		}
	})

	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })

	return l
}

// isUnknownRunning is like IsRunning, for an incarnation that is newer than the known one. Its record was not read yet, or it
// was lost before it could write one. The time is that since the first call, as the clocks of VMs differ.
func (s *peerState) isUnknownRunning(start int64, n int, canDetect bool, now time.Time) bool {
	if start > s.unknownStart || !canDetect {
		s.unknownStart, s.unknownSince = max(start, s.unknownStart), now
	}

	return start == s.unknownStart && now.Sub(s.unknownSince) <= max(takeoverTimeout, peerTimeoutIntervals*HeartbeatInterval(n))
}

// IsRunning reports whether the incarnation of a daemon with the given start is presumed to continue its work, even if
// it is leaving. A daemon that does not reply counts as running during its grace period and until takeoverTimeout.
func (t *Table) IsRunning(vm string, start int64, now time.Time) bool {
	if v := t.Self(); v.VM == vm {
		return v.Start == start
	}

	n := t.peerCount()
	canDetect := t.canDetectFailures(now)
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[vm]

	switch {
	case ok && s.peer.Start < start:
		return s.isUnknownRunning(start, n, canDetect, now)
	case ok && s.peer.Start > start:
		return false
	case ok:
		return s.isRunning(n, canDetect, now)
	default:
		return !canDetect
	}
}

// Digest returns a hash of the incarnations in the table and of this daemon. It is equal for daemons that know the same
// incarnations.
func (t *Table) Digest() uint64 {
	d := incarnationDigest(t.Self())

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		d ^= h.digest
		h.mu.Unlock()
	}

	return d
}

// HeartbeatInterval returns the interval between heartbeats to each of n peers.
func HeartbeatInterval(n int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(n)*heartbeatIntervalPerPeer)
}
