// Package bootstrap gives a starting daemon the routes and the target registrations of other daemons, because it may
// not be able to read them from the log. Every routed daemon serves these requests and makes them at its start.
package bootstrap

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/mesh"
)

const (
	// requestInterval is the interval between two requests to other daemons.
	requestInterval = 300 * time.Millisecond
	// requestTimeout bounds one request.
	requestTimeout = 300 * time.Millisecond
	// minBootstrapTime is the time after its start for which a daemon keeps requesting, even if it has read the log.
	// Other daemons keep registrations that expired during an outage of the log for about this time.
	minBootstrapTime = 3 * time.Second
)

// PeerClient calls net/rpc methods of other daemons.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Peers lists the live daemons.
type Peers interface {
	LivePeers(now time.Time) []mesh.Peer
}

// Routes holds the version of the routes in force.
type Routes interface {
	// Version returns the number of the version in force; 0 if there is none.
	Version() int64
	// Encoded returns the version in force as it was read; nil if there is none.
	Encoded() []byte
	// Adopt puts an encoded version of another daemon in force if it is newer.
	Adopt(b []byte) error
}

// Targets is the registry of targets.
type Targets interface {
	// IsInitialized reports whether the registrations were read from the log or imported at least once.
	IsInitialized() bool
	// Export returns the registrations of all targets that are usable or leaving.
	Export(now time.Time) []fleet.Registration
	// Import takes over those registrations of another daemon that are newer than the local ones.
	Import(l []fleet.Registration, now time.Time)
}

// Bootstrap requests the state of other daemons when this daemon starts, and serves such requests. It is safe for
// concurrent use.
type Bootstrap struct {
	peers   Peers
	client  PeerClient
	routes  Routes
	targets Targets
	logger  zerolog.Logger
}

// New returns a controller. Run makes its requests.
func New(p Peers, c PeerClient, r Routes, t Targets, z zerolog.Logger) *Bootstrap {
	return &Bootstrap{peers: p, client: c, routes: r, targets: t, logger: z}
}

// StateArgs are the arguments of the net/rpc method State.
type StateArgs struct {
	Version int64 `msgpack:"version"` // version of the routes that the sender has
}

// StateReply is the reply of the net/rpc method State.
type StateReply struct {
	Routes  []byte          `msgpack:"routes"` // encoded routes; only if they are newer than those of the sender
	Known   bool            `msgpack:"known"`  // whether the replying daemon knows the target registrations
	Targets []TargetMessage `msgpack:"targets"`
}

// TargetMessage is a target registration in a StateReply. Its fields are exported for the codec.
type TargetMessage struct {
	Name    string `msgpack:"name"`
	Address string `msgpack:"address"`
	Domain  string `msgpack:"domain"`
	Service string `msgpack:"service"`
	Slots   int    `msgpack:"slots"`
	Start   int64  `msgpack:"start"`
	Leaving bool   `msgpack:"leaving"`
	Offset  int64  `msgpack:"offset"`
	Lapsed  bool   `msgpack:"lapsed"` // the log no longer has the registration, but its removal is delayed
	// Announced means that the target has announced in a response that it is leaving.
	Announced bool `msgpack:"announced"`
}

func newTargetMessage(e fleet.Registration) TargetMessage {
	t := e.Target()

	return TargetMessage{
		Name: t.Name(), Address: t.Address(), Domain: t.Domain(), Service: t.Service(), Slots: t.Slots(), Start: t.Start(),
		Leaving: t.Leaving(), Offset: e.Offset(), Lapsed: e.IsRemovalPending(), Announced: e.HasAnnouncedLeaving(),
	}
}

func (m TargetMessage) registration() fleet.Registration {
	t := fleet.NewTarget(m.Name, m.Address, m.Domain, m.Service, m.Slots).WithStart(m.Start)
	if m.Leaving {
		t = t.AsLeaving()
	}

	e := fleet.NewRegistration(t, m.Offset, m.Lapsed)
	if m.Announced {
		e = e.WithAnnouncedLeaving()
	}

	return e
}

// State returns the target registrations to a starting daemon, and the routes if they are newer than those that it has.
// It is a net/rpc method.
func (b *Bootstrap) State(q StateArgs, a *StateReply) error {
	if b.routes.Version() > q.Version {
		a.Routes = b.routes.Encoded()
	}

	a.Known = b.targets.IsInitialized()

	for _, e := range b.targets.Export(time.Now()) {
		a.Targets = append(a.Targets, newTargetMessage(e))
	}

	return nil
}

// Run requests the state of the live daemons in turn until this daemon knows the routes and the targets and has run for
// minBootstrapTime. It returns when ctx ends.
func (b *Bootstrap) Run(ctx context.Context) error {
	start := time.Now()

	for n := 0; time.Since(start) < minBootstrapTime || b.routes.Version() == 0 || !b.targets.IsInitialized(); n++ {
		if l := b.peers.LivePeers(time.Now()); len(l) > 0 {
			b.requestState(ctx, l[n%len(l)])
		}

		select {
		case <-time.After(requestInterval):
		case <-ctx.Done():
			return nil
		}
	}

	<-ctx.Done()

	return nil
}

func (b *Bootstrap) requestState(ctx context.Context, p mesh.Peer) {
	x, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()

	var a StateReply

	before := b.routes.Version()
	if b.client.Call(x, p.Address, "Bootstrap.State", StateArgs{Version: before}, &a) != nil {
		return // Run tries the next daemon; the mesh detects the failure of this one
	}

	if len(a.Routes) > 0 {
		err := b.routes.Adopt(a.Routes)
		b.logger.Info().Str("event", "routes_taken").Str("peer", p.VM).Int64("before", before).Int64("version", b.routes.Version()).Err(err).
			Msg("received routes from another daemon")
	}

	if !a.Known {
		return
	}

	known := b.targets.IsInitialized()

	l := make([]fleet.Registration, len(a.Targets))
	for i, m := range a.Targets {
		l[i] = m.registration()
	}

	b.targets.Import(l, time.Now())

	if !known {
		b.logger.Info().Str("event", "targets_taken").Str("peer", p.VM).Int("count", len(l)).Msg("received target registrations from another daemon")
	}
}
