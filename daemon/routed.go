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
	"github.com/agategap/agategap/keyed"
	"github.com/agategap/agategap/logging"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/operator"
	"github.com/agategap/agategap/peer"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/slots"
)

// RoutedDaemon is a daemon that passes requests on by host and path, as the platform's clients and workers speak.
type RoutedDaemon struct {
	settings  settings.Daemon
	logger    zerolog.Logger
	group     run.Group
	metrics   *metrics
	listeners []net.Listener

	routes  currentRoutes
	targets fleet.Registry
	mesh    *mesh.Mesh
	slotOwner   *slots.Owner
	batches *batches.Batches
	runner  *batches.Runner
	log     *keyed.RelayedLog
	server  *peer.Server
	client  *peer.Client
	drain   *controller.Drain
	logLimiter  logging.Limiter
	inFlight logging.InFlight
}

// callerIdleTimeout is how long a connection of a caller is kept between two requests. It exceeds the time for which
// callers of the known deployments keep them.
const callerIdleTimeout = 2 * time.Minute

// powerPerCore is the number of thousandths in one.
const powerPerCore = 1000

// shutdownMargin is kept free at the end of the shutdown, as the platform kills the process when its time is over.
const shutdownMargin = 500 * time.Millisecond

// NewRoutedDaemon returns a daemon with open listeners, so that a bad address is reported before anything runs.
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

// build makes the controllers and the chains. Actors end in the order in which they are added.
func (d *RoutedDaemon) build() {
	k := peer.NewKeys(d.settings.PeerKeys)
	d.server, d.client = peer.NewServer(k), peer.NewClient(k)

	self := mesh.Peer{
		VM: d.settings.VM, Address: d.PeerAddress(), Domain: d.settings.FailureDomain, Start: time.Now().UnixMilli(),
		Power: int(d.settings.Processor * powerPerCore),
	}
	table := mesh.New(self).WithTargetCheck(func() bool { return d.targets.HasUsable(time.Now()) })
	d.mesh = mesh.NewMesh(table, d.client, d.settings.Peers, d.logger)

	store := platform.NewStore(d.settings.Platform)
	d.log = keyed.NewRelayedLog(store, peerCaller{client: d.client}, table)
	d.slotOwner = slots.NewOwner(d.client, &d.targets, self.Address)
	holder := slots.NewHolder(table, d.client, d.slotOwner, &d.targets)

	w := newStepWatcher(d.logger, d.metrics, &d.logLimiter, &d.inFlight)
	workers := platform.NewWorkerClient()
	l := d.settings.Store
	sizes := batches.NewLogLimits(l.Partitions, l.RecordBytes, l.CallBytes, l.KeepResults.Value())
	d.batches = batches.New(d.log, sizes, batch.NewRunner(self.VM, self.Start), time.Now, d.logger)
	followers := batches.NewFollowers(table)
	d.runner = batches.NewRunner(
		d.batches, filter.ItemChain(holder, time.Now, w, workers), &d.routes, jobPeers{Table: table, Followers: followers}, d.client, time.Now, d.logger)
	gateway := batches.NewGateway(d.batches, followers, table, peerCaller{client: d.client}, d.logger)

	front := platform.NewFrontend(filter.RoutedChain(&d.routes.Current, holder, time.Now, w, workers), &d.routes, gateway, time.Now)

	start := bootstrap.New(table, d.client, &d.routes, &d.targets, d.logger)

	for n, v := range map[string]any{
		"Mesh": d.mesh, "Log": keyed.NewService(store), "Slot": d.slotOwner, "Holder": holder, "Batch": d.runner, "Jobs": batches.NewService(d.batches),
		"Bootstrap": start,
	} {
		if err := d.server.Register(n, v); err != nil {
			d.logger.Error().Err(err).Str("service", n).Msg("a service for other daemons cannot be registered")
		}
	}

	d.addCallerServer(front)
	addAwaitedActor(&d.group, d.runner.Run)
	d.addOperatorServer()
	d.group.Add(func() error { return d.server.Serve(d.listeners[2]) }, func(error) { d.server.Close(); d.client.Close() })

	addActor(&d.group, d.newConsumer(platform.TopicOperator, &routeSink{daemon: d}).Run)
	addActor(&d.group, d.newConsumer(platform.TopicWorkers, &targetSink{targets: &d.targets, logger: d.logger}).WithHealth(&d.targets).WithReadDelay(d.targetReadDelay).Run)
	members := mesh.NewMembers(
		d.log, platform.TopicMembers, mesh.Record{Peer: self, Region: d.settings.Region, Operator: d.OperatorAddress()},
		func(p mesh.Peer) { table.AddPeer(p, time.Now()) }, time.Now, d.logger)
	records := d.newConsumer(platform.TopicMembers, members).WithHealth(members)
	addActor(&d.group, records.Run)

	assigner := batches.NewAssigner(d.batches, followers, d.runner, table, d.logger)
	addActor(&d.group, func(ctx context.Context) error {
		d.waitForPeers(ctx, records) // the shares depend on the other daemons

		return assigner.Run(ctx)
	})

	for _, f := range []func(context.Context) error{
		members.Run, start.Run, d.mesh.Run, d.slotOwner.Run, holder.Run, workers.Run, d.logReloadSignals, func(ctx context.Context) error { return d.logLimiter.Run(ctx, d.logger) },
		func(ctx context.Context) error { return d.inFlight.Run(ctx, d.logger) },
	} {
		addActor(&d.group, f)
	}
}

