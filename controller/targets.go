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
	target, leaving                                     bool
}

// NewTargetMachine returns a VM that runs a target of a service.
func NewTargetMachine(name, address, domain, region, service string, leaving bool) Machine {
	return Machine{name: name, address: address, domain: domain, region: region, service: service, target: true, leaving: leaving}
}

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
	Machines(ctx context.Context) ([]Machine, error)
}

// TargetPool takes the targets that may get new work, of this failure domain and of others.
type TargetPool interface {
	Set(service string, t []filter.Target)
	SetRemote(service string, t []filter.Target)
}

// listInterval is the time between two reads of the platform's list.
const listInterval = 500 * time.Millisecond

// Targets follows the platform's list and keeps the pool of targets of its own failure domain.
type Targets struct {
	list   MachineList
	pool   TargetPool
	domain string

	mu       sync.Mutex
	machines []Machine
	services map[string]bool
	leaving  map[string]bool
}

// NewTargets returns the controller of a failure domain.
func NewTargets(l MachineList, p TargetPool, domain string) *Targets {
	return &Targets{list: l, pool: p, domain: domain, services: map[string]bool{}, leaving: map[string]bool{}}
}

// Run reads the list until ctx ends. While the platform does not answer, the last list stays.
func (t *Targets) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if m, err := t.list.Machines(ctx); err == nil {
			t.observe(m)
		}

		sleep(ctx, listInterval)
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

// observe takes a list. A VM that was seen leaving never comes back under the same name.
func (t *Targets) observe(l []Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.machines = l
	pools, remote := map[string][]filter.Target{}, map[string][]filter.Target{}

	for _, m := range l {
		if m.Leaving() {
			t.leaving[m.Name()] = true
		}

		if !m.Target() {
			continue
		}

		t.services[m.Service()] = true

		switch {
		case t.leaving[m.Name()]:
		case m.Domain() == t.domain:
			pools[m.Service()] = append(pools[m.Service()], filter.NewTarget(m.Name(), m.Address()))
		default:
			remote[m.Service()] = append(remote[m.Service()], filter.NewTarget(m.Name(), m.Address()))
		}
	}

	for s := range t.services {
		t.pool.Set(s, pools[s])
		t.pool.SetRemote(s, remote[s])
	}
}

// Domain returns the failure domain of a target.
func (t *Targets) Domain(target string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, m := range t.machines {
		if m.Target() && m.Name() == target {
			return m.Domain(), true
		}
	}

	return "", false
}
