// Package peer carries net/rpc calls between daemons over authenticated TCP connections.
package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	// maxConns bounds all connections. At 340 daemons each has one to every other.
	maxConns = 2048
	// maxConnsPerAddress leaves room for a failure domain of 43 daemons behind one IP number, as on loopback, each
	// with a connection that is being replaced.
	maxConnsPerAddress = 128
	// maxHandshakes bounds connections that have not proved a key. Each takes a few hundred bytes for at most
	// handshakeTimeout.
	maxHandshakes = 256
	// acceptDelay is the wait after a failure to accept, such as too many open files.
	acceptDelay = 50 * time.Millisecond
)

// Server answers the calls of other daemons.
type Server struct {
	keys   Keys
	rpc    *rpc.Server
	counts counts

	mu         sync.Mutex
	conns      map[net.Conn]string // IP number of each connection
	addresses  map[string]int
	handshakes int
	closed     bool
	listen     net.Listener
}

// NewServer returns a server that accepts peers which prove one of the keys.
func NewServer(k Keys) *Server {
	return &Server{keys: k, rpc: rpc.NewServer(), conns: map[net.Conn]string{}, addresses: map[string]int{}}
}

// Register makes the methods of v callable as NAME.METHOD, in the form that net/rpc asks for.
func (s *Server) Register(name string, v any) error {
	s.counts.mu.Lock()
	if s.counts.services == nil {
		s.counts.services = map[string]int64{}
	}

	s.counts.services[name] = 0
	s.counts.mu.Unlock()

	return s.rpc.RegisterName(name, v)
}

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listen = l
	closed := s.closed
	s.mu.Unlock()

	if closed {
		_ = l.Close()
	}

	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}

		if err != nil {
			time.Sleep(acceptDelay)

			continue
		}

		if !s.add(c) {
			s.counts.refusedLimit.Add(1)

			_ = c.Close()

			continue
		}

		go s.serve(c)
	}
}

// Close ends Serve and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.closed = true

	if s.listen != nil {
		_ = s.listen.Close()
	}

	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serve(c net.Conn) {
	defer s.remove(c)
	defer func() { _ = c.Close() }()

	err := s.keys.accept(c)

	s.mu.Lock()
	s.handshakes--
	s.mu.Unlock()

	if err != nil {
		s.counts.refusedKey.Add(1)

		return
	}

	s.counts.accepted.Add(1)
	s.rpc.ServeCodec(&serverCodec{frames: newFrames(c, &s.counts)})
}

// add reports whether the bounds allow another connection.
func (s *Server) add(c net.Conn) bool {
	a, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		a = c.RemoteAddr().String()
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.closed || len(s.conns) >= maxConns || s.handshakes >= maxHandshakes || s.addresses[a] >= maxConnsPerAddress {
		return false
	}

	s.conns[c] = a
	s.addresses[a]++
	s.handshakes++

	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.conns[c]
	delete(s.conns, c)

	if s.addresses[a]--; s.addresses[a] <= 0 {
		delete(s.addresses, a)
	}
}
