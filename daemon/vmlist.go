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
	// vmListReadDelay is the delay after each read of a stream at a daemon that reads the list of VMs for others. It
	// can be that long because leaving targets keep serving for seconds.
	vmListReadDelay = 250 * time.Millisecond
	// vmListIdleReadDelay is the delay at a daemon that gets the list from other daemons.
	vmListIdleReadDelay = 5 * time.Second
	// maxVMListAge bounds the age of the data that VMs returns. It is longer than a read may wait for new records at
	// the log.
	maxVMListAge = 3 * time.Second
)

var errVMListStale = errors.New("the list of VMs was not read from the log lately")

// vmList is the platform's list of VMs, read from the log: the targets by their registrations and the daemons by the
// records with which they announce themselves.
type vmList struct {
	targets        fleet.Registry
	members        *mesh.Members
	targetConsumer *keyed.Consumer
	daemonConsumer *keyed.Consumer
	config         *configs.Controller
	shouldRead     func() bool // reports whether this daemon is one of those that read the list
}

func newVMList(d *Daemon, l keyed.Log) *vmList {
	v := &vmList{config: d.config, shouldRead: func() bool { return d.membership.ShouldReadList() }}
	self := mesh.Record{
		Peer:   mesh.Peer{VM: d.settings.VM, Address: d.PeerAddress(), Domain: d.settings.FailureDomain, Start: time.Now().UnixMilli()},
		Region: d.settings.Region, Operator: d.OperatorAddress(),
	}
	v.members = mesh.NewMembers(l, platform.TopicMembers, self, func(mesh.Peer) {}, time.Now, d.logger)
	v.targetConsumer = keyed.New(l, platform.TopicWorkers, 0, &targetSink{targets: &v.targets, logger: d.logger}, d.logger).
		WithHealth(&v.targets).WithReadDelay(v.readDelay)
	v.daemonConsumer = keyed.New(l, platform.TopicMembers, 0, v.members, d.logger).WithHealth(v.members).WithReadDelay(v.readDelay)

	return v
}

// addActors adds the actors that read the list and announce this daemon.
func (v *vmList) addActors(g *run.Group) {
	addActor(g, v.targetConsumer.Run)
	addActor(g, v.daemonConsumer.Run)
	addActor(g, v.members.Run)
}

func (v *vmList) readDelay() time.Duration {
	if v.shouldRead() {
		return vmListReadDelay
	}

	return vmListIdleReadDelay
}

// VMs returns the list. It fails if one of the streams was last read to its end more than maxVMListAge ago.
func (v *vmList) VMs(context.Context) ([]controller.VM, error) {
	now := time.Now()

	for _, f := range []*keyed.Consumer{v.targetConsumer, v.daemonConsumer} {
		if now.Sub(f.SyncedAt()) > maxVMListAge {
			return nil, errVMListStale
		}
	}

	var l []controller.VM

	engines := v.engineServices()

	for _, t := range v.targets.Targets(now) {
		m := controller.NewTargetVM(t.Name(), t.Address(), t.Domain(), "", t.Service(), t.Leaving())
		if !engines[t.Service()] {
			m = m.AsPlain()
		}

		l = append(l, m)
	}

	for _, r := range v.members.Records() {
		l = append(l, controller.NewEntryVM(r.Peer.VM, r.Peer.Address, r.Peer.Domain, r.Region, false))
	}

	return l, nil
}

// engineServices returns the services whose targets are model engines. Other targets get only the requests of callers
// and no checks, because any call to them may have an effect.
func (v *vmList) engineServices() map[string]bool {
	m := map[string]bool{}

	for _, s := range v.config.InForce().Document().Services {
		if s.Kind == config.KindEngine {
			m[cmp.Or(s.Targets, s.Name)] = true
		}
	}

	return m
}
