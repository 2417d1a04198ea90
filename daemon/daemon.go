// Package daemon assembles the process of an entry VM. It builds the filter chains and the controllers from the
// settings, connects them to the log and to other daemons, and runs them as a group of actors. The serve command, the
// demo and the benchmarks start daemons with it.
package daemon

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"log"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/agategap/agategap/configs"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/drain"
	"github.com/agategap/agategap/keyed"
	"github.com/agategap/agategap/operator"
	"github.com/agategap/agategap/peer"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/target"
	"github.com/agategap/agategap/tlsfile"
	"github.com/agategap/agategap/wire"
)

// Daemon is the process of an entry VM whose callers use the OpenAI-compatible interface. RoutedDaemon is its
// counterpart for requests that are routed by host and path.
type Daemon struct {
	settings        settings.Daemon
	logger          zerolog.Logger
	holderID        string // VM and incarnation; identifies this process as the holder of slots, job shards and accepted work
	group           run.Group
	config          *configs.Controller
	vmList          *vmList
	targets         *controller.Targets
	membership      *controller.Membership
	journal         atomic.Pointer[journalParts] // nil until the first configuration version, which has the number of partitions
	log             *monitoredLog
	metrics         *metrics
	server          *peer.Server
	client          *peer.Client
	listeners       []net.Listener
	drain           *controller.Drain
	shutdownDone    chan struct{}
	shutdownOnce    sync.Once
	optionalDumpers map[string]operator.Dumper // of components that only some settings build

	certificates []*tlsfile.Files // one for each listener with TLS
}

const (
	// appendInterval is the mean time between two appends to one partition. At 16 partitions, a daemon that writes
	// them all makes at most 160 appends per second, about half of the log's rate.
	appendInterval = 100 * time.Millisecond
	// appendBurst is the number of appends that an idle partition may make without delay.
	appendBurst = 4
	// headerTimeout bounds the time that a slow caller may take to send the request header.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
)

// New returns a daemon whose listeners are open, so that an invalid address is reported before any actor runs.
func New(s settings.Daemon, z zerolog.Logger) (*Daemon, error) {
	d := &Daemon{shutdownDone: make(chan struct{}), optionalDumpers: map[string]operator.Dumper{}, settings: s, logger: z.With().Str("vm", s.VM).Str("failure_domain", s.FailureDomain).Logger()}
	d.holderID = s.VM + "/" + randomID()

	for _, a := range []string{s.CallerAddress, s.OperatorAddress, s.PeerAddress} {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", a)
		if err != nil {
			d.closeListeners()

			return nil, trace.ConvertSystemError(err)
		}

		d.listeners = append(d.listeners, l)
	}

	if err := d.build(); err != nil {
		d.closeListeners()

		return nil, err
	}

	return d, nil
}

// randomID returns a random identifier in hexadecimal. In the holder ID it tells a restarted process from the one
// before.
func randomID() string {
	const bytes = 6

	b := make([]byte, bytes)
	_, _ = rand.Read(b)

	return hex.EncodeToString(b)
}

// build builds the controllers and the filter chains. Actors are stopped in the order in which they are added.
func (d *Daemon) build() error {
	l := platform.NewStore(d.settings.Platform)

	d.metrics = newMetrics()
	k := peer.NewKeys(d.settings.PeerKeys)
	d.server, d.client = peer.NewServer(k), peer.NewClient(k)
	d.log = &monitoredLog{log: platform.NewStreams(l, d.settings.Store.RecordBytes, d.settings.Store.CallBytes)}

	if err := d.configureTLS(); err != nil {
		return err
	}

	d.config = configs.New(wire.VersionCodec{}, d.logger)
	d.vmList = newVMList(d, l)

	pool := d.buildPool()
	d.targets = controller.NewTargets(d.vmList, pool, d.settings.FailureDomain)
	d.targets.SetLeavingBound(configBounds{config: d.config}.LeavingBound)

	c := target.New()
	d.buildMembership(c)
	addAwaitedActor(&d.group, func(ctx context.Context) error { return d.runJournal(ctx, pool, c) })

	d.addCallerServer(d.listeners[0], http.HandlerFunc(d.handleCallerRequest))
	d.drain.AddHandover("membership", d.membership.Leave)
	d.drain.AddHandover("jobs", d.handOver)
	d.addHTTPServer(d.listeners[1], operator.New(d, d.metrics.handler(), d.dumpers()).WithJobStopper(d).Handler())
	d.group.Add(func() error { return d.server.Serve(d.listeners[2]) }, func(error) { d.server.Close(); d.client.Close() })
	addActor(&d.group, keyed.New(l, configs.Stream, 0, d.config, d.logger).Run)
	d.vmList.addActors(&d.group)
	addActor(&d.group, d.targets.Run)

	return nil
}

