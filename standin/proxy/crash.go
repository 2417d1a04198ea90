package proxy

import (
	"io"
	"net"
	"time"
)

// CrashView is how clients see a crash of the target.
type CrashView int

// Views of a crash. While the target is down, connections are refused, or with CrashSilent accepted without a response.
const (
	CrashReset  CrashView = iota // open connections are reset
	CrashEnd                     // open connections end as after a complete response
	CrashSilent                  // open connections carry nothing more until the restart, which resets them
)

const (
	// listenTimeout bounds the wait for the port of the proxy, which an outgoing connection may have taken meanwhile.
	listenTimeout = 10 * time.Second
	// listenRetryDelay is the delay between two attempts to listen.
	listenRetryDelay = 20 * time.Millisecond
)

// outage is the state of a proxy with respect to crashes of its target.
type outage struct {
	crashed bool // between Crash and Restart
	silent  bool // connections are held open
	closed  bool // by Close
}

// Crash ends the connections, as a crash of the target does, and refuses or holds new ones until Restart.
func (p *Proxy) Crash(v CrashView) {
	p.mu.Lock()
	p.outage.crashed, p.outage.silent = true, v == CrashSilent

	if v != CrashSilent && p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()

	switch v {
	case CrashReset:
		p.ResetOpen()
	case CrashEnd:
		p.closeOpen()
	case CrashSilent:
		p.BlackholeOpen(ToTarget)
		p.BlackholeOpen(ToClient)
	}
}

// closeOpen closes the open connections.
func (p *Proxy) closeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for n := range p.conns {
		_ = n.Close()
	}
}

// Restart accepts connections again, at the same address. It resets those that a silent crash has left open.
func (p *Proxy) Restart() error {
	for start := time.Now(); ; time.Sleep(listenRetryDelay) {
		err := p.listen()
		if err == nil {
			p.ResetOpen()
		}

		if err == nil || time.Since(start) > listenTimeout {
			return err
		}
	}
}

// listen listens at the address of the proxy, unless it does already or is closed.
func (p *Proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.listener == nil && !p.outage.closed {
		l, err := net.Listen("tcp", p.address) //nolint:noctx // listens at once
		if err != nil {
			return err
		}

		p.listener = l
		go p.serve(l)
	}

	p.outage.crashed, p.outage.silent = false, false

	return nil
}

// isSilent reports whether the target is down after a silent crash.
func (p *Proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.outage.silent
}

// holdSilent holds a new connection until it is closed if the target is down after a silent crash. Otherwise it returns
// false.
func (p *Proxy) holdSilent(c net.Conn) bool {
	p.mu.Lock()
	silent := p.outage.silent

	if silent {
		p.conns[c] = true
	}
	p.mu.Unlock()

	if !silent {
		return false
	}

	_, _ = io.Copy(io.Discard, c) // ends with an error when the restart resets the connection

	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.conns, c)

	return true
}
