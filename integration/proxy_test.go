package integration_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy is a fault-injecting TCP proxy in front of one address.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	cut     bool          // connections are closed and new ones refused
	delay   time.Duration // time before bytes are passed on, in each direction
	silent  [2]bool       // bytes are swallowed: to the target, to the client
	silence int           // connections opened before the last silence stay silent
	conns   map[net.Conn]bool
}

// Directions.
const (
	toTarget = iota
	toClient
)

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.serve()

	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	p.setCut(true)
	_ = p.listener.Close()
}

// setCut closes all connections and refuses new ones, or heals the cut.
func (p *proxy) setCut(c bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.cut = c
	if c {
		for n := range p.conns {
			_ = n.Close()
		}
	}
}

// silenceOpen makes the connections that are open now silent for good in one direction; new ones work.
func (p *proxy) silenceOpen(direction int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.silent[direction] = true
	p.silence++
}

func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.delay = d
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}

		go p.pass(c)
	}
}

func (p *proxy) pass(c net.Conn) {
	defer c.Close()

	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()

	born, ok := p.add(c, t)
	if !ok {
		return
	}
	defer p.remove(c, t)

	var wg sync.WaitGroup

	wg.Go(func() { p.copy(t, c, toTarget, born) })
	wg.Go(func() { p.copy(c, t, toClient, born) })
	wg.Wait()
}

func (p *proxy) add(c, t net.Conn) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.conns[c], p.conns[t] = true, true

	return p.silence, !p.cut
}

func (p *proxy) remove(c, t net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.conns, c)
	delete(p.conns, t)
}

// copy passes bytes on in one direction and half-closes behind the last one.
func (p *proxy) copy(dst, src net.Conn, direction, born int) {
	b := make([]byte, 32<<10)

	for {
		n, err := src.Read(b)
		if n > 0 && !p.swallows(direction, born) {
			if _, err := dst.Write(b[:n]); err != nil {
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

func (p *proxy) swallows(direction, born int) bool {
	p.mu.Lock()
	d, s := p.delay, p.silent[direction] && born < p.silence
	p.mu.Unlock()

	time.Sleep(d)

	return s
}
