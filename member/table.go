// Package member implements the gossip membership of the daemons of a failure domain: it decides which daemons are
// live, from heartbeats, the platform's list of VMs and the settings. Package controller sends its requests. Package
// member takes the time and a random source as arguments and does no input or output.
package member

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agategap/agategap/shard"
)

// tableShardCount is the number of shards of the peer table.
const tableShardCount = 8

// Peer describes a daemon as the table knows it.
type Peer struct {
	vm, address, domain, region string
	incarnation                 uint64
	state                       State
}

// VM returns the name of the VM.
func (p Peer) VM() string { return p.vm }

// Address returns the IP address and port at which the daemon serves other daemons.
func (p Peer) Address() string { return p.address }

// Domain returns the failure domain.
func (p Peer) Domain() string { return p.domain }

// Region returns the region.
func (p Peer) Region() string { return p.region }

// Incarnation returns the incarnation; 0 if the daemon is known only from the platform's list.
func (p Peer) Incarnation() uint64 { return p.incarnation }

// State returns the state, which is Live or Suspect for a daemon of the view.
func (p Peer) State() State { return p.state }

// Table is the peer table of one daemon. It is safe for concurrent use.
type Table struct {
	settings Settings
	bounds   Bounds
	version  atomic.Uint64
	config   atomic.Int64
	counts   counts

	self           selfState
	shards         [tableShardCount]tableShard
	queue          changeQueue
	probes         probeSchedule
	leavingTargets leavingTargets
	remoteDomains  remoteDomains
	list           vmList
}

// selfState is the state that this daemon reports about itself.
type selfState struct {
	mu     sync.Mutex
	change Change
}

type tableShard struct {
	mu    sync.Mutex
	peers map[string]*peerEntry // by VM; without this daemon
}

// peerEntry is the known state of one daemon of the failure domain.
type peerEntry struct {
	change             Change
	stateSince         time.Time // when this daemon learned the state
	incarnationSince   time.Time // when this daemon learned the incarnation
	maxLeftIncarnation uint64    // highest incarnation that left
	listedLeaving      bool      // the platform's list shows the VM as leaving
}

// New returns a table that knows only the daemon of the settings.
func New(s Settings) *Table {
	t := &Table{settings: s, bounds: s.Bounds.withDefaults()}
	t.self.change = Change{VM: s.VM, Address: s.Address, Incarnation: s.Incarnation, State: Live}
	t.probes.syncRequested = true

	for i := range t.shards {
		t.shards[i].peers = map[string]*peerEntry{}
	}

	return t
}

// Version returns a number that increases with every change of the view, of the list of VMs and of the leaving targets.
func (t *Table) Version() uint64 { return t.version.Load() }

// SetConfig sets the configuration version that heartbeats carry.
func (t *Table) SetConfig(v int64) { t.config.Store(v) }

// Self returns the state that this daemon reports about itself.
func (t *Table) Self() Change {
	t.self.mu.Lock()
	defer t.self.mu.Unlock()

	return t.self.change
}

// Leave makes this daemon report itself as leaving. This cannot be undone.
func (t *Table) Leave() {
	t.self.mu.Lock()
	t.self.change.State = Leaving
	c := t.self.change
	t.self.mu.Unlock()

	t.queue.addChange(c, t.viewSize())
	t.version.Add(1)
}

// View returns the daemons in the states Live and Suspect, in all failure domains, sorted by VM. It includes this
// daemon unless it is leaving and, during the startup grace period, the listed daemons that are not confirmed yet.
func (t *Table) View() []Peer {
	l := t.remoteDomains.peers(t)

	for _, c := range append(t.changes(inView), t.Self()) {
		if inView(c) {
			l = append(l, Peer{
				vm: c.VM, address: c.Address, domain: t.settings.Domain, region: t.settings.Region,
				incarnation: c.Incarnation, state: c.State,
			})
		}
	}

	if t.probes.isStarting() {
		l = append(l, t.unconfirmedPeers()...)
	}

	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.vm, b.vm) })

	return l
}

// unconfirmedPeers returns the daemons of the failure domain that are on the platform's list, but whose incarnation is
// not known from any message. They are in the view of a daemon that has just started, which would otherwise take over
// their work.
func (t *Table) unconfirmedPeers() []Peer {
	var l []Peer

	for _, v := range t.list.localDaemons(t.settings.Domain) {
		if e, ok := t.lookup(v.VM); v.VM != t.settings.VM && !v.Leaving && (!ok || e.change.Incarnation == 0) {
			l = append(l, Peer{vm: v.VM, address: v.Address, domain: v.Domain, region: v.Region, state: Live})
		}
	}

	return l
}

func inView(c Change) bool { return c.State == Live || c.State == Suspect }

func (t *Table) shard(vm string) *tableShard { return &t.shards[shard.Index(vm, tableShardCount)] }

// lookup returns a copy of the entry of a daemon.
func (t *Table) lookup(vm string) (peerEntry, bool) {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	if e := h.peers[vm]; e != nil {
		return *e, true
	}

	return peerEntry{}, false
}

// changes returns the states of the other daemons that accept selects, sorted by VM.
func (t *Table) changes(accept func(c Change) bool) []Change {
	var l []Change

	t.forEachChange(func(c Change) {
		if accept(c) {
			l = append(l, c)
		}
	})

	slices.SortFunc(l, func(a, b Change) int { return cmp.Compare(a.VM, b.VM) })

	return l
}

// viewSize returns the number of daemons of this failure domain in the view, including this one.
func (t *Table) viewSize() int {
	n := 1

	t.forEachChange(func(c Change) {
		if inView(c) {
			n++
		}
	})

	return n
}

// forEachChange calls f with the state of every other daemon, while holding the lock of its shard.
func (t *Table) forEachChange(f func(c Change)) {
	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for _, e := range h.peers {
			if e.change.Incarnation != 0 {
				f(e.change)
			}
		}
		h.mu.Unlock()
	}
}

// digest returns a hash of the incarnations of this failure domain in the view. It is equal for daemons with the same
// view. It does not distinguish Suspect from Live, as suspicions are short-lived.
func (t *Table) digest() uint64 {
	var d uint64

	add := func(c Change) {
		if inView(c) {
			d ^= hash(c.VM, c.Address, c.Incarnation)
		}
	}

	add(t.Self())
	t.forEachChange(add)

	return d
}

// hash hashes two strings and a number. Hashes are combined by XOR, so that their order does not matter.
func hash(a, b string, n uint64) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)

	return d.Sum64() ^ n*0x9e3779b97f4a7c15 // the multiplication spreads n over all bits
}
