// Package proxy is a TCP proxy for tests that injects faults into the connections to one address.
package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a direction of a connection.
type Direction int

// Directions.
const (
	ToTarget Direction = iota
	ToClient
	directionCount
)

// bufferBytes is the size of the buffer of one direction.
const bufferBytes = 32 << 10

// Proxy passes connections on to one address. Use New.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	down     bool             // connections are closed and new ones refused
	delay   time.Duration    // time before bytes are passed on, in each direction
	blackholesOld  [directionCount]bool // bytes of the connections from before the last silence are swallowed
	blackholesAll    [directionCount]bool // bytes of all connections are swallowed
	epoch int              // number of silences so far
	conns   map[net.Conn]bool
}

// New returns a proxy on a loopback address.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listens at once
	if err != nil {
		return nil, err
	}

	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.serve()

	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the proxy with all its connections.
func (p *Proxy) Close() {
	p.SetDown(true)
	_ = p.listener.Close()
}

// SetDown closes all connections and refuses new ones, or heals the cut.
func (p *Proxy) SetDown(c bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.down = c
	if c {
		for n := range p.conns {
			_ = n.Close()
		}
	}
}

// ResetOpen resets the connections that are open now; new ones work.
func (p *Proxy) ResetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for n := range p.conns {
		if t, ok := n.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}

		_ = n.Close()
	}
}

// BlackholeOpen makes the connections that are open now silent for good in one direction; new ones work.
func (p *Proxy) BlackholeOpen(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.blackholesOld[d] = true
	p.epoch++
}

// SetBlackhole swallows the bytes of all connections in one direction, or passes them on again. Connections that lost bytes
// stay silent.
func (p *Proxy) SetBlackhole(d Direction, deaf bool) {
	if !deaf {
		p.BlackholeOpen(d)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.blackholesAll[d] = deaf
}

// SetDelay sets the delay of each piece of bytes.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.delay = d
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}

		go p.forward(c)
	}
}

func (p *Proxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }()

	t, err := net.Dial("tcp", p.target) //nolint:noctx // loopback
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()

	born, ok := p.add(c, t)
	if !ok {
		return
	}
	defer p.remove(c, t)

	var wg sync.WaitGroup

	wg.Go(func() { p.relay(t, c, ToTarget, born) })
	wg.Go(func() { p.relay(c, t, ToClient, born) })
	wg.Wait()
}

func (p *Proxy) add(c, t net.Conn) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.conns[c], p.conns[t] = true, true

	return p.epoch, !p.down
}

func (p *Proxy) remove(c, t net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.conns, c)
	delete(p.conns, t)
}

// relay passes bytes on in one direction and half-closes behind the last one.
func (p *Proxy) relay(dst, src net.Conn, d Direction, born int) {
	b := make([]byte, bufferBytes)

	for {
		n, err := src.Read(b)
		if n > 0 && !p.applyFaults(d, born) {
			if _, err := dst.Write(b[:n]); err != nil {
				_ = src.Close() // the other side sees that its connection ended

				return
			}
		}

		if errors.Is(err, io.EOF) {
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
		}

		if err != nil {
			return
		}
	}
}

func (p *Proxy) applyFaults(d Direction, born int) bool {
	p.mu.Lock()
	t, s := p.delay, p.blackholesAll[d] || p.blackholesOld[d] && born < p.epoch
	p.mu.Unlock()

	time.Sleep(t)

	return s
}
