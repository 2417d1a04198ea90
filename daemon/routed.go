package daemon

import (
	"cmp"
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/bootstrap"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/drain"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/internal/cluster/catchup"
	"github.com/agategap/agategap/internal/cluster/leaving"
	"github.com/agategap/agategap/internal/serve/quarantine"
	"github.com/agategap/agategap/keyed"
	"github.com/agategap/agategap/logging"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/operator"
	"github.com/agategap/agategap/peer"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/slots"
)

// RoutedDaemon is the process of an entry VM that routes requests by host and path, with the protocols of the
// platform's clients and workers.
type RoutedDaemon struct {
	settings  settings.Daemon
	logger    zerolog.Logger
	group     run.Group
	metrics   *metrics
	listeners []net.Listener

	routes     currentRoutes
	targets    fleet.Registry
	mesh       *mesh.Mesh
	quarantine *quarantine.Controller
	slotOwner  *slots.Owner
	batches    *batches.Batches
	runner     *batches.Runner
	log        *keyed.RelayedLog
	server     *peer.Server
	client     *peer.Client
	drain      *controller.Drain
	logLimiter logging.Limiter
	inFlight   logging.InFlight
}

// callerIdleTimeout bounds the time between two requests on a connection of a caller. It is longer than the callers of
// the known deployments keep idle connections.
const callerIdleTimeout = 2 * time.Minute

// powerPerCore converts processor time from cores to the unit of mesh.Peer.Power, thousandths of a core.
const powerPerCore = 1000

// shutdownMargin is subtracted from the configured bound on the shutdown, because the platform kills the process when
// that bound has passed.
const shutdownMargin = 500 * time.Millisecond

// NewRoutedDaemon returns a daemon whose listeners are open, so that an invalid address is reported before any actor
// runs.
func NewRoutedDaemon(s settings.Daemon, z zerolog.Logger) (*RoutedDaemon, error) {
	d := &RoutedDaemon{settings: s, logger: z.With().Str("vm", s.VM).Logger(), metrics: newMetrics()}

	for _, a := range []string{s.CallerAddress, s.OperatorAddress, s.PeerAddress} {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", a)
		if err != nil {
			for _, o := range d.listeners {
				_ = o.Close()
			}

			return nil, trace.ConvertSystemError(err)
		}

		d.listeners = append(d.listeners, l)
	}

	d.build()

	return d, nil
}

