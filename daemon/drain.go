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

// defaultDrainTimeout bounds the shutdown when the settings say nothing, as in the demo.
const defaultDrainTimeout = 30 * time.Second

// callerServer is the HTTP server for callers.
type callerServer struct {
	server *http.Server
	daemon *Daemon
}

// Close stops accepting and waits for the requests in flight.
func (c callerServer) Close(ctx context.Context) error {
	if err := c.server.Shutdown(ctx); err != nil {
		c.daemon.logger.Warn().Err(err).Msg("requests were cut off at the end of the shutdown")

		return c.server.Close()
	}

	return nil
}

// addCallerServer serves callers until the shutdown is over.
func (d *Daemon) addCallerServer(l net.Listener, h http.Handler) {
	most := d.settings.DrainMost.Value()
	if most == 0 {
		most = defaultDrainTimeout
	}

	s := d.newServer(nil) // the handler needs d.drain, which needs the server
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Connections then end between two requests, which closing idle ones could not ensure.
		if d.drain.Phase() != drain.Serving {
			w.Header().Set("Connection", "close")
		}

		h.ServeHTTP(w, r)
	})
	d.drain = controller.NewDrain(d.settings.DrainWait.Value(), most, callerServer{server: s, daemon: d}, d.logger)

	d.group.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}

		<-d.shutdownDone // Serve returns when the shutdown begins to wait for the requests in flight

		return nil
	}, func(error) { d.endShutdown(); _ = s.Close() })
}

// endShutdown ends the wait for the shutdown.
func (d *Daemon) endShutdown() { d.shutdownOnce.Do(func() { close(d.shutdownDone) }) }

// runDrain waits until ctx ends and then shuts the daemon down.
func (d *Daemon) runDrain(ctx, group context.Context) error {
	select {
	case <-group.Done(): // another actor failed
		return nil
	case <-ctx.Done():
	}

	return trace.Wrap(d.drain.Run())
}