const (
	// peerDiscoveryTimeout is how long the records of the other daemons are waited for while the log is not available. It covers
	// a short failure; the mesh has heard of the others by then if it reaches one of them.
	peerDiscoveryTimeout = 2 * time.Second
	peerDiscoveryInterval   = 100 * time.Millisecond
)

// waitForPeers waits until the other daemons are known: from their records, or from those that answer while the log is not
// available.
func (d *RoutedDaemon) waitForPeers(ctx context.Context, records *keyed.Consumer) {
	for start := time.Now(); ctx.Err() == nil; {
		if records.IsDown() && time.Since(start) > peerDiscoveryTimeout && len(d.mesh.Table().LivePeers(time.Now())) > 0 {
			return
		}

		select {
		case <-records.Ready():
			return
		case <-time.After(peerDiscoveryInterval):
		case <-ctx.Done():
		}
	}
}

const (
	// targetReadDelayPerPeer lengthens the time between two reads of the entries of targets with the number of daemons, so that
	// up to 125 of them together make at most 250 reads a second of the few thousand that a store takes.
	targetReadDelayPerPeer = 4 * time.Millisecond
	// maxTargetReadDelay bounds that time. Targets that leave serve for at least two seconds more.
	maxTargetReadDelay = 500 * time.Millisecond
)

// targetReadDelay returns the time between two reads of the entries of targets. Every target writes its own about once a
// second, so that each read would end at once.
func (d *RoutedDaemon) targetReadDelay() time.Duration {
	return min(maxTargetReadDelay, time.Duration(len(d.mesh.Table().LivePeers(time.Now())))*targetReadDelayPerPeer)
}

// jobPeers knows the daemons and which of them run a job.
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
		ErrorLog: log.New(d.metrics, "", 0), // a broken connection is counted, as it is no change of state
	}
}

// addCallerServer serves callers until the shutdown is over.
func (d *RoutedDaemon) addCallerServer(h http.Handler) {
	s := d.newServer(nil) // the handler needs d.drain, which needs the server
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Connections then end between two requests, which closing idle ones could not ensure.
		if d.drain.Phase() != drain.Serving {
			w.Header().Set("Connection", "close")
		}

		h.ServeHTTP(w, r)
	})
	d.drain = controller.NewDrain(d.settings.DrainWait.Value(), d.settings.DrainMost.Value()-shutdownMargin, routedCallerServer{server: s, logger: d.logger}, d.logger)
	d.drain.AddHandover("jobs", func(ctx context.Context) error {
		err := d.runner.HandOver(ctx)
		d.mesh.Table().Leave()

		return err
	})

	finished := make(chan struct{})

	d.group.Add(func() error {
		if err := s.Serve(d.listeners[0]); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}

		<-finished // Serve returns when the shutdown begins to wait for the requests in flight

		return nil
	}, func(error) { close(finished); _ = s.Close() })
}

func (d *RoutedDaemon) addOperatorServer() {
	o := operator.New(d, d.metrics.handler(), map[string]operator.Dumper{
		"daemon": operator.DumpFunc(func() any {
			return map[string]any{"vm": d.settings.VM, "phase": d.drain.Phase().String(), "failure_domain": d.settings.FailureDomain}
		}),
		"routes": operator.DumpFunc(func() any { return map[string]any{"version": d.routes.Version()} }),
		"slots":  operator.DumpFunc(d.dumpSlots),
		"peers":  operator.DumpFunc(d.dumpPeers),
		"jobs":   operator.DumpFunc(d.dumpJobs),
		"log":    operator.DumpFunc(func() any { return map[string]any{"direct": d.log.IsDirect()} }),
	})
	s := d.newServer(o.Handler())

	d.group.Add(func() error {
		if err := s.Serve(d.listeners[1]); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}

		return nil
	}, func(error) { _ = s.Close() })
}

// routedCallerServer closes the server for callers.
type routedCallerServer struct {
	server *http.Server
	logger zerolog.Logger
}

// Close stops accepting and waits for the requests in flight.
func (a routedCallerServer) Close(ctx context.Context) error {
	if err := a.server.Shutdown(ctx); err != nil {
		a.logger.Warn().Err(err).Str("event", "requests_cut").Msg("requests were cut off at the end of the shutdown")

		return a.server.Close()
	}

	return nil
}

// Run runs the daemon until ctx ends, and then shuts it down without cutting off requests.
func (d *RoutedDaemon) Run(ctx context.Context) error {
	addActor(&d.group, func(group context.Context) error {
		select {
		case <-group.Done(): // another actor failed
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

// logReloadSignals logs that the settings file changed. Its addresses cannot change while the process runs.
func (d *RoutedDaemon) logReloadSignals(ctx context.Context) error {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)

	defer signal.Stop(c)

	for {
		select {
		case <-c:
			d.logger.Info().Str("event", "reload").Msg("settings are read at the next start")
		case <-ctx.Done():
			return nil
		}
	}
}

// CallerAddress returns the address of the listener for callers.
func (d *RoutedDaemon) CallerAddress() string { return d.listeners[0].Addr().String() }

// OperatorAddress returns the address of the listener for operators.
func (d *RoutedDaemon) OperatorAddress() string { return d.listeners[1].Addr().String() }

// PeerAddress returns the address at which other daemons reach this one.
func (d *RoutedDaemon) PeerAddress() string {
	return cmp.Or(d.settings.PeerAnnounce, d.listeners[2].Addr().String())
}

// Ready reports whether the daemon takes requests.
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
