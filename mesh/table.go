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
	// silentAfter is the time without an answer after which a daemon is thought lost, in heartbeat intervals.
	silentAfter = 3
	// leastInterval is the time between two heartbeats to a daemon while there are few of them.
	leastInterval = 250 * time.Millisecond
	// perPeer lengthens the interval with the number of daemons, so that each sends at most 50 heartbeats a second.
	perPeer = 20 * time.Millisecond
	// settleAfter is how long a daemon that has not answered yet is not taken for lost: after its record was read, and
	// after this daemon started or was paused. It covers several heartbeats.
	settleAfter = 1500 * time.Millisecond
	// goneAfter is the silence after which the work of a daemon is taken over by others. Work that is due within many
	// seconds can wait for a short cut to end, and would run twice otherwise. A daemon that restarts is known to have
	// lost its work at once.
	goneAfter = 3500 * time.Millisecond
	// forgetAfter is the time after which a daemon that does not answer is forgotten. Its record brings it back.
	forgetAfter = 2 * time.Minute
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
	able   func() bool
	since  time.Time // when this daemon started, or went on after a pause
	shards [tableShards]tableShard
	ranks  ranks
}

type tableShard struct {
	mu     sync.Mutex
	peers  map[string]*state
	digest uint64 // of the incarnations of peers
}

// put adds a daemon or another incarnation of it. The caller holds the lock.
func (h *tableShard) put(p Peer, now time.Time) {
	if h.peers == nil {
		h.peers = map[string]*state{}
	}

	h.remove(p.VM)
	h.peers[p.VM] = &state{peer: p, added: now}
	h.digest ^= digest(p)
}

// remove forgets a daemon. The caller holds the lock.
func (h *tableShard) remove(vm string) {
	if s, ok := h.peers[vm]; ok {
		h.digest ^= digest(s.peer)
		delete(h.peers, vm)
	}
}

// digest returns a number that differs between incarnations of daemons.
func digest(p Peer) uint64 {
	var x xxhash.Digest

	x.Reset()
	_, _ = x.WriteString(p.VM)
	_, _ = x.Write(binary.BigEndian.AppendUint64(nil, uint64(p.Start))) //nolint:gosec // any number

	return x.Sum64()
}

// state is what is known of one daemon.
type state struct {
	peer   Peer
	heard  time.Time // last answer
	added  time.Time
	failed bool // the last call failed, and none succeeded since
}

// New returns the table of a daemon that knows only itself.
func New(self Peer) *Table {
	return &Table{self: self, able: func() bool { return true }, since: time.UnixMilli(self.Start)}
}

// WithAble has f say whether this daemon can do duties for others. It is to be called before the table is used.
func (t *Table) WithAble(f func() bool) *Table {
	t.able = f

	return t
}

// Paused records that this daemon was paused until now, so that the silence of others says nothing.
func (t *Table) Paused(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.since = now
}

// settled reports whether the silence of others says something.
func (t *Table) settled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return now.Sub(t.since) > settleAfter
}

// Self returns this daemon.
func (t *Table) Self() Peer {
	able := t.able()

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
	t.ranks.clear()
}

func (t *Table) shard(vm string) *tableShard { return &t.shards[shard.Index(vm, tableShards)] }

// Learn records that a daemon exists, without a sign that it is live. It reports whether it was unknown.
func (t *Table) Learn(p Peer, now time.Time) bool {
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
			t.ranks.clear()
		}

		s.peer.Leaving = s.peer.Leaving || p.Leaving

		return false
	}

	h.put(p, now)
	t.ranks.clear()

	return true
}

// Heard records that a daemon answered a call.
func (t *Table) Heard(p Peer, now time.Time) {
	t.Learn(p, now)

	h := t.shard(p.VM)

	h.mu.Lock()
	defer h.mu.Unlock()

	if s, ok := h.peers[p.VM]; ok && s.peer.Start == p.Start {
		if s.failed || s.heard.IsZero() || p.Leaving != s.peer.Leaving || p.Unable != s.peer.Unable {
			t.ranks.clear()
		}

		s.heard, s.failed = now, false
		s.peer.Parts, s.peer.Unable = p.Parts, p.Unable
		s.peer.Leaving = s.peer.Leaving || p.Leaving
	}
}

// Failed records that a daemon did not answer a call. It counts as lost until it answers one.
func (t *Table) Failed(vm string) {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	if s, ok := h.peers[vm]; ok {
		s.failed = true

		t.ranks.clear()
	}
}

// Remove forgets a daemon that ended.
func (t *Table) Remove(vm string) {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.remove(vm)
}

// count returns the number of other daemons.
func (t *Table) count() int {
	n := 0

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		n += len(h.peers)
		h.mu.Unlock()
	}

	return n
}

func (t *Table) each(f func(s state)) {
	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		l := make([]state, 0, len(h.peers))
		for _, s := range h.peers {
			l = append(l, *s)
		}
		h.mu.Unlock()

		for _, s := range l {
			f(s)
		}
	}
}

// Known returns the other daemons, live or not, in order of name. Those that have not answered for long are forgotten.
func (t *Table) Known(now time.Time) []Peer {
	var l []Peer

	t.each(func(s state) {
		if now.Sub(s.heard) > forgetAfter && now.Sub(s.added) > forgetAfter {
			t.Remove(s.peer.VM)

			return
		}

		l = append(l, s.peer)
	})

	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })

	return l
}

// Live returns the other daemons that answer and are not leaving, in order of name.
func (t *Table) Live(now time.Time) []Peer {
	var l []Peer

	n := t.count()

	t.each(func(s state) {
		if !s.failed && !s.peer.Leaving && now.Sub(s.heard) <= silentAfter*Interval(n) {
			l = append(l, s.peer)
		}
	})

	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })

	return l
}

// Alive reports whether the process of a VM that started at a time is thought to go on with its work, leaving or not.
// This daemon is. A daemon that may not have had the time to answer is, and so is one that is silent for a short time.
func (t *Table) Alive(vm string, start int64, now time.Time) bool {
	if v := t.Self(); v.VM == vm {
		return v.Start == start
	}

	n := t.count()
	settled := t.settled(now)
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.peers[vm]

	switch {
	case ok && s.peer.Start != start:
		return s.peer.Start < start // its record is not read yet
	case ok:
		return s.lasting(n, settled, now)
	default:
		return !settled
	}
}

// Digest returns a number that differs between tables that know different daemons.
func (t *Table) Digest() uint64 {
	d := digest(t.Self())

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		d ^= h.digest
		h.mu.Unlock()
	}

	return d
}

// Interval returns the time between two heartbeats to a daemon among n others.
func Interval(n int) time.Duration { return max(leastInterval, time.Duration(n)*perPeer) }
