package target

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/agategap/agategap/shard"
)

const (
	// connPoolShards is the number of shards of the idle connections.
	connPoolShards = 16
	// idleConnTTL is how long a connection is kept when the target names no time.
	idleConnTTL = 20 * time.Second
	// idleTTLMargin is taken off the time that a target names, so that it does not close a connection while a request is
	// on its way.
	idleTTLMargin = 500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections that went silent for good.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// closeIdleInterval bounds how often all idle connections are closed, as each costs a new one.
	closeIdleInterval = 3 * time.Second
	// readBuffer holds several events of a stream.
	readBuffer = 4 << 10
)

// ConnPool keeps connections to targets between requests. The zero value is not usable; use NewConns.
type ConnPool struct {
	dialer     net.Dialer
	shards     [connPoolShards]idleShard
	lastCloseIdle atomic.Int64 // Unix nanoseconds
}

type idleShard struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// Conn is a connection to a target. It counts the bytes that were written, which tells whether a request can have run.
type Conn struct {
	net.Conn
	reader      *bufio.Reader
	written int64
	completedRequests    int
	expiresAt   time.Time
}

// NewConnPool returns a keeper whose connections are set up within a time.
func NewConnPool(dial time.Duration) *ConnPool {
	return &ConnPool{dialer: net.Dialer{Timeout: dial, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}}
}

// Write counts the bytes that left.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)

	return n, err
}

// Written returns the number of bytes written since the connection was taken.
func (c *Conn) Written() int64 { return c.written }

// Reader returns the buffered reader of the connection.
func (c *Conn) Reader() *bufio.Reader { return c.reader }

// IsReused reports whether the connection served an earlier request.
func (c *Conn) IsReused() bool { return c.completedRequests > 0 }

// Get returns an idle connection to an address, or a new one. With fresh it is always a new one.
func (c *ConnPool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	h := &c.shards[shard.Index(address, connPoolShards)]

	for !fresh {
		k := h.pop(address)
		if k == nil {
			break
		}

		if k.isReusable() {
			k.written = 0

			return k, nil
		}

		_ = k.Close()
	}

	n, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	return &Conn{Conn: n, reader: bufio.NewReaderSize(n, readBuffer)}, nil
}

// Put keeps a connection whose exchange is over. keep is the time that the target named; 0 when it named none.
func (c *ConnPool) Put(address string, k *Conn, keep time.Duration) {
	d := idleConnTTL
	if keep > 0 {
		d = min(d, keep-idleTTLMargin)
	}

	if d <= 0 || k.reader.Buffered() > 0 {
		_ = k.Close()

		return
	}

	k.completedRequests++
	k.expiresAt = time.Now().Add(d)

	h := &c.shards[shard.Index(address, connPoolShards)]

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.idle == nil {
		h.idle = map[string][]*Conn{}
	}

	h.idle[address] = append(h.idle[address], k)
}

// CloseExpired closes connections that have been idle for too long.
func (c *ConnPool) CloseExpired(now time.Time) {
	for i := range c.shards {
		h := &c.shards[i]

		var old []*Conn

		h.mu.Lock()
		for a, l := range h.idle {
			rest := l[:0]

			for _, k := range l {
				if now.After(k.expiresAt) {
					old = append(old, k)
				} else {
					rest = append(rest, k)
				}
			}

			if len(rest) == 0 {
				delete(h.idle, a)
			} else {
				h.idle[a] = rest
			}
		}
		h.mu.Unlock()

		for _, k := range old {
			_ = k.Close()
		}
	}
}

// CloseIdle closes all idle connections, as one that was kept went silent and others may have too. It does so at most
// once in distrustEvery.
func (c *ConnPool) CloseIdle(now time.Time) {
	last := c.lastCloseIdle.Load()
	if now.UnixNano()-last < int64(closeIdleInterval) || !c.lastCloseIdle.CompareAndSwap(last, now.UnixNano()) {
		return
	}

	for i := range c.shards {
		h := &c.shards[i]

		h.mu.Lock()
		m := h.idle
		h.idle = nil
		h.mu.Unlock()

		for _, l := range m {
			for _, k := range l {
				_ = k.Close()
			}
		}
	}
}

// CloseIdleTo closes the idle connections to an address.
func (c *ConnPool) CloseIdleTo(address string) {
	h := &c.shards[shard.Index(address, connPoolShards)]

	h.mu.Lock()
	l := h.idle[address]
	delete(h.idle, address)
	h.mu.Unlock()

	for _, k := range l {
		_ = k.Close()
	}
}

// pop returns the connection that was used last, which is the least likely to be closed at the other end.
func (h *idleShard) pop(address string) *Conn {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.idle[address]
	if len(l) == 0 {
		return nil
	}

	k := l[len(l)-1]
	h.idle[address] = l[:len(l)-1]

	return k
}

// isReusable reports whether an idle connection is open and nothing was received on it. What a target sends without being
// asked belongs to no request.
func (c *Conn) isReusable() bool {
	if time.Now().After(c.expiresAt) || c.reader.Buffered() > 0 {
		return false
	}

	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}

	r, err := s.SyscallConn()
	if err != nil {
		return false
	}

	quiet := false

	err = r.Read(func(fd uintptr) bool {
		var b [1]byte

		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK

		return true
	})

	return err == nil && quiet
}
