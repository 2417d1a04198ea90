package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Caller calls methods of other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	// heartbeatTimeout is the time for the answer to a heartbeat. It is far above the few milliseconds of the network, and
	// covers a VM that works several times slower for a while.
	heartbeatTimeout = 400 * time.Millisecond
	// maxPeersPerMessage bounds the daemons in one message.
	maxPeersPerMessage = 1024
)

// Heartbeat is the request of a heartbeat. It is a message.
type Heartbeat struct {
	From   Peer   `msgpack:"from"`
	Digest uint64 `msgpack:"digest"`
}

// HeartbeatReply is the answer to a heartbeat. It is a message.
type HeartbeatReply struct {
	From  Peer   `msgpack:"from"`
	Peers []Peer `msgpack:"peers"` // only when the digests differ
}

// Mesh sends heartbeats and answers those of others.
type Mesh struct {
	table  *Table
	caller Caller
	seeds  []string
	logger zerolog.Logger

	mu   sync.Mutex
	livePeers map[string]bool
}

// NewMesh returns the controller. seeds are addresses of some other daemons.
func NewMesh(t *Table, c Caller, seeds []string, z zerolog.Logger) *Mesh {
	return &Mesh{table: t, caller: c, seeds: seeds, logger: z, livePeers: map[string]bool{}}
}

// Table returns the table.
func (m *Mesh) Table() *Table { return m.table }

// Beat answers a heartbeat.
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

// Run sends heartbeats until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	var wg sync.WaitGroup

	defer wg.Wait()

	last := time.Now()

	for ctx.Err() == nil {
		now := time.Now()
		l := m.table.KnownPeers(now)

		if now.Sub(last) > peerTimeoutIntervals*HeartbeatInterval(len(l)) {
			m.logger.Warn().Str("event", "paused").Dur("for", now.Sub(last)).Msg("this daemon was paused")
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

	if err := m.caller.Call(x, address, "Mesh.Beat", Heartbeat{From: self, Digest: m.table.Digest()}, &a); err != nil {
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

// logPeerChanges logs the daemons that were lost or came back.
func (m *Mesh) logPeerChanges() {
	now := map[string]bool{}
	for _, p := range m.table.LivePeers(time.Now()) {
		now[p.VM] = true
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	for vm := range now {
		if !m.livePeers[vm] {
			m.logger.Info().Str("event", "peer_live").Str("peer", vm).Int("live", len(now)).Msg("another daemon answers")
		}
	}

	for vm := range m.livePeers {
		if !now[vm] {
			m.logger.Info().Str("event", "peer_lost").Str("peer", vm).Int("live", len(now)).Msg("another daemon is leaving or does not answer")
		}
	}

	m.livePeers = now
}
