package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// The ports of daemons are allocated in blocks below the ephemeral ports, which the system assigns to outgoing
// connections. A soak listens on the first port of each block that it uses, so that other soaks on the same machine use
// other blocks. Otherwise another soak could take a port while its daemon is down, and two soaks that shared ports took
// each other's daemons for their own.
const (
	firstPort     = 12_000
	portsPerBlock = 100
	blockCount    = 80
)

// PortAllocator allocates TCP ports on loopback. The zero value is ready to use. It is not safe for concurrent use.
type PortAllocator struct {
	reserved    []net.Listener // on the first ports of the reserved blocks
	nextInBlock int            // next port within the last reserved block, relative to base; 0 if there is none
	base        int            // first port of the last reserved block
}

// Allocate returns n addresses on which nothing listens. No other PortAllocator on the machine returns them before
// Close. An error means that no block is free.
func (p *PortAllocator) Allocate(n int) ([]string, error) {
	var a []string

	for len(a) < n {
		if p.nextInBlock == 0 || p.nextInBlock == portsPerBlock {
			if err := p.reserveBlock(); err != nil {
				return nil, err
			}
		}

		v := fmt.Sprintf("127.0.0.1:%d", p.base+p.nextInBlock)
		p.nextInBlock++

		l, err := net.Listen("tcp", v) //nolint:noctx // listening does not block
		if err != nil {
			continue
		}

		_ = l.Close()

		a = append(a, v)
	}

	return a, nil
}

// reserveBlock reserves another block by listening on its first port. It starts its search at a block that depends on
// the process ID, so that concurrent soaks rarely try the same blocks.
func (p *PortAllocator) reserveBlock() error {
	for i := range blockCount {
		b := firstPort + (os.Getpid()+len(p.reserved)+i)%blockCount*portsPerBlock

		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", b)) //nolint:noctx // listening does not block
		if err != nil {
			continue
		}

		p.reserved, p.base, p.nextInBlock = append(p.reserved, l), b, 1

		return nil
	}

	return errors.New("no free block of ports")
}

// Close releases all allocated ports.
func (p *PortAllocator) Close() {
	for _, l := range p.reserved {
		_ = l.Close()
	}

	p.reserved, p.nextInBlock = nil, 0
}
