package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/drain"
)

// defaultDrainTimeout bounds the whole shutdown if the settings have no bound or a bound of 0, as in the demo.
const defaultDrainTimeout = 30 * time.Second

// callerServer closes the HTTP server for callers at shutdown.
type callerServer struct {
	server *http.Server
	daemon *Daemon
}

// Close stops accepting connections and waits for the requests in flight. When ctx ends first, it cuts them off.
func (c callerServer) Close(ctx context.Context, _ time.Time) error {
	if err := c.server.Shutdown(ctx); err != nil {
		c.daemon.logger.Warn().Err(err).Msg("shutdown timed out, cutting off the requests in flight")

		return c.server.Close()
	}

	return nil
}

// addCallerServer builds the shutdown controller and adds the HTTP server for callers as an actor, which ends after the
// shutdown.
func (d *Daemon) addCallerServer(l net.Listener, h http.Handler) {
	timeout := d.settings.DrainMost.Value()
	if timeout == 0 {
		timeout = defaultDrainTimeout
	}

	s := d.newServer(nil) // the handler needs d.drain, which needs the server
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The connection closes after this response. Closing idle connections instead could cut off an arriving
		// request.
		if d.drain.Phase() != drain.Serving {
			w.Header().Set("Connection", "close")
		}

		h.ServeHTTP(w, r)
	})
	d.drain = controller.NewDrain(d.settings.DrainWait.Value(), timeout, callerServer{server: s, daemon: d}, d.logger)

	d.group.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}

		<-d.shutdownDone // Serve returns as soon as the server stops accepting, while requests are in flight

		return nil
	}, func(error) { d.endShutdown(); _ = s.Close() })
}

// endShutdown lets the actor of the server for callers end. It may be called more than once.
func (d *Daemon) endShutdown() { d.shutdownOnce.Do(func() { close(d.shutdownDone) }) }

// runDrain shuts the daemon down when ctx ends. It returns without a shutdown when the group ends first.
func (d *Daemon) runDrain(ctx, group context.Context) error {
	select {
	case <-group.Done(): // another actor returned
		return nil
	case <-ctx.Done():
	}

	return trace.Wrap(d.drain.Run())
}
