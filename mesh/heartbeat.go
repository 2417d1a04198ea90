package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/fleet"
)

// PeerClient calls net/rpc methods of other daemons.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	// heartbeatTimeout bounds the wait for the reply to a heartbeat. It is far above the network latency of a few
	// milliseconds and covers a VM that runs several times slower for a while.
	heartbeatTimeout = 400 * time.Millisecond
	// maxPeersPerMessage bounds the peers of one reply, both when it is sent and when it is received.
	maxPeersPerMessage = 1024
	// maxLeavingPerMessage bounds the leaving targets in one message. A rolling release takes a few targets at a time.
	maxLeavingPerMessage = 256
	// notifiedOwners is the number of daemons to which NotifyOwners sends a heartbeat: the slot owner of a service and the
	// daemon that would succeed it.
	notifiedOwners = 2
)

// LeavingTargets has the targets that have announced in a response that they are leaving.
type LeavingTargets interface {
	// RecentlyLeaving returns the incarnations whose announcement became known in the last seconds.
	RecentlyLeaving(now time.Time) []fleet.Incarnation
	// MarkLeaving records the announcement of an incarnation. It reports whether it is new.
	MarkLeaving(i fleet.Incarnation, now time.Time) bool
}

// Versions is told the versions of the routes that other daemons have in force.
type Versions interface {
	// Version returns the number of the version that this daemon has in force; 0 if there is none.
	Version() int64
	// HandleVersion records that the daemon of a VM, which serves other daemons at an address, has a version in force. It
	// must not block.
	HandleVersion(vm, address string, version int64)
}

// LeavingTarget is an incarnation of a target that has announced that it is leaving. It is part of heartbeats.
type LeavingTarget struct {
	Name  string `msgpack:"name"`
	Start int64  `msgpack:"start"` // start of its process, Unix milliseconds
}

// Heartbeat has the arguments of Mesh.Beat. It is a wire message.
type Heartbeat struct {
	From   Peer   `msgpack:"from"`
	Digest uint64 `msgpack:"digest"` // Table.Digest of the sender
	// HeardStart is the start of the receiver's incarnation that has replied to the sender lately; 0 if none has. The
	// sender is then reachable in both directions.
	HeardStart int64 `msgpack:"heard_start"`
	// Leaving has the targets of recent announcements that the sender knows of.
	Leaving []LeavingTarget `msgpack:"leaving"`
	// RouteVersion is the version of the routes that the sender has in force; 0 if there is none.
	RouteVersion int64 `msgpack:"route_version"`
	// Quarantined has the quarantined prompts that the sender knows of.
	Quarantined []QuarantinedPrompt `msgpack:"quarantined"`
	// Cleared has the parts of prompts that were cleared lately.
	Cleared []ClearedParts `msgpack:"cleared"`
	// Crashes has the latest crashes under prompts with suspect parts.
	Crashes []SuspectCrash `msgpack:"crashes"`
}

// HeartbeatReply is the reply of Mesh.Beat. It is a wire message.
type HeartbeatReply struct {
	From  Peer   `msgpack:"from"`
	Peers []Peer `msgpack:"peers"` // all that the replying daemon knows; empty if the digests are equal
	// Leaving has the targets of recent announcements that the replying daemon knows of.
	Leaving []LeavingTarget `msgpack:"leaving"`
	// RouteVersion is the version of the routes that the replying daemon has in force; 0 if there is none.
	RouteVersion int64 `msgpack:"route_version"`
	// Quarantined has the quarantined prompts that the replying daemon knows of.
	Quarantined []QuarantinedPrompt `msgpack:"quarantined"`
	// Cleared has the parts of prompts that were cleared lately.
	Cleared []ClearedParts `msgpack:"cleared"`
	// Crashes has the latest crashes under prompts with suspect parts.
	Crashes []SuspectCrash `msgpack:"crashes"`
}

