package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// The ports of daemons lie below those that the system gives to outgoing connections, in blocks. A soak listens on the
// first port of each block that it uses, so that another one on the same machine takes other blocks. A port of a daemon
// that is down is free for a moment, and two soaks that shared ports took each other's daemons for their own.
const (
	firstPort  = 12_000
	portsPerBlock = 100
	blockCount     = 80
)

// PortAllocator gives out ports on loopback. The zero value is ready to use.
type PortAllocator struct {
	reserved []net.Listener
	nextInBlock int // within the block held last; 0 when there is none
	base int
}

// Allocate returns addresses that no other Ports gives out before Close, and that nobody listens on.
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

		l, err := net.Listen("tcp", v) //nolint:noctx // listens at once
		if err != nil {
			continue
		}

		_ = l.Close()

		a = append(a, v)
	}

	return a, nil
}

// reserveBlock takes another block.
func (p *PortAllocator) reserveBlock() error {
	for i := range blockCount {
		b := firstPort + (os.Getpid()+len(p.reserved)+i)%blockCount*portsPerBlock

		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", b)) //nolint:noctx // listens at once
		if err != nil {
			continue
		}

		p.reserved, p.base, p.nextInBlock = append(p.reserved, l), b, 1

		return nil
	}

	return errors.New("no block of ports is free")
}

// Close gives the ports back.
func (p *PortAllocator) Close() {
	for _, l := range p.reserved {
		_ = l.Close()
	}

	p.reserved, p.nextInBlock = nil, 0
}
