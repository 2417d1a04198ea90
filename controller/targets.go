package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/filter"
)

// VM is a member of the platform's list of VMs: a target or an entry VM.
type VM struct {
	name, address, peerAddress, domain, region, service string
	target, plain, leaving                              bool
}

// NewTargetVM returns a VM that runs a target of a service at address, which is IP:port.
func NewTargetVM(name, address, domain, region, service string, leaving bool) VM {
	return VM{name: name, address: address, domain: domain, region: region, service: service, target: true, leaving: leaving}
}

// AsPlain returns a copy whose target runs a plain service instead of a model engine.
func (m VM) AsPlain() VM {
	m.plain = true

	return m
}

// IsPlain reports whether the target runs a plain service. Only callers' requests are sent to it, as any call may have
// an effect.
func (m VM) IsPlain() bool { return m.plain }

// NewEntryVM returns a VM that runs a daemon. Other daemons reach it at peerAddress, which is IP:port.
func NewEntryVM(name, peerAddress, domain, region string, leaving bool) VM {
	return VM{name: name, peerAddress: peerAddress, domain: domain, region: region, leaving: leaving}
}

// Name returns the name of the VM.
func (m VM) Name() string { return m.name }

// Address returns IP:port of the target; "" for an entry VM.
func (m VM) Address() string { return m.address }

// PeerAddress returns IP:port for other daemons; "" for a target.
func (m VM) PeerAddress() string { return m.peerAddress }

// Domain returns the failure domain.
func (m VM) Domain() string { return m.domain }

// Region returns the region.
func (m VM) Region() string { return m.region }

// Service returns the service that the target runs; "" for an entry VM.
func (m VM) Service() string { return m.service }

// IsTarget reports whether the VM runs a target.
func (m VM) IsTarget() bool { return m.target }

// IsLeaving reports whether the list says that the VM is leaving.
func (m VM) IsLeaving() bool { return m.leaving }

// VMList reads the platform's list of VMs. The platform updates it with a delay, so it may differ from the running VMs.
type VMList interface {
	// VMs returns the VMs. It fails when the list cannot be read or is too old.
	VMs(ctx context.Context) ([]VM, error)
}

// TargetPool balances the load of the targets that may get new work.
type TargetPool interface {
	// SetLocal replaces the targets of a service in this failure domain.
	SetLocal(service string, t []filter.Target)
	// SetRemote replaces the targets of a service in other failure domains.
	SetRemote(service string, t []filter.Target)
}

// LeavingSource knows the leaving targets from all sources: the list, the targets themselves and other daemons.
type LeavingSource interface {
	// ObserveList takes a list. age is the time since the platform confirmed it.
	ObserveList(l []VM, age time.Duration)
	IsTargetLeaving(vm, address string) bool
	// ShouldReadList reports whether this daemon is to read the platform's list.
	ShouldReadList() bool
}

const (
	// maxListInterval is the longest time between two reads of the platform's list. It also applies without a leaving
	// bound.
	maxListInterval = 500 * time.Millisecond
	// minListInterval is the shortest time between two reads. It keeps a small leaving bound from flooding the
	// platform.
	minListInterval = 100 * time.Millisecond
	// readsPerLeavingBound is the number of read intervals in the leaving bound. One of them is spent on reading the
	// list; the others are left for the gossip that distributes the departure.
	readsPerLeavingBound = 6
)

// Targets reads the platform's list of VMs and updates the pool of targets. It is safe for concurrent use, except for
// SetLeavingSource and SetLeavingBound.
type Targets struct {
	list   VMList
	pool   TargetPool
	domain string

	leavingSource LeavingSource
	leavingBound  func() time.Duration

	mu          sync.Mutex
	vms         []VM
	services    map[string]bool
	seenLeaving map[string]bool

	poolMu sync.Mutex // serializes updates of the pool
}

// NewTargets returns the controller of a daemon in a failure domain. It has no list before Run or UpdateVMs.
func NewTargets(l VMList, p TargetPool, domain string) *Targets {
	return &Targets{list: l, pool: p, domain: domain, services: map[string]bool{}, seenLeaving: map[string]bool{}}
}

// SetLeavingSource sets the source of leaving targets. It must be called before Run.
func (t *Targets) SetLeavingSource(d LeavingSource) { t.leavingSource = d }

// SetLeavingBound sets the leaving bound: f returns the time after which a leaving target gets no new work; 0 for none.
// It must be called before Run.
func (t *Targets) SetLeavingBound(f func() time.Duration) { t.leavingBound = f }

// listInterval returns the time until the next read of the list.
func (t *Targets) listInterval() time.Duration {
	if t.leavingBound == nil || t.leavingBound() == 0 {
		return maxListInterval
	}

	return max(minListInterval, min(maxListInterval, t.leavingBound()/readsPerLeavingBound))
}

// Run reads the list until ctx ends. While the platform does not reply, the last list stays in use. A daemon that gets
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

// VMs returns the last list; nil if there was none yet. The result must not be changed.
func (t *Targets) VMs() []VM {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.vms
}

// HasTargets reports whether any list so far had targets.
func (t *Targets) HasTargets() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.services) > 0
}

// UpdateVMs replaces the list by one that the platform confirmed at the given age, and updates the pool.
func (t *Targets) UpdateVMs(l []VM, age time.Duration) {
	t.mu.Lock()
	t.vms = l
	t.mu.Unlock()

	if t.leavingSource != nil {
		t.leavingSource.ObserveList(l, age)
	}

	t.UpdatePool()
}

// UpdatePool sets the targets of the pool to those that are not leaving. A target that was seen leaving never returns
// to the pool at the same address.
func (t *Targets) UpdatePool() {
	t.poolMu.Lock()
	defer t.poolMu.Unlock()

	l := t.VMs()
	leaving := make([]bool, len(l))

	for i, m := range l {
		leaving[i] = m.IsLeaving() || m.IsTarget() && t.leavingSource != nil && t.leavingSource.IsTargetLeaving(m.Name(), m.Address())
	}

	local, remote := t.poolTargets(l, leaving)
	for s, p := range local {
		t.pool.SetLocal(s, p)
		t.pool.SetRemote(s, remote[s])
	}
}

// poolTargets returns the targets that are not leaving, by service, in this failure domain and in others. local has
// every service that was ever seen, so that the pool of a service without targets is emptied.
func (t *Targets) poolTargets(l []VM, leaving []bool) (local, remote map[string][]filter.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()

	local, remote = map[string][]filter.Target{}, map[string][]filter.Target{}

	for i, m := range l {
		k := m.Name() + "\x00" + m.Address()
		if leaving[i] {
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
			local[m.Service()] = append(local[m.Service()], v)
		default:
			remote[m.Service()] = append(remote[m.Service()], v)
		}
	}

	for s := range t.services {
		if _, ok := local[s]; !ok {
			local[s] = nil
		}
	}

	return local, remote
}

// TargetDomain returns the failure domain of a target; false if the target is not on the list.
func (t *Targets) TargetDomain(target string) (string, bool) {
	for _, m := range t.VMs() {
		if m.IsTarget() && m.Name() == target {
			return m.Domain(), true
		}
	}

	return "", false
}
