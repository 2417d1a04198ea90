package controller

// Peer is a daemon in the membership, which may be this daemon itself. Peers are comparable.
type Peer struct {
	vm, address, domain, region string
}

// NewPeer returns the daemon of a VM that other daemons reach at address, which is IP:port.
func NewPeer(vm, address, domain, region string) Peer {
	return Peer{vm: vm, address: address, domain: domain, region: region}
}

// VM returns the name of the VM.
func (p Peer) VM() string { return p.vm }

// Address returns IP:port for other daemons.
func (p Peer) Address() string { return p.address }

// Domain returns the failure domain.
func (p Peer) Domain() string { return p.domain }

// Region returns the region.
func (p Peer) Region() string { return p.region }

// Peers returns the daemons on the platform's list that are not leaving, whether they are live or not.
func (t *Targets) Peers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()

	var l []Peer

	for _, m := range t.vms {
		if !m.IsTarget() && !t.seenLeaving[m.Name()+"\x00"+m.Address()] {
			l = append(l, NewPeer(m.Name(), m.PeerAddress(), m.Domain(), m.Region()))
		}
	}

	return l
}
