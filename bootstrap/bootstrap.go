// Package bootstrap lets a daemon that has just started take the routes and the entries of targets from other daemons,
// as it may not be able to read them from the log.
package bootstrap

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/mesh"
)

const (
	// requestInterval is the time between two questions to other daemons.
	requestInterval = 300 * time.Millisecond
	// requestTimeout bounds a question.
	requestTimeout = 300 * time.Millisecond
	// minBootstrapTime is how long a daemon asks after its start, also when it has read the log. Entries that lapsed while the log
	// was away are held by other daemons for about this time.
	minBootstrapTime = 3 * time.Second
)

// Caller calls methods of other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Peers knows the live daemons.
type Peers interface {
	LivePeers(now time.Time) []mesh.Peer
}

// Routes has the version of the routes in force.
type Routes interface {
	Version() int64
	// Encoded returns the version in force as it was read; nil when there is none.
	Encoded() []byte
	// Adopt puts a version in force that another daemon has, if it is newer.
	Adopt(b []byte) error
}

// Targets has the entries of targets.
type Targets interface {
	IsInitialized() bool
	Export(now time.Time) []fleet.Registration
	Import(l []fleet.Registration, now time.Time)
}

// Bootstrap answers daemons that start, and asks others when this one does.
type Bootstrap struct {
	peers   Peers
	caller  Caller
	routes  Routes
	targets Targets
	logger  zerolog.Logger
}

// New returns the controller.
func New(p Peers, c Caller, r Routes, t Targets, z zerolog.Logger) *Bootstrap {
	return &Bootstrap{peers: p, caller: c, routes: r, targets: t, logger: z}
}

// StateArgs asks for what a daemon knows. It is a message.
type StateArgs struct {
	Version int64 `msgpack:"version"` // version of the routes that the sender has
}

// StateReply has what a daemon knows. It is a message.
type StateReply struct {
	Routes  []byte          `msgpack:"routes"` // when they are newer
	Known   bool            `msgpack:"known"`  // whether the entries of targets are known
	Targets []TargetMessage `msgpack:"targets"`
}

// TargetMessage is the entry of a target. A codec fills the fields.
type TargetMessage struct {
	Name    string `msgpack:"name"`
	Address string `msgpack:"address"`
	Domain  string `msgpack:"domain"`
	Service string `msgpack:"service"`
	Slots   int    `msgpack:"slots"`
	Start   int64  `msgpack:"start"`
	Leaving bool   `msgpack:"leaving"`
	Offset  int64  `msgpack:"offset"`
	Lapsed  bool   `msgpack:"lapsed"`
}

func newTargetMessage(e fleet.Registration) TargetMessage {
	t := e.Target()

	return TargetMessage{
		Name: t.Name(), Address: t.Address(), Domain: t.Domain(), Service: t.Service(), Slots: t.Slots(), Start: t.Start(),
		Leaving: t.Leaving(), Offset: e.Offset(), Lapsed: e.IsRemovalPending(),
	}
}

func (m TargetMessage) registration() fleet.Registration {
	t := fleet.NewTarget(m.Name, m.Address, m.Domain, m.Service, m.Slots).WithStart(m.Start)
	if m.Leaving {
		t = t.AsLeaving()
	}

	return fleet.NewRegistration(t, m.Offset, m.Lapsed)
}

// State answers a daemon that has started.
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

// Run asks other daemons in turn until this one knows the routes and the targets and has run for a while, or ctx ends.
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
	if b.caller.Call(x, p.Address, "Bootstrap.State", StateArgs{Version: before}, &a) != nil {
		return // the mesh notices that it does not answer; the next one is asked
	}

	if len(a.Routes) > 0 {
		err := b.routes.Adopt(a.Routes)
		b.logger.Info().Str("event", "routes_taken").Str("peer", p.VM).Int64("before", before).Int64("version", b.routes.Version()).Err(err).
			Msg("routes were taken from another daemon")
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
		b.logger.Info().Str("event", "targets_taken").Str("peer", p.VM).Int("count", len(l)).Msg("entries of targets were taken from another daemon")
	}
}
