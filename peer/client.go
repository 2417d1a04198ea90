package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

// connShards is the number of shards of the open connections.
const connShards = 16

// dialTimeout bounds the set-up of a connection.
const dialTimeout = time.Second

// ErrNotSent means that the call never left this daemon.
var ErrNotSent = errors.New("the peer could not be reached")

// Client calls other daemons. It keeps one connection to each.
type Client struct {
	keys   Keys
	tls    *tls.Config
	shards [connShards]connShard
}

type connShard struct {
	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewClient returns a client.
func NewClient(k Keys) *Client { return &Client{keys: k} }

// UseTLS encrypts the connections. It is called before the first call.
func (c *Client) UseTLS(t *tls.Config) { c.tls = t }

// Call calls NAME.METHOD at an IP number with a port. When ctx ends first the call may still take effect, and the
// connection is given up, as it may be silent for good. ErrNotSent means that it cannot have had any effect.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	h := &c.shards[shard.Index(address, connShards)]

	r, err := c.conn(ctx, h, address)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}

	d := r.Go(method, args, reply, make(chan *rpc.Call, 1))

	select {
	case <-d.Done:
	case <-ctx.Done():
		h.drop(address, r)

		return ctx.Err()
	}

	if errors.Is(d.Error, rpc.ErrShutdown) {
		h.drop(address, r)

		return errors.Join(ErrNotSent, d.Error)
	}

	var s rpc.ServerError
	if d.Error != nil && !errors.As(d.Error, &s) {
		h.drop(address, r)
	}

	return d.Error
}

// Close closes all connections.
func (c *Client) Close() {
	for i := range c.shards {
		h := &c.shards[i]

		h.mu.Lock()
		for _, r := range h.conns {
			_ = r.Close()
		}

		h.conns = nil
		h.mu.Unlock()
	}
}

// conn returns the open connection to an address or makes one.
func (c *Client) conn(ctx context.Context, h *connShard, address string) (*rpc.Client, error) {
	if r := h.get(address); r != nil {
		return r, nil
	}

	n, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	if c.tls != nil {
		n = tls.Client(n, c.tls)
	}

	if err := c.keys.dial(n); err != nil {
		_ = n.Close()

		return nil, err
	}

	return h.put(address, rpc.NewClientWithCodec(clientCodec{newFrames(n)})), nil
}

func (h *connShard) get(address string) *rpc.Client {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.conns[address]
}

// put stores a connection, or closes it when another call was faster.
func (h *connShard) put(address string, r *rpc.Client) *rpc.Client {
	h.mu.Lock()
	defer h.mu.Unlock()

	if o := h.conns[address]; o != nil {
		_ = r.Close()

		return o
	}

	if h.conns == nil {
		h.conns = map[string]*rpc.Client{}
	}

	h.conns[address] = r

	return r
}

func (h *connShard) drop(address string, r *rpc.Client) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.conns[address] == r {
		delete(h.conns, address)
	}

	_ = r.Close()
}