// build builds the controllers and the filter chains. Actors are stopped in the order in which they are added.
func (d *RoutedDaemon) build() {
	k := peer.NewKeys(d.settings.PeerKeys)
	d.server, d.client = peer.NewServer(k), peer.NewClient(k)

	self := mesh.Peer{
		VM: d.settings.VM, Address: d.PeerAddress(), Domain: d.settings.FailureDomain, Start: time.Now().UnixMilli(),
		Power: int(d.settings.Processor * powerPerCore),
	}
	table := mesh.New(self).WithTargetCheck(func() bool { return d.targets.HasUsable(time.Now()) })
	d.quarantine = quarantine.NewController(d.metrics, time.Now, d.logger)
	newerRoutes := catchup.New(&d.routes, d.client, d.metrics, d.logger)
	d.mesh = mesh.NewMesh(table, d.client, d.settings.Peers, d.logger).WithLeavingTargets(&d.targets).WithVersions(newerRoutes).WithQuarantine(d.quarantine)
	d.quarantine.SetNotifier(d.mesh)

	store := platform.NewStore(d.settings.Platform)
	d.log = keyed.NewRelayedLog(store, peerClient{client: d.client}, table)
	d.slotOwner = slots.NewOwner(d.client, &d.targets, self.Address)
	d.slotOwner.SetQuarantine(d.quarantine)
	holder := slots.NewHolder(table, d.client, d.slotOwner, &d.targets)

	w := newStepWatcher(d.logger, d.metrics, &d.logLimiter, &d.inFlight)
	workers := platform.NewWorkerClient().WithLeavingTargets(leaving.New(&d.targets, d.mesh, d.metrics, time.Now, d.logger))
	l := d.settings.Store
	sizes := batches.NewLogLimits(l.Partitions, l.RecordBytes, l.CallBytes, l.KeepResults.Value())
	d.batches = batches.New(d.log, sizes, batch.NewRunner(self.VM, self.Start), time.Now, d.logger)
	followers := batches.NewFollowers(table)
	d.runner = batches.NewRunner(
		d.batches, filter.ItemChain(holder, time.Now, w, workers), &d.routes, jobPeers{Table: table, Followers: followers}, d.client, time.Now, d.logger).
		WithPromptParts(platform.PromptParts).WithWaitReports(&d.logLimiter, d.metrics)
	w.items = d.runner
	gateway := batches.NewGateway(d.batches, followers, table, peerClient{client: d.client}, d.logger)

	front := platform.NewFrontend(filter.RoutedChain(&d.routes.Current, shutdownOf{d}, holder, time.Now, w, workers), &d.routes, gateway, time.Now)

	bootstrapper := bootstrap.New(table, d.client, &d.routes, &d.targets, d.logger)

	for n, v := range map[string]any{
		"Mesh": d.mesh, "Log": keyed.NewService(store), "Slot": d.slotOwner, "Holder": holder, "Batch": d.runner, "Jobs": batches.NewService(d.batches),
		"Bootstrap": bootstrapper, "Routes": newerRoutes,
	} {
		if err := d.server.Register(n, v); err != nil {
			d.logger.Error().Err(err).Str("service", n).Msg("cannot register a net/rpc service, calls of other daemons to it fail")
		}
	}

	d.addCallerServer(front)
	addAwaitedActor(&d.group, d.runner.Run)
	d.addOperatorServer()
	d.group.Add(func() error { return d.server.Serve(d.listeners[2]) }, func(error) { d.server.Close(); d.client.Close() })

	addActor(&d.group, d.newConsumer(platform.TopicOperator, &routeSink{daemon: d}).Run)
	addActor(&d.group, d.newConsumer(platform.TopicWorkers, &targetSink{targets: &d.targets, metrics: d.metrics, logger: d.logger}).WithHealth(&d.targets).WithReadDelay(d.targetReadDelay).Run)
	members := mesh.NewMembers(
		d.log, platform.TopicMembers, mesh.Record{Peer: self, Region: d.settings.Region, Operator: d.OperatorAddress()},
		func(p mesh.Peer) { table.AddPeer(p, time.Now()) }, time.Now, d.logger)
	memberConsumer := d.newConsumer(platform.TopicMembers, members).WithHealth(members)
	addActor(&d.group, memberConsumer.Run)

	assigner := batches.NewAssigner(d.batches, followers, d.runner, table, d.logger)
	addActor(&d.group, func(ctx context.Context) error {
		d.waitForPeers(ctx, memberConsumer) // the partition assignment depends on which other daemons exist

		return assigner.Run(ctx)
	})

	for _, f := range []func(context.Context) error{
		members.Run, bootstrapper.Run, newerRoutes.Run, d.mesh.Run, d.slotOwner.Run, holder.Run, workers.Run, d.logReloadSignals, func(ctx context.Context) error { return d.logLimiter.Run(ctx, d.logger) },
		func(ctx context.Context) error { return d.inFlight.Run(ctx, d.logger) },
	} {
		addActor(&d.group, f)
	}
}

const (
	// peerDiscoveryTimeout bounds the wait for the records of the other daemons while the log is unavailable. It covers
	// a short failure of the log. After that time, the mesh knows the other daemons if it reaches one of them.
	peerDiscoveryTimeout = 2 * time.Second
	// peerDiscoveryInterval is the interval between two checks whether the log is down.
	peerDiscoveryInterval = 100 * time.Millisecond
)

