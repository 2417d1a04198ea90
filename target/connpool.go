package target

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/agategap/agategap/shard"
)

const (
	// connPoolShardCount is the number of shards of a ConnPool.
	connPoolShardCount = 16
	// idleConnTTL is how long an idle connection is kept, unless the target announced a shorter time.
	idleConnTTL = 20 * time.Second
	// idleTTLMargin is subtracted from the time that a target announced, so that it does not close a connection while a
	// request is in transit.
	idleTTLMargin = 500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive parameters, which detect connections that
	// are dead without having been closed.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// closeIdleInterval is the minimum time between two calls of CloseIdle that take effect, as each closed connection has
	// to be set up again.
	closeIdleInterval = 3 * time.Second
	// readBuffer is the size in bytes of a read buffer. It holds several events of a stream.
	readBuffer = 4 << 10
)

// ConnPool keeps idle connections to targets between requests. It is safe for concurrent use. The zero value is not
// usable; use NewConnPool.
type ConnPool struct {
	dialer        net.Dialer
	shards        [connPoolShardCount]idleShard
	lastCloseIdle atomic.Int64 // last call of CloseIdle that took effect, Unix nanoseconds
}

type idleShard struct {
	mu   sync.Mutex
	idle map[string][]*Conn // by address; the most recently used connection is the last
}

// Conn is a connection to a target. It counts the bytes written, which shows whether a request may have run. It is for
// use by one goroutine at a time, except for Close.
type Conn struct {
	net.Conn
	reader            *bufio.Reader
	readable          int64 // bytes that may still be read while limited
	limited           bool
	written           int64 // bytes since Get returned the connection
	completedRequests int
	expiresAt         time.Time // end of its time in the pool
}

// NewConnPool returns an empty pool. dialTimeout bounds the set-up of a connection.
func NewConnPool(dialTimeout time.Duration) *ConnPool {
	return &ConnPool{dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}}
}

// Write writes to the connection and counts the bytes written.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)

	return n, err
}

// errReadLimit means that more bytes arrived than LimitReads allows.
var errReadLimit = errors.New("the target sent more bytes than expected")

// LimitReads makes reads from the connection fail after n more bytes, until UnlimitReads is called. Bytes in the buffer
// of Reader do not count.
func (c *Conn) LimitReads(n int64) { c.limited, c.readable = true, n }

// UnlimitReads ends the limit of LimitReads.
func (c *Conn) UnlimitReads() { c.limited = false }

// Read reads from the connection within the limit of LimitReads.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.limited {
		return c.Conn.Read(b)
	}

	if c.readable <= 0 {
		return 0, errReadLimit
	}

	n, err := c.Conn.Read(b[:min(int64(len(b)), c.readable)])
	c.readable -= int64(n)

	return n, err
}

// Written returns the number of bytes written since Get returned the connection. If it is 0, the request cannot have
// run.
func (c *Conn) Written() int64 { return c.written }

// Reader returns the buffered reader of the connection. Responses must be read from it and not from the connection, as
// it may hold bytes that were received already.
func (c *Conn) Reader() *bufio.Reader { return c.reader }

// IsReused reports whether the connection has served an earlier request.
func (c *Conn) IsReused() bool { return c.completedRequests > 0 }

// Get returns an idle connection to an address, or a new one if there is none or forceNew is set. It closes idle
// connections that turn out not to be reusable. The caller returns the connection with Put or closes it.
func (c *ConnPool) Get(ctx context.Context, address string, forceNew bool) (*Conn, error) {
	h := &c.shards[shard.Index(address, connPoolShardCount)]

	for !forceNew {
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

	k := &Conn{Conn: n}
	k.reader = bufio.NewReaderSize(k, readBuffer)

	return k, nil
}

// Put returns a connection to the pool after its response was read to the end. keepAlive is the time for which the
// target announced to keep it open; 0 if it announced none. A connection with unread bytes is closed instead.
func (c *ConnPool) Put(address string, k *Conn, keepAlive time.Duration) {
	d := idleConnTTL
	if keepAlive > 0 {
		d = min(d, keepAlive-idleTTLMargin)
	}

	if d <= 0 || k.reader.Buffered() > 0 {
		_ = k.Close()

		return
	}

	k.completedRequests++
	k.expiresAt = time.Now().Add(d)

	h := &c.shards[shard.Index(address, connPoolShardCount)]

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.idle == nil {
		h.idle = map[string][]*Conn{}
	}

	h.idle[address] = append(h.idle[address], k)
}

// CloseExpired closes connections that have been idle for too long. It has to be called regularly, as nothing else does
// so for addresses that are not used any more.
func (c *ConnPool) CloseExpired(now time.Time) {
	for i := range c.shards {
		h := &c.shards[i]

		var expired []*Conn

		h.mu.Lock()
		for a, l := range h.idle {
			kept := l[:0]

			for _, k := range l {
				if now.After(k.expiresAt) {
					expired = append(expired, k)
				} else {
					kept = append(kept, k)
				}
			}

			if len(kept) == 0 {
				delete(h.idle, a)
			} else {
				h.idle[a] = kept
			}
		}
		h.mu.Unlock()

		for _, k := range expired {
			_ = k.Close()
		}
	}
}

// CloseIdle closes all idle connections. It is for use after a reused connection turned out to be dead, as others may
// be dead too. It has no effect within closeIdleInterval of the last call that had one.
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

// CloseIdleTo closes all idle connections to an address, such as that of a target that refuses connections.
func (c *ConnPool) CloseIdleTo(address string) {
	h := &c.shards[shard.Index(address, connPoolShardCount)]

	h.mu.Lock()
	l := h.idle[address]
	delete(h.idle, address)
	h.mu.Unlock()

	for _, k := range l {
		_ = k.Close()
	}
}

// pop removes and returns the connection that was used most recently, as the target is least likely to have closed it;
// nil if there is none.
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

// isReusable reports whether an idle connection is open and has received nothing. Bytes that a target sends without a
// request belong to no response, so that a connection with such bytes cannot be used.
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

	hasNoData := false

	err = r.Read(func(fd uintptr) bool {
		var b [1]byte

		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasNoData = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK

		return true
	})

	return err == nil && hasNoData
}
