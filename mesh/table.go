// Package mesh decides which other daemons are live, from the answers to heartbeats. Daemons find each other through
// their records in the platform's log, and through the seeds of their settings while the log is down.
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
	// tableShards is the number of shards of the table; more than the cores of an entry VM.
	tableShards = 8
	// peerTimeoutIntervals is the time without an answer after which a daemon is thought lost, in heartbeat intervals.
	peerTimeoutIntervals = 3
	// minHeartbeatInterval is the time between two heartbeats to a daemon while there are few of them.
	minHeartbeatInterval = 250 * time.Millisecond
	// heartbeatIntervalPerPeer lengthens the interval with the number of daemons, so that each sends at most 50 heartbeats a second.
	heartbeatIntervalPerPeer = 20 * time.Millisecond
	// firstReplyGracePeriod is how long a daemon that has not answered yet is not taken for lost: after its record was read, and
	// after this daemon started or was paused. It covers several heartbeats.
	firstReplyGracePeriod = 1500 * time.Millisecond
	// takeoverTimeout is the silence after which the work of a daemon is taken over by others. Work that is due within many
	// seconds can wait for a short cut to end, and would run twice otherwise. A daemon that restarts is known to have
	// lost its work at once.
	takeoverTimeout = 3500 * time.Millisecond
	// unresponsivePeerTTL is the time after which a daemon that does not answer is forgotten. Its record brings it back.
	unresponsivePeerTTL = 2 * time.Minute
)

// Peer is a daemon. It is part of messages between daemons, so that its fields are exported for the codec.
type Peer struct {
	VM      string `msgpack:"vm"`
	Address string `msgpack:"address"` // IP number and port for other daemons
	Domain  string `msgpack:"domain"`  // failure domain
	Power   int    `msgpack:"power"`   // processor time of the VM, in thousandths of a core
	Start   int64  `msgpack:"start"`   // start of the process, Unix milliseconds; tells incarnations apart
	Leaving bool   `msgpack:"leaving"` // the daemon is shutting down
	Unable  bool   `msgpack:"unable"`  // the daemon knows no targets, without which it cannot do a duty for others
	Parts   uint64 `msgpack:"parts"`   // partitions that the daemon follows, as bits; those above 63 begin again at 0
}

// Table is what one daemon knows of the others. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	self   Peer
	hasTargets   func() bool
	runningSince  time.Time // when this daemon started, or went on after a pause
	shards [tableShards]tableShard
	rankings  rankingCache
}

type tableShard struct {
	mu     sync.Mutex
	peers  map[string]*peerState
	digest uint64 // of the incarnations of peers
}

// put adds a daemon or another incarnation of it. The caller holds the lock.
func (h *tableShard) put(p Peer, now time.Time) {
	if h.peers == nil {
		h.peers = map[string]*peerState{}
	}

	h.remove(p.VM)
	h.peers[p.VM] = &peerState{peer: p, addedAt: now}
	h.digest ^= incarnationDigest(p)
}

// remove forgets a daemon. The caller holds the lock.
func (h *tableShard) remove(vm string) {
	if s, ok := h.peers[vm]; ok {
		h.digest ^= incarnationDigest(s.peer)
		delete(h.peers, vm)
	}
}

// incarnationDigest returns a number that differs between incarnations of daemons.
func incarnationDigest(p Peer) uint64 {
	var x xxhash.Digest

	x.Reset()
	_, _ = x.WriteString(p.VM)
	_, _ = x.Write(binary.BigEndian.AppendUint64(nil, uint64(p.Start))) //nolint:gosec // any number

	return x.Sum64()
}

// peerState is what is known of one daemon.
type peerState struct {
	peer   Peer
	lastReply  time.Time // last answer
	addedAt  time.Time
	failed bool // the last call failed, and none succeeded since
}

// New returns the table of a daemon that knows only itself.
func New(self Peer) *Table {
	return &Table{self: self, hasTargets: func() bool { return true }, runningSince: time.UnixMilli(self.Start)}
}

// WithTargetCheck has f say whether this daemon can do duties for others. It is to be called before the table is used.
func (t *Table) WithTargetCheck(f func() bool) *Table {
	t.hasTargets = f

	return t
}

// ResumeAfterPause records that this daemon was paused until now, so that the silence of others says nothing.
func (t *Table) ResumeAfterPause(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.runningSince = now
}

// canDetectFailures reports whether the silence of others says something.
func (t *Table) canDetectFailures(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return now.Sub(t.runningSince) > firstReplyGracePeriod
}

// Self returns this daemon.
func (t *Table) Self() Peer {
	able := t.hasTargets()

	t.mu.Lock()
	defer t.mu.Unlock()

	p := t.self
	p.Unable = !able

	return p
}

// Leave makes this daemon report itself as leaving.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.self.Leaving = true
	t.rankings.invalidate()
}

func (t *Table) shard(vm string) *tableShard { return &t.shards[shard.Index(vm, tableShards)] }

// AddPeer records that a daemon exists, without a sign that it is live. It reports whether it was unknown.
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
		}

		s.peer.Leaving = s.peer.Leaving || p.Leaving

		return false
	}

	h.put(p, now)
	t.rankings.invalidate()

	return true
}

// MarkReplied records that a daemon answered a call.
func (t *Table) MarkReplied(p Peer, now time.Time) {
	t.AddPeer(p, now)

	h := t.shard(p.VM)

	h.mu.Lock()
	defer h.mu.Unlock()

	if s, ok := h.peers[p.VM]; ok && s.peer.Start == p.Start {
		if s.failed || s.lastReply.IsZero() || p.Leaving != s.peer.Leaving || p.Unable != s.peer.Unable {
			t.rankings.invalidate()
		}

		s.lastReply, s.failed = now, false
		s.peer.Parts, s.peer.Unable = p.Parts, p.Unable
		s.peer.Leaving = s.peer.Leaving || p.Leaving
	}
}

// MarkFailed records that a daemon did not answer a call. It counts as lost until it answers one.
func (t *Table) MarkFailed(vm string) {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	if s, ok := h.peers[vm]; ok {
		s.failed = true

		t.rankings.invalidate()
	}
}

// Remove forgets a daemon that ended.
func (t *Table) Remove(vm string) {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.remove(vm)
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

func (t *Table) forEachPeer(f func(s peerState)) {
	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		l := make([]peerState, 0, len(h.peers))
		for _, s := range h.peers {
			l = append(l, *s)
		}
		h.mu.Unlock()

		for _, s := range l {
			f(s)
		}
	}
}

// KnownPeers returns the other daemons, live or not, in order of name. Those that have not answered for long are forgotten.
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

// LivePeers returns the other daemons that answer and are not leaving, in order of name.
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

// IsRunning reports whether the process of a VM that started at a time is thought to go on with its work, leaving or not.
// This daemon is. A daemon that may not have had the time to answer is, and so is one that is silent for a short time.
func (t *Table) IsRunning(vm string, start int64, now time.Time) bool {
	if v := t.Self(); v.VM == vm {
		return v.Start == start
	}

	n := t.peerCount()
	settled := t.canDetectFailures(now)
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[vm]

	switch {
	case ok && s.peer.Start != start:
		return s.peer.Start < start // its record is not read yet
	case ok:
		return s.isRunning(n, settled, now)
	default:
		return !settled
	}
}

// Digest returns a number that differs between tables that know different daemons.
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

// HeartbeatInterval returns the time between two heartbeats to a daemon among n others.
func HeartbeatInterval(n int) time.Duration { return max(minHeartbeatInterval, time.Duration(n)*heartbeatIntervalPerPeer) }
