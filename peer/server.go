// Package peer carries net/rpc calls between daemons over TCP connections. The two sides of a connection authenticate
// each other with a shared key. Calls are encoded by package wire.
package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	// maxConns bounds the open connections. At 340 daemons, each has one connection to every other.
	maxConns = 2048
	// maxConnsPerAddress bounds the connections from one IP address. It leaves room for a failure domain of 43 daemons
	// behind one address, as on loopback, each with a connection that is being replaced.
	maxConnsPerAddress = 128
	// maxHandshakes bounds the connections that have not proved a key yet. Each takes a few hundred bytes for at most
	// handshakeTimeout.
	maxHandshakes = 256
	// acceptDelay is the delay after a failure to accept a connection, such as too many open files.
	acceptDelay = 50 * time.Millisecond
)

// Server serves the calls of other daemons. It is safe for concurrent use.
type Server struct {
	keys     Keys
	rpc      *rpc.Server
	counters counters

	mu              sync.Mutex
	conns           map[net.Conn]string // remote IP address of each connection
	connsPerAddress map[string]int
	handshakes      int // connections that have not proved a key yet
	closed          bool
	listener        net.Listener
}

// NewServer returns a server without services that accepts peers that prove one of the keys.
func NewServer(k Keys) *Server {
	return &Server{keys: k, rpc: rpc.NewServer(), conns: map[net.Conn]string{}, connsPerAddress: map[string]int{}}
}

// Register makes the methods of v that have the form required by net/rpc callable as NAME.METHOD. The error is that of
// rpc.Server.RegisterName, for example if the name is in use.
func (s *Server) Register(name string, v any) error {
	s.counters.mu.Lock()
	if s.counters.serviceBytes == nil {
		s.counters.serviceBytes = map[string]int64{}
	}

	s.counters.serviceBytes[name] = 0
	s.counters.mu.Unlock()

	return s.rpc.RegisterName(name, v)
}

// Serve accepts connections on l until Close is called and then returns nil. If the server is already closed, it closes
// l. A server serves one listener.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
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
			s.counters.refusedLimit.Add(1)

			_ = c.Close()

			continue
		}

		go s.serveConn(c)
	}
}

// Close makes Serve return and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.closed = true

	if s.listener != nil {
		_ = s.listener.Close()
	}

	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serveConn(c net.Conn) {
	defer s.remove(c)
	defer func() { _ = c.Close() }()

	err := s.keys.serverHandshake(c)

	s.mu.Lock()
	s.handshakes--
	s.mu.Unlock()

	if err != nil {
		s.counters.refusedKey.Add(1)

		return
	}

	s.counters.accepted.Add(1)
	s.rpc.ServeCodec(&serverCodec{framedConn: newFramedConn(c, &s.counters)})
}

// add registers a connection that starts its handshake. It reports false if the server is closed or a limit is reached.
func (s *Server) add(c net.Conn) bool {
	a, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		a = c.RemoteAddr().String()
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.closed || len(s.conns) >= maxConns || s.handshakes >= maxHandshakes || s.connsPerAddress[a] >= maxConnsPerAddress {
		return false
	}

	s.conns[c] = a
	s.connsPerAddress[a]++
	s.handshakes++

	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.conns[c]
	delete(s.conns, c)

	if s.connsPerAddress[a]--; s.connsPerAddress[a] <= 0 {
		delete(s.connsPerAddress, a)
	}
}
