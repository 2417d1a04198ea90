package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// PeerClient calls methods of other daemons.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	// heartbeatTimeout bounds the wait for the reply to a heartbeat. It is far above the network latency of a few
	// milliseconds and covers a VM that runs several times slower for a while.
	heartbeatTimeout = 400 * time.Millisecond
	// maxPeersPerMessage bounds the peers in one reply.
	maxPeersPerMessage = 1024
)

// Heartbeat has the arguments of Mesh.Beat. It is a wire message.
type Heartbeat struct {
	From   Peer   `msgpack:"from"`
	Digest uint64 `msgpack:"digest"`
}

// HeartbeatReply is the reply of Mesh.Beat. It is a wire message.
type HeartbeatReply struct {
	From  Peer   `msgpack:"from"`
	Peers []Peer `msgpack:"peers"` // all that the replying daemon knows; empty if the digests are equal
}

// Mesh sends heartbeats to the other daemons and serves theirs as a net/rpc service.
type Mesh struct {
	table  *Table
	client PeerClient
	seeds  []string
	logger zerolog.Logger

	mu        sync.Mutex
	livePeers map[string]bool
}

// NewMesh returns a controller for a table. seeds are addresses of some other daemons; they get heartbeats while no
// peer is known.
func NewMesh(t *Table, c PeerClient, seeds []string, z zerolog.Logger) *Mesh {
	return &Mesh{table: t, client: c, seeds: seeds, logger: z, livePeers: map[string]bool{}}
}

// Table returns the table of peers.
func (m *Mesh) Table() *Table { return m.table }

// Beat handles a heartbeat of another daemon. It adds the sender to the table, but does not mark it as live.
func (m *Mesh) Beat(q Heartbeat, a *HeartbeatReply) error {
	now := time.Now()
	d := m.table.Digest()

	m.table.AddPeer(q.From, now)
	a.From = m.table.Self()

	if q.Digest != d {
		a.Peers = m.table.KnownPeers(now)
		a.Peers = a.Peers[:min(len(a.Peers), maxPeersPerMessage)]
	}

	return nil
}

// Run sends heartbeats until ctx ends. Each round also logs which peers became live or were lost.
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
			wg.Go(func() { m.sendHeartbeat(ctx, p.VM, p.Address) })
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

func (m *Mesh) sendHeartbeat(ctx context.Context, vm, address string) {
	self := m.table.Self()
	if address == self.Address {
		return
	}

	x, stop := context.WithTimeout(ctx, heartbeatTimeout)
	defer stop()

	var a HeartbeatReply

	if err := m.client.Call(x, address, "Mesh.Beat", Heartbeat{From: self, Digest: m.table.Digest()}, &a); err != nil {
		if vm != "" {
			m.table.MarkFailed(vm)
		}

		return
	}

	now := time.Now()
	m.table.MarkReplied(a.From, now)

	for _, p := range a.Peers[:min(len(a.Peers), maxPeersPerMessage)] {
		m.table.AddPeer(p, now)
	}
}

// logPeerChanges logs the daemons that became live or were lost since the last call.
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
