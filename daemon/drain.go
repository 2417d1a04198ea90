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

// defaultDrainMost bounds the shutdown when the settings say nothing, as in the demo.
const defaultDrainMost = 30 * time.Second

// callers is the HTTP server for callers.
type callers struct {
	server *http.Server
	daemon *Daemon
}

// Close stops accepting and waits for the requests in flight.
func (c callers) Close(ctx context.Context) error {
	if err := c.server.Shutdown(ctx); err != nil {
		c.daemon.logger.Warn().Err(err).Msg("requests were cut off at the end of the shutdown")

		return c.server.Close()
	}

	return nil
}

// serveCallers serves callers until the shutdown is over.
func (d *Daemon) serveCallers(l net.Listener, h http.Handler) {
	most := d.settings.DrainMost.Value()
	if most == 0 {
		most = defaultDrainMost
	}

	s := d.newServer(nil) // the handler needs d.drain, which needs the server
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Connections then end between two requests, which closing idle ones could not ensure.
		if d.drain.Phase() != drain.Serving {
			w.Header().Set("Connection", "close")
		}

		h.ServeHTTP(w, r)
	})
	d.drain = controller.NewDrain(d.settings.DrainWait.Value(), most, callers{server: s, daemon: d}, d.logger)

	d.group.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}

		<-d.finished // Serve returns when the shutdown begins to wait for the requests in flight

		return nil
	}, func(error) { d.finish(); _ = s.Close() })
}

// finish ends the wait for the shutdown.
func (d *Daemon) finish() { d.finishOnce.Do(func() { close(d.finished) }) }

// runDrain waits until ctx ends and then shuts the daemon down.
func (d *Daemon) runDrain(ctx, group context.Context) error {
	select {
	case <-group.Done(): // another actor failed
		return nil
	case <-ctx.Done():
	}

	return trace.Wrap(d.drain.Run())
}
