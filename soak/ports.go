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
	blockPorts = 100
	blocks     = 80
)

// Ports gives out ports on loopback. The zero value is ready to use.
type Ports struct {
	held []net.Listener
	next int // within the block held last; 0 when there is none
	base int
}

// Take returns addresses that no other Ports gives out before Close, and that nobody listens on.
func (p *Ports) Take(n int) ([]string, error) {
	var a []string

	for len(a) < n {
		if p.next == 0 || p.next == blockPorts {
			if err := p.hold(); err != nil {
				return nil, err
			}
		}

		v := fmt.Sprintf("127.0.0.1:%d", p.base+p.next)
		p.next++

		l, err := net.Listen("tcp", v) //nolint:noctx // listens at once
		if err != nil {
			continue
		}

		_ = l.Close()

		a = append(a, v)
	}

	return a, nil
}

// hold takes another block.
func (p *Ports) hold() error {
	for i := range blocks {
		b := firstPort + (os.Getpid()+len(p.held)+i)%blocks*blockPorts

		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", b)) //nolint:noctx // listens at once
		if err != nil {
			continue
		}

		p.held, p.base, p.next = append(p.held, l), b, 1

		return nil
	}

	return errors.New("no block of ports is free")
}

// Close gives the ports back.
func (p *Ports) Close() {
	for _, l := range p.held {
		_ = l.Close()
	}

	p.held, p.next = nil, 0
}
