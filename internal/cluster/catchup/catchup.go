// Package catchup has the controller that takes a newer version of the routes from other daemons. A daemon reads the
// routes from the log, but its own connection to the log may be slow, rejected or silent while other daemons have read
// the version already. Heartbeats tell which version each daemon has in force.
package catchup

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

const (
	// logGracePeriod is the time that the log has to deliver a version before it is requested from another daemon.
	// Daemons that can read the log have a version within some tens of milliseconds of each other.
	logGracePeriod = 200 * time.Millisecond
	// requestTimeout bounds one request to another daemon. The next heartbeat of any daemon leads to another one.
	requestTimeout = 500 * time.Millisecond
)

// Routes holds the version of the routes in force.
type Routes interface {
	// Version returns the number of the version in force; 0 if there is none.
	Version() int64
	// Encoded returns the version in force as it was read; nil if there is none.
	Encoded() []byte
	// Adopt puts an encoded version of another daemon in force if it is newer.
	Adopt(b []byte) error
}

// PeerClient calls net/rpc methods of other daemons.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Counter adds to a counter of the metrics.
type Counter interface {
	Count(name string, n int64)
}

// Controller requests newer versions from other daemons, and serves such requests. It is safe for concurrent use.
type Controller struct {
	routes  Routes
	client  PeerClient
	counter Counter
	logger  zerolog.Logger
	offers  chan offer
}

// offer is a newer version that another daemon has in force.
type offer struct {
	vm, address string
	version     int64
}

// New returns a controller. Run makes its requests.
func New(r Routes, c PeerClient, m Counter, z zerolog.Logger) *Controller {
	return &Controller{routes: r, client: c, counter: m, logger: z, offers: make(chan offer, 1)}
}

// Version returns the number of the version in force, which heartbeats carry; 0 if there is none.
func (c *Controller) Version() int64 { return c.routes.Version() }

// HandleVersion records that the daemon of a VM, which serves other daemons at an address, has a version in force. It
// does not block: while Run handles another offer, a later heartbeat repeats this one.
func (c *Controller) HandleVersion(vm, address string, version int64) {
	if version <= c.routes.Version() {
		return
	}

	select {
	case c.offers <- offer{vm: vm, address: address, version: version}:
	default:
	}
}

// Run requests the versions that other daemons offer until ctx ends. It returns nil.
func (c *Controller) Run(ctx context.Context) error {
	for {
		var o offer

		select {
		case o = <-c.offers:
		case <-ctx.Done():
			return nil
		}

		if o.version <= c.routes.Version() {
			continue
		}

		select {
		case <-time.After(logGracePeriod):
		case <-ctx.Done():
			return nil
		}

		if o.version > c.routes.Version() {
			c.request(ctx, o)
		}
	}
}

// request requests the routes of the daemon that made an offer.
func (c *Controller) request(ctx context.Context, o offer) {
	x, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()

	var a RoutesReply

	before := c.routes.Version()

	err := c.client.Call(x, o.address, "Routes.Newer", RoutesArgs{Version: before}, &a)
	if err == nil && len(a.Routes) > 0 {
		err = c.routes.Adopt(a.Routes)
	}

	if err == nil && c.routes.Version() == before {
		return // the daemon has restarted since and has no routes yet
	}

	c.counter.Count("config_catch_ups", 1)

	e := c.logger.Info()
	if err != nil {
		e = c.logger.Warn().Err(err)
	}

	e.Str("event", "routes_taken").Str("peer", o.vm).Int64("before", before).Int64("offered", o.version).Int64("version", c.routes.Version()).
		Msg("requested a newer version of the routes from another daemon")
}

// RoutesArgs are the arguments of the net/rpc method Newer.
type RoutesArgs struct {
	Version int64 `msgpack:"version"` // version of the routes that the sender has; 0 for none
}

// RoutesReply is the reply of the net/rpc method Newer.
type RoutesReply struct {
	Routes []byte `msgpack:"routes"` // encoded routes; empty unless they are newer than those of the sender
}

// Newer returns the routes in force if they are newer than those of the sender. It is a net/rpc method.
func (c *Controller) Newer(q RoutesArgs, a *RoutesReply) error {
	if c.routes.Version() > q.Version {
		a.Routes = c.routes.Encoded()
	}

	return nil
}