// configureTLS wraps the listeners for callers and for other daemons in TLS if the settings name certificates for them.
func (d *Daemon) configureTLS() error {
	if t := d.settings.CallerTLS; t.Enabled() {
		f, err := tlsfile.New(t.Certificate, t.Key, t.Authority, time.Now)
		if err != nil {
			return err
		}

		d.listeners[0] = tls.NewListener(d.listeners[0], f.ServerConfig())
		d.certificates = append(d.certificates, f)
	}

	if t := d.settings.PeerTLS; t.Enabled() {
		f, err := tlsfile.New(t.Certificate, t.Key, t.Authority, time.Now)
		if err != nil {
			return err
		}

		d.listeners[2] = tls.NewListener(d.listeners[2], f.ServerConfig())
		d.client.UseTLS(f.ClientConfig())
		d.certificates = append(d.certificates, f)
	}

	return nil
}

// Run runs the daemon until ctx ends and then shuts it down gracefully: requests in flight may complete until the bound
// on the whole shutdown has passed. It also returns when an actor fails. It may be called once.
func (d *Daemon) Run(ctx context.Context) error {
	addActor(&d.group, func(group context.Context) error { return d.runDrain(ctx, group) })
	d.logger.Info().Str("caller_address", d.CallerAddress()).Str("operator_address", d.OperatorAddress()).Msg("daemon started")

	err := d.group.Run()

	d.logger.Info().Err(err).Msg("daemon stopped")

	return trace.Wrap(err)
}

// CallerAddress returns the address of the listener for callers.
func (d *Daemon) CallerAddress() string { return d.listeners[0].Addr().String() }

// OperatorAddress returns the address of the listener for operators.
func (d *Daemon) OperatorAddress() string { return d.listeners[1].Addr().String() }

// PeerAddress returns the address that this daemon announces to other daemons.
func (d *Daemon) PeerAddress() string {
	return cmp.Or(d.settings.PeerAnnounce, d.listeners[2].Addr().String())
}

// Ready reports whether the daemon accepts requests; if not, it also returns the reason.
func (d *Daemon) Ready() (bool, string) {
	if d.drain.Phase() != drain.Serving {
		return false, "the daemon is shutting down"
	}

	if d.config.InForce().Number() == 0 {
		return false, "no configuration version is known"
	}

	if !d.targets.HasTargets() {
		return false, "no target is known"
	}

	if d.journal.Load() == nil {
		return false, "the journal is not open"
	}

	return true, ""
}

func (d *Daemon) addHTTPServer(l net.Listener, h http.Handler) {
	s := d.newServer(h)

	d.group.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}

		return nil
	}, func(error) { _ = s.Close() })
}

func (d *Daemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(d.metrics, "", 0), // counts connection errors instead of logging them, as they change no state
	}
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.Close()
	}
}

func (d *Daemon) dumpers() map[string]operator.Dumper {
	m := map[string]operator.Dumper{
		"daemon": operator.DumpFunc(func() any {
			return map[string]any{"vm": d.settings.VM, "holder": d.holderID, "phase": d.drain.Phase().String(), "failure_domain": d.settings.FailureDomain}
		}),
		"config": operator.DumpFunc(func() any {
			f := d.config.InForce()

			return map[string]any{"version": f.Number(), "author": f.Version().Author, "based_on": f.Version().BaseOn}
		}),
		"jobs":       operator.DumpFunc(d.dumpJobs),
		"log":        operator.DumpFunc(d.log.dump),
		"tls":        operator.DumpFunc(d.dumpTLS),
		"membership": operator.DumpFunc(d.dumpMembership),
		"store":      operator.DumpFunc(d.dumpStore),
		"work":       operator.DumpFunc(d.dumpWork),
	}

	maps.Copy(m, d.optionalDumpers)

	return m
}
