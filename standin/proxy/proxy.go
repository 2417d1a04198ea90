// Package proxy implements a TCP proxy that injects faults into the connections to one address. The soak and the
// integration tests use it.
package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a direction of the traffic on a connection through the proxy.
type Direction int

// Directions of traffic: from the client to the target of the proxy, and back.
const (
	ToTarget Direction = iota
	ToClient
	directionCount
)

// bufferBytes is the size of the copy buffer of each direction of a connection.
const bufferBytes = 32 << 10

// Proxy forwards connections to one address, its target. It is safe for concurrent use. Create one with New.
type Proxy struct {
	address string
	target  string

	mu         sync.Mutex
	listener   net.Listener // nil while connections are refused
	outage     outage
	down       bool                 // open connections are closed, and new ones are closed as soon as they are accepted
	delay      time.Duration        // delay before each read is forwarded, in both directions
	dropsOlder [directionCount]bool // bytes of connections of earlier epochs are dropped
	dropsAll   [directionCount]bool // bytes of all connections are dropped
	epoch      int                  // number of calls of BlackholeOpen; a connection has the epoch in which it was accepted
	conns      map[net.Conn]bool    // both sides of the open connections
}

// New returns a proxy that listens on a free port of the loopback interface and forwards connections to target.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listens at once
	if err != nil {
		return nil, err
	}

	p := &Proxy{address: l.Addr().String(), listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.serve(l)

	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Close closes the listener and all connections. The proxy cannot be used afterwards.
func (p *Proxy) Close() {
	p.SetDown(true)

	p.mu.Lock()
	defer p.mu.Unlock()

	p.outage.closed = true

	if p.listener != nil {
		_ = p.listener.Close()
	}
}

// SetDown takes the proxy down or up. While it is down, all connections are closed, new ones as soon as they are
// accepted.
func (p *Proxy) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.down = down
	if down {
		for n := range p.conns {
			_ = n.Close()
		}
	}
}

// ResetOpen ends the open connections with a TCP reset. New connections work.
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

// BlackholeOpen drops all further bytes of the open connections in one direction. New connections work.
func (p *Proxy) BlackholeOpen(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.dropsOlder[d] = true
	p.epoch++
}

// SetBlackhole drops the bytes of all connections in one direction, or forwards those of new connections again.
// Connections that were open during the fault stay blackholed, as they may have lost bytes.
func (p *Proxy) SetBlackhole(d Direction, enabled bool) {
	if !enabled {
		p.BlackholeOpen(d)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.dropsAll[d] = enabled
}

// SetDelay sets the delay before the bytes of each read are forwarded, in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.delay = d
}

func (p *Proxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}

		go p.forward(c)
	}
}

func (p *Proxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }()

	if p.holdSilent(c) {
		return
	}

	t, err := net.Dial("tcp", p.target) //nolint:noctx // loopback
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()

	epoch, ok := p.add(c, t)
	if !ok {
		return
	}
	defer p.remove(c, t)

	var wg sync.WaitGroup

	wg.Go(func() { p.relay(t, c, ToTarget, epoch) })
	wg.Go(func() { p.relay(c, t, ToClient, epoch) })
	wg.Wait()
}

// add registers both sides of a connection. It returns the connection's epoch, and false if the proxy is down.
func (p *Proxy) add(c, t net.Conn) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.conns[c], p.conns[t] = true, true

	return p.epoch, !p.down && !p.outage.crashed
}

func (p *Proxy) remove(c, t net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.conns, c)
	delete(p.conns, t)
}

// relay forwards bytes in one direction until src ends or a connection fails. At the end of src it closes dst for
// writing.
func (p *Proxy) relay(dst, src net.Conn, d Direction, epoch int) {
	b := make([]byte, bufferBytes)

	for {
		n, err := src.Read(b)
		if n > 0 && !p.applyFaults(d, epoch) {
			if _, err := dst.Write(b[:n]); err != nil {
				_ = src.Close() // so that the sender sees that the connection ended

				return
			}
		}

		if errors.Is(err, io.EOF) && !p.isSilent() {
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
		}

		if err != nil {
			return
		}
	}
}

// applyFaults waits for the delay, and reports whether the bytes read from a connection are to be dropped.
func (p *Proxy) applyFaults(d Direction, epoch int) bool {
	p.mu.Lock()
	t, s := p.delay, p.dropsAll[d] || p.dropsOlder[d] && epoch < p.epoch
	p.mu.Unlock()

	time.Sleep(t)

	return s
}
