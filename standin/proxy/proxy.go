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
	directions
)

// copyBytes is the size of the buffer of one direction.
const copyBytes = 32 << 10

// Proxy passes connections on to one address. Use New.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	cut     bool             // connections are closed and new ones refused
	delay   time.Duration    // time before bytes are passed on, in each direction
	silent  [directions]bool // bytes of the connections from before the last silence are swallowed
	deaf    [directions]bool // bytes of all connections are swallowed
	silence int              // number of silences so far
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
	p.SetCut(true)
	_ = p.listener.Close()
}

// SetCut closes all connections and refuses new ones, or heals the cut.
func (p *Proxy) SetCut(c bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.cut = c
	if c {
		for n := range p.conns {
			_ = n.Close()
		}
	}
}

// Reset resets the connections that are open now; new ones work.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for n := range p.conns {
		if t, ok := n.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}

		_ = n.Close()
	}
}

// SilenceOpen makes the connections that are open now silent for good in one direction; new ones work.
func (p *Proxy) SilenceOpen(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.silent[d] = true
	p.silence++
}

// SetDeaf swallows the bytes of all connections in one direction, or passes them on again. Connections that lost bytes
// stay silent.
func (p *Proxy) SetDeaf(d Direction, deaf bool) {
	if !deaf {
		p.SilenceOpen(d)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.deaf[d] = deaf
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

		go p.pass(c)
	}
}

func (p *Proxy) pass(c net.Conn) {
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

	wg.Go(func() { p.copy(t, c, ToTarget, born) })
	wg.Go(func() { p.copy(c, t, ToClient, born) })
	wg.Wait()
}

func (p *Proxy) add(c, t net.Conn) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.conns[c], p.conns[t] = true, true

	return p.silence, !p.cut
}

func (p *Proxy) remove(c, t net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.conns, c)
	delete(p.conns, t)
}

// copy passes bytes on in one direction and half-closes behind the last one.
func (p *Proxy) copy(dst, src net.Conn, d Direction, born int) {
	b := make([]byte, copyBytes)

	for {
		n, err := src.Read(b)
		if n > 0 && !p.swallows(d, born) {
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

func (p *Proxy) swallows(d Direction, born int) bool {
	p.mu.Lock()
	t, s := p.delay, p.deaf[d] || p.silent[d] && born < p.silence
	p.mu.Unlock()

	time.Sleep(t)

	return s
}
