package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/filter"
)

// VM is an entry of the platform's list of VMs as the controllers need it.
type VM struct {
	name, address, peerAddress, domain, region, service string
	target, plain, leaving                              bool
}

// NewTargetVM returns a VM that runs a target of a service.
func NewTargetVM(name, address, domain, region, service string, leaving bool) VM {
	return VM{name: name, address: address, domain: domain, region: region, service: service, target: true, leaving: leaving}
}

// AsPlain returns a copy of a target that runs a plain service.
func (m VM) AsPlain() VM {
	m.plain = true

	return m
}

// IsPlain reports whether a target runs a plain service. Nothing is sent to it but callers' requests, as any call may
// have an effect.
func (m VM) IsPlain() bool { return m.plain }

// NewEntryVM returns a VM that runs a daemon.
func NewEntryVM(name, peerAddress, domain, region string, leaving bool) VM {
	return VM{name: name, peerAddress: peerAddress, domain: domain, region: region, leaving: leaving}
}

// Name returns the VM's name.
func (m VM) Name() string { return m.name }

// Address returns the IP number and port of a target.
func (m VM) Address() string { return m.address }

// PeerAddress returns the IP number and port for other daemons.
func (m VM) PeerAddress() string { return m.peerAddress }

// Domain returns the failure domain.
func (m VM) Domain() string { return m.domain }

// Region returns the region.
func (m VM) Region() string { return m.region }

// Service returns the service that a target runs.
func (m VM) Service() string { return m.service }

// IsTarget reports whether the VM runs a target.
func (m VM) IsTarget() bool { return m.target }

// IsLeaving reports whether the VM is leaving.
func (m VM) IsLeaving() bool { return m.leaving }

// VMList is the platform's list of VMs, which lags.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// TargetPool takes the targets that may get new work, of this failure domain and of others.
type TargetPool interface {
	SetLocal(service string, t []filter.Target)
	SetRemote(service string, t []filter.Target)
}

// LeavingSource knows the leaving targets from all sources, and whether this daemon is to read the list.
type LeavingSource interface {
	ObserveList(l []VM, age time.Duration)
	IsTargetLeaving(vm, address string) bool
	ShouldReadList() bool
}

const (
	// maxListInterval is the longest time between two reads of the platform's list.
	maxListInterval = 500 * time.Millisecond
	// minListInterval keeps a small bound from flooding the platform.
	minListInterval = 100 * time.Millisecond
	// readsPerLeavingBound is the number of reads of the list within the bound on leaving targets; the others are for the
	// gossip that passes a departure on.
	readsPerLeavingBound = 6
)

// Targets follows the platform's list and keeps the pool of targets of its own failure domain.
type Targets struct {
	list   VMList
	pool   TargetPool
	domain string

	leavingSource LeavingSource
	leavingBound      func() time.Duration

	mu       sync.Mutex
	vms []VM
	services map[string]bool
	seenLeaving  map[string]bool

	poolMu sync.Mutex // orders the updates of the pool
}

// NewTargets returns the controller of a failure domain.
func NewTargets(l VMList, p TargetPool, domain string) *Targets {
	return &Targets{list: l, pool: p, domain: domain, services: map[string]bool{}, seenLeaving: map[string]bool{}}
}

// SetLeavingSource sets the source of departures. It is to be called before Run.
func (t *Targets) SetLeavingSource(d LeavingSource) { t.leavingSource = d }

// SetLeavingBound sets the time within which a leaving target gets nothing new. It is to be called before Run.
func (t *Targets) SetLeavingBound(f func() time.Duration) { t.leavingBound = f }

// listInterval returns the time until the next read of the list.
func (t *Targets) listInterval() time.Duration {
	if t.leavingBound == nil || t.leavingBound() == 0 {
		return maxListInterval
	}

	return max(minListInterval, min(maxListInterval, t.leavingBound()/readsPerLeavingBound))
}

// Run reads the list until ctx ends. While the platform does not answer, the last list stays. A daemon that gets
// the list from its peers does not read it.
func (t *Targets) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if t.leavingSource == nil || t.leavingSource.ShouldReadList() {
			if m, err := t.list.VMs(ctx); err == nil {
				t.UpdateVMs(m, 0)
			}
		}

		sleep(ctx, t.listInterval())
	}

	return nil
}

// VMs returns the last list.
func (t *Targets) VMs() []VM {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.vms
}

// HasTargets reports whether a list with targets was read.
func (t *Targets) HasTargets() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.services) > 0
}

// UpdateVMs takes a list that the platform confirmed at the given age.
func (t *Targets) UpdateVMs(l []VM, age time.Duration) {
	t.mu.Lock()
	t.vms = l
	t.mu.Unlock()

	if t.leavingSource != nil {
		t.leavingSource.ObserveList(l, age)
	}

	t.UpdatePool()
}

// UpdatePool gives the pool the targets that are not leaving. A target that was seen leaving never comes back at
// the same address.
func (t *Targets) UpdatePool() {
	t.poolMu.Lock()
	defer t.poolMu.Unlock()

	l := t.VMs()
	departing := make([]bool, len(l))

	for i, m := range l {
		departing[i] = m.IsLeaving() || m.IsTarget() && t.leavingSource != nil && t.leavingSource.IsTargetLeaving(m.Name(), m.Address())
	}

	own, remote := t.poolTargets(l, departing)
	for s, p := range own {
		t.pool.SetLocal(s, p)
		t.pool.SetRemote(s, remote[s])
	}
}

// poolTargets returns the targets of every service that was ever seen, in this failure domain and in others, so that the
// pool of one without targets is emptied.
func (t *Targets) poolTargets(l []VM, departing []bool) (own, remote map[string][]filter.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()

	own, remote = map[string][]filter.Target{}, map[string][]filter.Target{}

	for i, m := range l {
		k := m.Name() + "\x00" + m.Address()
		if departing[i] {
			t.seenLeaving[k] = true
		}

		if !m.IsTarget() {
			continue
		}

		t.services[m.Service()] = true
		v := filter.NewTarget(m.Name(), m.Address())

		switch {
		case t.seenLeaving[k]:
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
	for _, m := range t.VMs() {
		if m.IsTarget() && m.Name() == target {
			return m.Domain(), true
		}
	}

	return "", false
}