// waitForPeers waits until the other daemons are known: from their records in the log or, while the log is unavailable,
// from the heartbeats of live daemons.
func (d *RoutedDaemon) waitForPeers(ctx context.Context, memberConsumer *keyed.Consumer) {
	for start := time.Now(); ctx.Err() == nil; {
		if memberConsumer.IsDown() && time.Since(start) > peerDiscoveryTimeout && len(d.mesh.Table().LivePeers(time.Now())) > 0 {
			return
		}

		select {
		case <-memberConsumer.Ready():
			return
		case <-time.After(peerDiscoveryInterval):
		case <-ctx.Done():
		}
	}
}

const (
	// targetReadDelayPerPeer lengthens the delay between two reads of the target registrations for each live peer, so
	// that up to 125 daemons together make at most 250 reads per second, of the few thousand that a store can serve.
	targetReadDelayPerPeer = 4 * time.Millisecond
	// maxTargetReadDelay bounds the delay. Leaving targets keep serving for at least two seconds.
	maxTargetReadDelay = 500 * time.Millisecond
)

// targetReadDelay returns the delay between two reads of the target registrations. Without it, each read would return
// at once, because every target renews its registration about once per second.
func (d *RoutedDaemon) targetReadDelay() time.Duration {
	return min(maxTargetReadDelay, time.Duration(len(d.mesh.Table().LivePeers(time.Now())))*targetReadDelayPerPeer)
}

// jobPeers tells the runner of batch jobs which daemons are live and which of them may run a job.
type jobPeers struct {
	*mesh.Table
	batches.Followers
}

func (d *RoutedDaemon) newConsumer(name string, s keyed.Sink) *keyed.Consumer {
	return keyed.New(d.log, name, 0, s, d.logger)
}

func (d *RoutedDaemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(d.metrics, "", 0), // counts connection errors instead of logging them, as they change no state
	}
}

// addCallerServer builds the shutdown controller and adds the HTTP server for callers as an actor, which ends after the
// shutdown.
func (d *RoutedDaemon) addCallerServer(h http.Handler) {
	s := d.newServer(nil) // the handler needs d.drain, which needs the server
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The connection closes after this response. Closing idle connections instead could cut off an arriving
		// request.
		if d.drain.Phase() != drain.Serving {
			w.Header().Set("Connection", "close")
		}

		h.ServeHTTP(w, r)
	})
	requests, cancelRequests := context.WithCancel(context.Background())
	s.BaseContext = func(net.Listener) context.Context { return requests }
	d.drain = controller.NewDrain(
		d.settings.DrainWait.Value(), d.settings.DrainMost.Value()-shutdownMargin,
		routedCallerServer{server: s, cancelRequests: cancelRequests, logger: d.logger}, d.logger)
	d.drain.AddHandover("jobs", func(ctx context.Context) error {
		err := d.runner.HandOver(ctx)
		d.mesh.Table().Leave()

		return err
	})

	shutdownDone := make(chan struct{})

	d.group.Add(func() error {
		if err := s.Serve(d.listeners[0]); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}

		<-shutdownDone // Serve returns as soon as the server stops accepting, while requests are in flight

		return nil
	}, func(error) { close(shutdownDone); _ = s.Close() })
}

func (d *RoutedDaemon) addOperatorServer() {
	o := operator.New(d, d.metrics.handler(), map[string]operator.Dumper{
		"daemon": operator.DumpFunc(func() any {
			return map[string]any{"vm": d.settings.VM, "phase": d.drain.Phase().String(), "failure_domain": d.settings.FailureDomain}
		}),
		"routes":     operator.DumpFunc(func() any { return map[string]any{"version": d.routes.Version()} }),
		"slots":      operator.DumpFunc(d.dumpSlots),
		"peers":      operator.DumpFunc(d.dumpPeers),
		"jobs":       operator.DumpFunc(d.dumpJobs),
		"quarantine": operator.DumpFunc(d.dumpQuarantine),
		"log":        operator.DumpFunc(func() any { return map[string]any{"direct": d.log.IsDirect()} }),
	})
	s := d.newServer(o.Handler())

	d.group.Add(func() error {
		if err := s.Serve(d.listeners[1]); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}

		return nil
	}, func(error) { _ = s.Close() })
}