// Mesh sends heartbeats to the other daemons and serves theirs as a net/rpc service.
type Mesh struct {
	table  *Table
	client PeerClient
	seeds  []string
	logger zerolog.Logger

	leaving    LeavingTargets // may be nil
	versions   Versions       // may be nil
	quarantine Quarantine     // may be nil

	mu        sync.Mutex
	livePeers map[string]bool // VMs of the live peers at the last call of logPeerChanges
}

// NewMesh returns a controller that keeps a table up to date. seeds are addresses of some other daemons; they get
// heartbeats while no peer is known.
func NewMesh(t *Table, c PeerClient, seeds []string, z zerolog.Logger) *Mesh {
	return &Mesh{table: t, client: c, seeds: seeds, logger: z, livePeers: map[string]bool{}}
}

// WithLeavingTargets makes heartbeats exchange the announcements of leaving targets. It returns m and must be called
// before Run.
func (m *Mesh) WithLeavingTargets(l LeavingTargets) *Mesh {
	m.leaving = l

	return m
}

// WithVersions makes heartbeats exchange the versions of the routes in force. It returns m and must be called before Run.
func (m *Mesh) WithVersions(v Versions) *Mesh {
	m.versions = v

	return m
}

// routeVersion returns the version of the routes that this daemon has in force; 0 if there is none.
func (m *Mesh) routeVersion() int64 {
	if m.versions == nil {
		return 0
	}

	return m.versions.Version()
}

func (m *Mesh) handleVersion(p Peer, version int64) {
	if m.versions != nil {
		m.versions.HandleVersion(p.VM, p.Address, version)
	}
}

// WithQuarantine makes heartbeats exchange the quarantined prompts. It returns m and must be called before Run.
func (m *Mesh) WithQuarantine(q Quarantine) *Mesh {
	m.quarantine = q

	return m
}

// NotifyPeers sends a heartbeat to every live daemon at once. It does not wait for the replies.
func (m *Mesh) NotifyPeers() {
	for _, p := range m.table.LivePeers(time.Now()) {
		go m.sendHeartbeat(context.Background(), p.VM, p.Address)
	}
}

// NotifyOwners sends a heartbeat at once to the slot owner of a service and to the daemon that would succeed it, so that
// they know of a leaving target before the next regular heartbeat. It does not wait for the replies.
func (m *Mesh) NotifyOwners(service string) {
	l := m.table.RankedPeers(service, time.Now())
	for _, p := range l[:min(notifiedOwners, len(l))] {
		go m.sendHeartbeat(context.Background(), p.VM, p.Address)
	}
}

func (m *Mesh) recentlyLeaving(now time.Time) []LeavingTarget {
	if m.leaving == nil {
		return nil
	}

	l := m.leaving.RecentlyLeaving(now)
	l = l[:min(len(l), maxLeavingPerMessage)]
	r := make([]LeavingTarget, 0, len(l))

	for _, i := range l {
		r = append(r, LeavingTarget{Name: i.Name(), Start: i.Start()})
	}

	return r
}

// markLeaving records the leaving targets in a message of the peer with the given VM.
func (m *Mesh) markLeaving(l []LeavingTarget, peer string, now time.Time) {
	if m.leaving == nil {
		return
	}

	for _, t := range l[:min(len(l), maxLeavingPerMessage)] {
		if m.leaving.MarkLeaving(fleet.NewIncarnation(t.Name, t.Start), now) {
			m.logger.Info().Str("event", "target_leaving").Str("target", t.Name).Int64("start", t.Start).Str("peer", peer).
				Msg("another daemon reports that the target has announced that it is leaving")
		}
	}
}

// Table returns the table of peers.
func (m *Mesh) Table() *Table { return m.table }

