package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/agategap/agategap/shard"
)

// connShardCount is the number of shards of the open connections. Each shard has its own lock.
const connShardCount = 16

const (
	// dialTimeout bounds the TCP connect of a connection.
	dialTimeout = time.Second
	// callTimeout bounds a call if its context has no deadline.
	callTimeout = 30 * time.Second
	// unresponsiveTimeout is how long a call must have waited, without any message on its connection since it started,
	// before its expiry counts as a sign that the connection no longer works. The network takes 1 to 2 ms.
	unresponsiveTimeout = 250 * time.Millisecond
)

// ErrNotSent means that no byte of the call left this daemon, so that the call had no effect.
var ErrNotSent = errors.New("the call was not sent to the peer")

// Client calls other daemons over one connection to each. It is safe for concurrent use.
type Client struct {
	keys     Keys
	counters counters
	dials    singleflight.Group
	closed   atomic.Bool
	tls      *tls.Config
	shards   [connShardCount]connShard
}

type connShard struct {
	mu    sync.Mutex
	conns map[string]*conn
}

// conn is a connection with the number of calls in flight on it.
type conn struct {
	rpc     *rpc.Client
	framed  *framedConn
	calls   atomic.Int64
	retired atomic.Bool // not used for new calls; closed after its last call
}

// NewClient returns a client without connections. It connects at the first call to an address.
func NewClient(k Keys) *Client { return &Client{keys: k} }

// UseTLS makes the client encrypt its connections with t. It must be called before the first call.
func (c *Client) UseTLS(t *tls.Config) { c.tls = t }

// Call calls method, in the form NAME.METHOD, at address, an IP address with a port. Without a deadline in ctx, the
// call has callTimeout. If ctx ends first, the error is that of ctx, and the call may still take effect. If no message
// arrived on the connection during a call that lasted unresponsiveTimeout or longer, new calls get a new connection,
// while calls that wait on the old one keep it until their own deadlines. ErrNotSent means that the call had no effect.
// reply must not be read after an error.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		x, stop := context.WithTimeout(ctx, callTimeout)
		defer stop()

		ctx = x
	}

	err := c.callOnce(ctx, address, method, args, reply)
	if errors.Is(err, ErrNotSent) && errors.Is(err, rpc.ErrShutdown) {
		err = c.callOnce(ctx, address, method, args, reply) // the peer closed an idle connection
	}

	return err
}

func (c *Client) callOnce(ctx context.Context, address, method string, args, reply any) error {
	h := &c.shards[shard.Index(address, connShardCount)]

	r, err := c.getConn(ctx, h, address)
	if err != nil {
		c.counters.unreachable.Add(1)

		return errors.Join(ErrNotSent, err)
	}

	r.calls.Add(1)
	defer r.endCall()

	start := time.Now()
	o := &outgoingCall{args: args}
	d := r.rpc.Go(method, o, reply, make(chan *rpc.Call, 1))

	select {
	case <-d.Done:
	case <-ctx.Done():
		c.counters.expired.Add(1)

		if time.Since(start) >= unresponsiveTimeout && r.framed.lastReceived.Load() < start.UnixNano() {
			c.counters.replaced.Add(1)
			h.retire(address, r)
		}

		return ctx.Err()
	}

	if errors.Is(d.Error, rpc.ErrShutdown) {
		h.retire(address, r)

		if o.sent {
			return d.Error
		}

		return errors.Join(ErrNotSent, d.Error)
	}

	var s rpc.ServerError
	if d.Error != nil && !errors.As(d.Error, &s) {
		h.retire(address, r)
	}

	return d.Error
}

// endCall counts the end of a call, and closes a retired connection after its last call.
func (c *conn) endCall() {
	if c.calls.Add(-1) == 0 && c.retired.Load() {
		_ = c.rpc.Close()
	}
}

// Close closes all connections. Further calls fail with ErrNotSent.
func (c *Client) Close() {
	c.closed.Store(true)

	for i := range c.shards {
		h := &c.shards[i]

		h.mu.Lock()
		l := h.conns
		h.conns = nil
		h.mu.Unlock()

		for _, r := range l {
			_ = r.rpc.Close()
		}
	}
}

// getConn returns the open connection to an address, or opens one. Concurrent calls to an address share one dial.
func (c *Client) getConn(ctx context.Context, h *connShard, address string) (*conn, error) {
	if r := h.get(address); r != nil {
		return r, nil
	}

	if c.closed.Load() {
		return nil, net.ErrClosed
	}

	d := c.dials.DoChan(address, func() (any, error) {
		if r := h.get(address); r != nil {
			return r, nil
		}

		return c.dial(h, address)
	})

	select {
	case v := <-d:
		if v.Err != nil {
			return nil, v.Err
		}

		return v.Val.(*conn), nil //nolint:forcetypeassert // the function above returns nothing else
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens a connection. It does not depend on the context of a call, because other calls may wait for it as well.
func (c *Client) dial(h *connShard, address string) (*conn, error) {
	c.counters.dialed.Add(1)

	n, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}

	if c.tls != nil {
		n = tls.Client(n, c.tls)
	}

	if err := c.keys.clientHandshake(n); err != nil {
		_ = n.Close()

		return nil, err
	}

	f := newFramedConn(n, &c.counters)
	r := &conn{rpc: rpc.NewClientWithCodec(clientCodec{f}), framed: f}

	h.put(address, r)

	if c.closed.Load() {
		h.retire(address, r)

		return nil, net.ErrClosed
	}

	return r, nil
}

func (h *connShard) get(address string) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.conns[address]
}

func (h *connShard) put(address string, r *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.conns == nil {
		h.conns = map[string]*conn{}
	}

	h.conns[address] = r
}

// retire removes a connection from use and closes it after its last call.
func (h *connShard) retire(address string, r *conn) {
	h.mu.Lock()
	if h.conns[address] == r {
		delete(h.conns, address)
	}
	h.mu.Unlock()

	r.retired.Store(true)

	if r.calls.Load() == 0 {
		_ = r.rpc.Close()
	}
}