// shutdownOf is the shutdown of a daemon whose controller is built after the filter chain.
type shutdownOf struct{ daemon *RoutedDaemon }

// Admits reports whether a request that has to end by deadline may start.
func (s shutdownOf) Admits(deadline time.Time) bool { return s.daemon.drain.Admits(deadline) }

// routedCallerServer closes the HTTP server for callers at shutdown.
type routedCallerServer struct {
	server         *http.Server
	cancelRequests context.CancelFunc
	logger         zerolog.Logger
}

// Close stops accepting connections and waits for the requests in flight. At cancelAt, it cancels those that are left:
// one that waits for a slot is rejected, and one whose response has not started fails. When ctx ends, it cuts off the
// rest.
func (a routedCallerServer) Close(ctx context.Context, cancelAt time.Time) error {
	x, stop := context.WithDeadline(ctx, cancelAt)
	defer stop()

	if a.server.Shutdown(x) == nil {
		return nil
	}

	a.logger.Warn().Str("event", "requests_cut").Msg("shutdown timed out, cancelling the requests in flight")
	a.cancelRequests()

	if err := a.server.Shutdown(ctx); err != nil {
		a.logger.Warn().Err(err).Str("event", "requests_cut").Msg("shutdown timed out, closing the connections of requests in flight")

		return a.server.Close()
	}

	return nil
}

// Run runs the daemon until ctx ends and then shuts it down gracefully: requests in flight may complete until the bound
// on the whole shutdown has passed. It also returns when an actor fails. It may be called once.
func (d *RoutedDaemon) Run(ctx context.Context) error {
	addActor(&d.group, func(group context.Context) error {
		select {
		case <-group.Done(): // another actor returned
			return nil
		case <-ctx.Done():
		}

		return trace.Wrap(d.drain.Run())
	})
	d.logger.Info().Str("event", "started").Str("caller_address", d.CallerAddress()).Str("peer_address", d.PeerAddress()).
		Str("failure_domain", d.settings.FailureDomain).Msg("daemon started")

	err := d.group.Run()

	d.logger.Info().Err(err).Str("event", "stopped").Msg("daemon stopped")

	return trace.Wrap(err)
}

// logReloadSignals logs each SIGHUP and changes nothing, because the addresses in the settings cannot change while the
// process runs.
func (d *RoutedDaemon) logReloadSignals(ctx context.Context) error {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)

	defer signal.Stop(c)

	for {
		select {
		case <-c:
			d.logger.Info().Str("event", "reload").Msg("SIGHUP has no effect, settings are read at the next start")
		case <-ctx.Done():
			return nil
		}
	}
}

// CallerAddress returns the address of the listener for callers.
func (d *RoutedDaemon) CallerAddress() string { return d.listeners[0].Addr().String() }

// OperatorAddress returns the address of the listener for operators.
func (d *RoutedDaemon) OperatorAddress() string { return d.listeners[1].Addr().String() }

// PeerAddress returns the address that this daemon announces to other daemons.
func (d *RoutedDaemon) PeerAddress() string {
	return cmp.Or(d.settings.PeerAnnounce, d.listeners[2].Addr().String())
}

// Ready reports whether the daemon accepts requests; if not, it also returns the reason.
func (d *RoutedDaemon) Ready() (bool, string) {
	switch {
	case d.drain.Phase() != drain.Serving:
		return false, "the daemon is shutting down"
	case d.routes.Table() == nil:
		return false, "no version of the routes is known"
	case !d.targets.IsInitialized():
		return false, "no target is known"
	case !d.batches.IsReady():
		return false, "the batch jobs are not loaded"
	default:
		return true, ""
	}
}
