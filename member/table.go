// Package member decides which daemons of a failure domain are live, from heartbeats, the platform's list and
// settings. It takes the time and a random source as arguments and does no input or output.
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

// tableShards is the number of shards of the peer table.
const tableShards = 8

// Peer is a daemon as the table knows it.
type Peer struct {
	vm, address, domain, region string
	incarnation                 uint64
	state                       State
}

// VM returns the name of the VM.
func (p Peer) VM() string { return p.vm }

// Address returns the IP number and port for other daemons.
func (p Peer) Address() string { return p.address }

// Domain returns the failure domain.
func (p Peer) Domain() string { return p.domain }

// Region returns the region.
func (p Peer) Region() string { return p.region }

// Incarnation returns the incarnation; 0 when only the platform's list is known.
func (p Peer) Incarnation() uint64 { return p.incarnation }

// State returns Live or Suspect for a daemon of the view.
func (p Peer) State() State { return p.state }

// Table is the peer table of one daemon. It is safe for concurrent use.
type Table struct {
	settings Settings
	bounds   Bounds
	version  atomic.Uint64
	config   atomic.Int64
	counts   counts

	own      own
	shards   [tableShards]tableShard
	queue    queue
	probes   probes
	departed departed
	remote   remote
	list     list
}

// own is what the daemon says of itself.
type own struct {
	mu     sync.Mutex
	change Change
}

type tableShard struct {
	mu    sync.Mutex
	peers map[string]*entry
}

// entry is what is known of one daemon of the failure domain.
type entry struct {
	change Change
	since  time.Time // when the state was learnt here
	joined time.Time // when the incarnation was learnt here
	left   uint64    // highest incarnation that left
	listed bool      // the platform's list shows the VM as leaving
}

// New returns the table of a daemon that knows only itself.
func New(s Settings) *Table {
	t := &Table{settings: s, bounds: s.Bounds.withDefaults()}
	t.own.change = Change{VM: s.VM, Address: s.Address, Incarnation: s.Incarnation, State: Live}
	t.probes.sync = true

	for i := range t.shards {
		t.shards[i].peers = map[string]*entry{}
	}

	return t
}

// Version returns a number that grows with every change of the view.
func (t *Table) Version() uint64 { return t.version.Load() }

// SetConfig sets the configuration version that heartbeats carry.
func (t *Table) SetConfig(v int64) { t.config.Store(v) }

// Own returns what the daemon says of itself.
func (t *Table) Own() Change {
	t.own.mu.Lock()
	defer t.own.mu.Unlock()

	return t.own.change
}

// Leave makes the daemon report itself as leaving. It cannot be taken back.
func (t *Table) Leave() {
	t.own.mu.Lock()
	t.own.change.State = Leaving
	c := t.own.change
	t.own.mu.Unlock()

	t.queue.add(c, t.size())
	t.version.Add(1)
}

// View returns the daemons thought live, in all failure domains, this one included unless it is leaving,
// ordered by VM.
func (t *Table) View() []Peer {
	l := t.remote.view(t)

	for _, c := range append(t.known(inView), t.Own()) {
		if inView(c) {
			l = append(l, Peer{
				vm: c.VM, address: c.Address, domain: t.settings.Domain, region: t.settings.Region,
				incarnation: c.Incarnation, state: c.State,
			})
		}
	}

	if t.probes.starting() {
		l = append(l, t.unheard()...)
	}

	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.vm, b.vm) })

	return l
}

// unheard returns the listed daemons of the failure domain of which nothing was heard. They are in the view of a
// daemon that has just started, which would otherwise take over what belongs to others.
func (t *Table) unheard() []Peer {
	var l []Peer

	for _, v := range t.list.daemons(t.settings.Domain) {
		if e, ok := t.get(v.VM); v.VM != t.settings.VM && !v.Leaving && (!ok || e.change.Incarnation == 0) {
			l = append(l, Peer{vm: v.VM, address: v.Address, domain: v.Domain, region: v.Region, state: Live})
		}
	}

	return l
}

func inView(c Change) bool { return c.State == Live || c.State == Suspect }

func (t *Table) shard(vm string) *tableShard { return &t.shards[shard.Index(vm, tableShards)] }

// get returns what is known of a daemon.
func (t *Table) get(vm string) (entry, bool) {
	h := t.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	if e := h.peers[vm]; e != nil {
		return *e, true
	}

	return entry{}, false
}

// known returns the changes that f accepts of all other daemons, ordered by VM.
func (t *Table) known(f func(c Change) bool) []Change {
	var l []Change

	t.each(func(c Change) {
		if f(c) {
			l = append(l, c)
		}
	})

	slices.SortFunc(l, func(a, b Change) int { return cmp.Compare(a.VM, b.VM) })

	return l
}

// size returns the number of daemons of the failure domain in the view, with this one.
func (t *Table) size() int {
	n := 1

	t.each(func(c Change) {
		if inView(c) {
			n++
		}
	})

	return n
}

// each calls f with what is known of every other daemon, under the lock of its shard.
func (t *Table) each(f func(c Change)) {
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

// digest is equal at two daemons that think the same incarnations live. Suspicions are left out, as they pass.
func (t *Table) digest() uint64 {
	var d uint64

	add := func(c Change) {
		if inView(c) {
			d ^= hash(c.VM, c.Address, c.Incarnation)
		}
	}

	add(t.Own())
	t.each(add)

	return d
}

func hash(a, b string, n uint64) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)

	return d.Sum64() ^ n*0x9e3779b97f4a7c15 // spreads the number over all bits
}
