package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/filter"
)

// Machine is an entry of the platform's list of VMs as the controllers need it.
type Machine struct {
	name, address, peerAddress, domain, region, service string
	target, plain, leaving                              bool
}

// NewTargetMachine returns a VM that runs a target of a service.
func NewTargetMachine(name, address, domain, region, service string, leaving bool) Machine {
	return Machine{name: name, address: address, domain: domain, region: region, service: service, target: true, leaving: leaving}
}

// AsPlain returns a copy of a target that runs a plain service.
func (m Machine) AsPlain() Machine {
	m.plain = true

	return m
}

// Plain reports whether a target runs a plain service. Nothing is sent to it but callers' requests, as any call may
// have an effect.
func (m Machine) Plain() bool { return m.plain }

// NewEntryMachine returns a VM that runs a daemon.
func NewEntryMachine(name, peerAddress, domain, region string, leaving bool) Machine {
	return Machine{name: name, peerAddress: peerAddress, domain: domain, region: region, leaving: leaving}
}

// Name returns the VM's name.
func (m Machine) Name() string { return m.name }

// Address returns the IP number and port of a target.
func (m Machine) Address() string { return m.address }

// PeerAddress returns the IP number and port for other daemons.
func (m Machine) PeerAddress() string { return m.peerAddress }

// Domain returns the failure domain.
func (m Machine) Domain() string { return m.domain }

// Region returns the region.
func (m Machine) Region() string { return m.region }

// Service returns the service that a target runs.
func (m Machine) Service() string { return m.service }

// Target reports whether the VM runs a target.
func (m Machine) Target() bool { return m.target }

// Leaving reports whether the VM is leaving.
func (m Machine) Leaving() bool { return m.leaving }

// MachineList is the platform's list of VMs, which lags.
type MachineList interface {
	VMs(ctx context.Context) ([]Machine, error)
}

// TargetPool takes the targets that may get new work, of this failure domain and of others.
type TargetPool interface {
	SetLocal(service string, t []filter.Target)
	SetRemote(service string, t []filter.Target)
}

// Departures knows the leaving targets from all sources, and whether this daemon is to read the list.
type Departures interface {
	ObserveList(l []Machine, age time.Duration)
	Departing(vm, address string) bool
	ReadsList() bool
}

const (
	// listInterval is the longest time between two reads of the platform's list.
	listInterval = 500 * time.Millisecond
	// leastListInterval keeps a small bound from flooding the platform.
	leastListInterval = 100 * time.Millisecond
	// readsInBound is the number of reads of the list within the bound on leaving targets; the others are for the
	// gossip that passes a departure on.
	readsInBound = 6
)

// Targets follows the platform's list and keeps the pool of targets of its own failure domain.
type Targets struct {
	list   MachineList
	pool   TargetPool
	domain string

	departures Departures
	bound      func() time.Duration

	mu       sync.Mutex
	machines []Machine
	services map[string]bool
	leaving  map[string]bool

	poolMu sync.Mutex // orders the updates of the pool
}

// NewTargets returns the controller of a failure domain.
func NewTargets(l MachineList, p TargetPool, domain string) *Targets {
	return &Targets{list: l, pool: p, domain: domain, services: map[string]bool{}, leaving: map[string]bool{}}
}

// Follow sets the source of departures. It is to be called before Run.
func (t *Targets) Follow(d Departures) { t.departures = d }

// Bound sets the time within which a leaving target gets nothing new. It is to be called before Run.
func (t *Targets) Bound(f func() time.Duration) { t.bound = f }

// interval returns the time until the next read of the list.
func (t *Targets) interval() time.Duration {
	if t.bound == nil || t.bound() == 0 {
		return listInterval
	}

	return max(leastListInterval, min(listInterval, t.bound()/readsInBound))
}

// Run reads the list until ctx ends. While the platform does not answer, the last list stays. A daemon that gets
// the list from its peers does not read it.
func (t *Targets) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if t.departures == nil || t.departures.ReadsList() {
			if m, err := t.list.VMs(ctx); err == nil {
				t.Receive(m, 0)
			}
		}

		sleep(ctx, t.interval())
	}

	return nil
}

// Machines returns the last list.
func (t *Targets) Machines() []Machine {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.machines
}

// Known reports whether a list with targets was read.
func (t *Targets) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.services) > 0
}

// Receive takes a list that the platform confirmed at the given age.
func (t *Targets) Receive(l []Machine, age time.Duration) {
	t.mu.Lock()
	t.machines = l
	t.mu.Unlock()

	if t.departures != nil {
		t.departures.ObserveList(l, age)
	}

	t.Refresh()
}

// Refresh gives the pool the targets that are not leaving. A target that was seen leaving never comes back at
// the same address.
func (t *Targets) Refresh() {
	t.poolMu.Lock()
	defer t.poolMu.Unlock()

	l := t.Machines()
	departing := make([]bool, len(l))

	for i, m := range l {
		departing[i] = m.Leaving() || m.Target() && t.departures != nil && t.departures.Departing(m.Name(), m.Address())
	}

	own, remote := t.pools(l, departing)
	for s, p := range own {
		t.pool.SetLocal(s, p)
		t.pool.SetRemote(s, remote[s])
	}
}

// pools returns the targets of every service that was ever seen, in this failure domain and in others, so that the
// pool of one without targets is emptied.
func (t *Targets) pools(l []Machine, departing []bool) (own, remote map[string][]filter.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()

	own, remote = map[string][]filter.Target{}, map[string][]filter.Target{}

	for i, m := range l {
		k := m.Name() + "\x00" + m.Address()
		if departing[i] {
			t.leaving[k] = true
		}

		if !m.Target() {
			continue
		}

		t.services[m.Service()] = true
		v := filter.NewTarget(m.Name(), m.Address())

		switch {
		case t.leaving[k]:
		case m.Domain() == t.domain:
			own[m.Service()] = append(own[m.Service()], v)
		default:
			remote[m.Service()] = append(remote[m.Service()], v)
		}
	}

	for s := range t.services {
		if _, ok := own[s]; !ok {
			own[s] = nil
		}
	}

	return own, remote
}

// Domain returns the failure domain of a target.
func (t *Targets) Domain(target string) (string, bool) {
	for _, m := range t.Machines() {
		if m.Target() && m.Name() == target {
			return m.Domain(), true
		}
	}

	return "", false
}
