package daemon

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/oklog/run"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/configs"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/keyed"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/platform"
)

const (
	// directoryPause is the time between two reads of each stream by a daemon that reads the list of VMs. Targets that
	// leave serve for seconds more.
	directoryPause = 250 * time.Millisecond
	// directoryIdle is that time at a daemon that gets the list from others.
	directoryIdle = 5 * time.Second
	// directoryFresh is the age up to which what was read is handed out as the present list. It covers the wait of a read
	// at the log.
	directoryFresh = 3 * time.Second
)

var errDirectoryOld = errors.New("the list of VMs cannot be read from the log")

// directory is the list of VMs: targets by the entries that they keep in the log, daemons by the records in which they
// announce themselves.
type directory struct {
	targets fleet.Registry
	members *mesh.Members
	entries *keyed.Follower
	records *keyed.Follower
	config  *configs.Configs
	reads   func() bool // whether this daemon reads the list
}

func newDirectory(d *Daemon, l keyed.Log) *directory {
	v := &directory{config: d.config, reads: func() bool { return d.membership.ShouldReadList() }}
	self := mesh.Record{
		Peer:   mesh.Peer{VM: d.settings.VM, Address: d.PeerAddress(), Domain: d.settings.FailureDomain, Start: time.Now().UnixMilli()},
		Region: d.settings.Region, Operator: d.OperatorAddress(),
	}
	v.members = mesh.NewMembers(l, platform.TopicMembers, self, func(mesh.Peer) {}, time.Now, d.logger)
	v.entries = keyed.New(l, platform.TopicWorkers, 0, &targetSink{targets: &v.targets, logger: d.logger}, d.logger).
		WithHealth(&v.targets).WithPause(v.pause)
	v.records = keyed.New(l, platform.TopicMembers, 0, v.members, d.logger).WithHealth(v.members).WithPause(v.pause)

	return v
}

// run adds what keeps the directory up to date as actors.
func (v *directory) run(g *run.Group) {
	actor(g, v.entries.Run)
	actor(g, v.records.Run)
	actor(g, v.members.Run)
}

func (v *directory) pause() time.Duration {
	if v.reads() {
		return directoryPause
	}

	return directoryIdle
}

// Machines returns the list. It fails when the list is old.
func (v *directory) Machines(context.Context) ([]controller.VM, error) {
	now := time.Now()

	for _, f := range []*keyed.Follower{v.entries, v.records} {
		if now.Sub(f.Fresh()) > directoryFresh {
			return nil, errDirectoryOld
		}
	}

	var l []controller.VM

	engines := v.engines()

	for _, t := range v.targets.Listed(now) {
		m := controller.NewTargetVM(t.Name(), t.Address(), t.Domain(), "", t.Service(), t.Leaving())
		if !engines[t.Service()] {
			m = m.AsPlain()
		}

		l = append(l, m)
	}

	for _, r := range v.members.Listed() {
		l = append(l, controller.NewEntryVM(r.Peer.VM, r.Peer.Address, r.Peer.Domain, r.Region, false))
	}

	return l, nil
}

// engines returns the services whose targets are model engines. Others get nothing but requests of callers, as any call
// may have an effect.
func (v *directory) engines() map[string]bool {
	m := map[string]bool{}

	for _, s := range v.config.InForce().Document().Services {
		if s.Kind == config.KindEngine {
			m[cmp.Or(s.Targets, s.Name)] = true
		}
	}

	return m
}