// Beat handles a heartbeat of another daemon. It adds the sender to the table, and marks it as live only if it has heard
// from this daemon.
func (m *Mesh) Beat(q Heartbeat, a *HeartbeatReply) error {
	now := time.Now()
	d := m.table.Digest()

	m.table.AddPeer(q.From, now)
	m.markLeaving(q.Leaving, q.From.VM, now)
	m.handleVersion(q.From, q.RouteVersion)
	m.importQuarantined(q.Quarantined, q.Cleared, q.Crashes, q.From.VM)

	a.From, a.Leaving, a.RouteVersion, a.Quarantined = m.table.Self(), m.recentlyLeaving(now), m.routeVersion(), m.quarantined()
	a.Cleared, a.Crashes = m.cleared(), m.suspectCrashes()

	if q.HeardStart == a.From.Start {
		m.table.MarkHeard(q.From, q.Digest == d, now)
	}

	if q.Digest != d {
		a.Peers = m.table.KnownPeers(now)
		a.Peers = a.Peers[:min(len(a.Peers), maxPeersPerMessage)]
	}

	return nil
}

// Run sends heartbeats until ctx ends. Each round also logs which peers became live or were lost. If a round starts
// much later than planned, the process was paused, and Run calls Table.ResumeAfterPause.
func (m *Mesh) Run(ctx context.Context) error {
	var wg sync.WaitGroup

	defer wg.Wait()

	last := time.Now()

	for ctx.Err() == nil {
		now := time.Now()
		l := m.table.KnownPeers(now)

		if now.Sub(last) > peerTimeoutIntervals*HeartbeatInterval(len(l)) {
			m.logger.Warn().Str("event", "paused").Dur("for", now.Sub(last)).Msg("this daemon was paused; its peers get a new grace period")
			m.table.ResumeAfterPause(now)
		}

		last = now

		for _, p := range l {
			if m.table.NeedsHeartbeat(p.VM, len(l), now) {
				wg.Go(func() { m.sendHeartbeat(ctx, p.VM, p.Address) })
			}
		}

		if len(l) == 0 {
			for _, a := range m.seeds {
				wg.Go(func() { m.sendHeartbeat(ctx, "", a) })
			}
		}

		m.logPeerChanges()

		select {
		case <-time.After(HeartbeatInterval(len(l))):
		case <-ctx.Done():
		}
	}

	return nil
}

// sendHeartbeat sends a heartbeat and applies the reply or the failure to the table. vm is empty for a seed.
func (m *Mesh) sendHeartbeat(ctx context.Context, vm, address string) {
	self := m.table.Self()
	if address == self.Address {
		return
	}

	x, stop := context.WithTimeout(ctx, heartbeatTimeout)
	defer stop()

	var a HeartbeatReply

	q := Heartbeat{
		From: self, Digest: m.table.Digest(), HeardStart: m.table.HeardStart(vm, time.Now()), Leaving: m.recentlyLeaving(time.Now()),
		RouteVersion: m.routeVersion(), Quarantined: m.quarantined(), Cleared: m.cleared(), Crashes: m.suspectCrashes(),
	}

	if err := m.client.Call(x, address, "Mesh.Beat", q, &a); err != nil {
		if vm != "" {
			m.table.MarkFailed(vm)
		}

		return
	}

	now := time.Now()
	m.table.MarkReplied(a.From, now)
	m.markLeaving(a.Leaving, a.From.VM, now)
	m.handleVersion(a.From, a.RouteVersion)
	m.importQuarantined(a.Quarantined, a.Cleared, a.Crashes, a.From.VM)

	for _, p := range a.Peers[:min(len(a.Peers), maxPeersPerMessage)] {
		m.table.AddPeer(p, now)
	}
}

// logPeerChanges logs which daemons became live or were lost since the last call.
func (m *Mesh) logPeerChanges() {
	live := map[string]bool{}
	for _, p := range m.table.LivePeers(time.Now()) {
		live[p.VM] = true
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	for vm := range live {
		if !m.livePeers[vm] {
			m.logger.Info().Str("event", "peer_live").Str("peer", vm).Int("live", len(live)).Msg("another daemon replies to heartbeats")
		}
	}

	for vm := range m.livePeers {
		if !live[vm] {
			m.logger.Info().Str("event", "peer_lost").Str("peer", vm).Int("live", len(live)).
				Msg("another daemon is leaving or does not reply to heartbeats")
		}
	}

	m.livePeers = live
}
