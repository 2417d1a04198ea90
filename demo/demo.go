// Package demo runs a small but complete system in one process on loopback: the stand-ins of the platform's store, of
// engines and of a plain service, and daemons, in three failure domains by default. The demo command, the benchmarks
// and tests use it.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/configs"
	"github.com/agategap/agategap/daemon"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/standin/engine"
	"github.com/agategap/agategap/standin/service"
	"github.com/agategap/agategap/standin/store"
	"github.com/agategap/agategap/tomlfile"
	"github.com/agategap/agategap/wire"
)

// Keys of the demo's configuration.
const (
	Key      = "demo-key"              // bearer key of account lintas
	OtherKey = "demo-other-key"        // bearer key of account faellesvagt
	PeerKey  = "demo-peer-key-unusual" // shared key of the daemons
)

const region = "klang-valley"

// Options are the parameters of a system. The zero value is the system of the demo command.
type Options struct {
	Domains []string             // names of the failure domains; three if empty
	Daemons int                  // daemons in all failure domains together; 6 if 0
	Workers int                  // engines in all failure domains together; 9 if 0
	Service string               // name of the engines' service; signwriter if empty
	Engine  engine.Options       // settings of every engine; Models is overwritten with Service
	Policy  string               // load-balancing policy of the daemons; owner if empty
	Appends float64              // appends per second that the log accepts; 0 for the stand-in's default
	Batch   config.BatchSettings // settings of batch jobs; ShardItems is 20 if 0
}

func (o *Options) setDefaults() {
	if len(o.Domains) == 0 {
		o.Domains = []string{"kv-shah-alam", "kv-petaling", "kv-cheras"}
	}

	if o.Daemons == 0 {
		o.Daemons = 6
	}

	if o.Workers == 0 {
		o.Workers = 9
	}

	if o.Service == "" {
		o.Service = "signwriter"
	}

	if o.Policy == "" {
		o.Policy = "owner"
	}

	if o.Batch.ShardItems == 0 {
		o.Batch.ShardItems = 20
	}

	o.Engine.Models = []string{o.Service}
}

// Demo is a running system.
type Demo struct {
	options         Options
	group           *errgroup.Group
	stop            context.CancelFunc
	ctx             context.Context //nolint:containedctx // lifetime of the system, not of a call
	store           *store.Store
	platformAddress string
	service         *service.Service
	engines         []*engine.Engine
	engineAddresses []string
	daemons         []*daemon.Daemon
}

// Start starts a system. It runs until Stop is called, ctx ends or a part of it fails. Call WaitReady before using it.
func Start(ctx context.Context, o Options, z zerolog.Logger) (*Demo, error) {
	o.setDefaults()

	x, stop := context.WithCancel(ctx)
	g, x := errgroup.WithContext(x)
	d := &Demo{
		options: o, group: g, ctx: x, stop: stop, service: &service.Service{},
		store: store.New(store.Options{AppendsPerSecond: o.Appends}),
	}

	if err := d.start(z); err != nil {
		stop()

		return nil, err
	}

	return d, nil
}

func (d *Demo) start(z zerolog.Logger) error {
	a, err := d.listen(d.store.Handler())
	if err != nil {
		return err
	}

	d.platformAddress = a

	for i := range d.options.Workers {
		if err := d.startEngine(d.domain(i), i); err != nil {
			return err
		}
	}

	for _, f := range d.options.Domains {
		if err := d.startService(f); err != nil {
			return err
		}
	}

	if err := d.publish(); err != nil {
		return err
	}

	for i := range d.options.Daemons {
		if err := d.startDaemon(d.domain(i), i, z); err != nil {
			return err
		}
	}

	return nil
}

// domain returns the failure domain of VM i. VMs are distributed evenly over the failure domains.
func (d *Demo) domain(i int) string { return d.options.Domains[i%len(d.options.Domains)] }

func (d *Demo) startEngine(domain string, i int) error {
	o := d.options.Engine
	o.ChecksFencing = i%2 == 0
	o.Seed = uint64(i) //nolint:gosec // a small index

	e := engine.New(o)
	d.engines = append(d.engines, e)
	d.group.Go(func() error { e.Run(d.ctx.Done()); return nil })

	a, err := d.listen(e.Handler())
	if err != nil {
		return err
	}

	d.engineAddresses = append(d.engineAddresses, a)

	return d.registerTarget(fmt.Sprintf("%s-worker-%d", domain, i), a, domain, d.options.Service)
}

// registeredSlots is the number of slots in the registrations of all targets. The daemons of the demo determine the
// slots of a target themselves.
const registeredSlots = 16

// registerTarget writes the registration of a target, which a target on the platform writes itself.
func (d *Demo) registerTarget(name, address, domain, service string) error {
	return d.store.PutRegistration(name, store.Registration{Service: service, Address: address, Zone: domain, Slots: registeredSlots, State: store.Ready})
}

func (d *Demo) startService(domain string) error {
	a, err := d.listen(d.service.Handler())
	if err != nil {
		return err
	}

	return d.registerTarget(domain+"-billing", a, domain, "billing")
}

func (d *Demo) startDaemon(domain string, i int, z zerolog.Logger) error {
	const listen = "127.0.0.1:0"

	v, err := daemon.New(settings.Daemon{
		VM: fmt.Sprintf("%s-entry-%d", domain, i), FailureDomain: domain, Region: region,
		CallerAddress: listen, OperatorAddress: listen, PeerAddress: listen, Platform: d.platformAddress, Policy: d.options.Policy,
		LogRetention: tomlfile.NewDuration(24 * time.Hour), //nolint:mnd // longer than any run
		PeerKeys:     []string{PeerKey},
	}, z)
	if err != nil {
		return err
	}

	d.daemons = append(d.daemons, v)
	d.group.Go(func() error { return v.Run(d.ctx) })

	return nil
}

// publishTimeout bounds the publication of the configuration.
const publishTimeout = 5 * time.Second

// publish publishes the demo's configuration.
func (d *Demo) publish() error {
	hash := func(k string) []string { h := sha256.Sum256([]byte(k)); return []string{hex.EncodeToString(h[:])} }
	ms := func(n int) tomlfile.Duration { return tomlfile.NewDuration(time.Duration(n) * time.Millisecond) }

	t, err := config.Format(config.Document{
		Partitions: 16, //nolint:mnd // the default
		Accounts:   []config.AccountRecord{{Name: "lintas", KeyHashes: hash(Key)}, {Name: "faellesvagt", KeyHashes: hash(OtherKey)}},
		Batch:      d.options.Batch,
		Services: []config.ServiceRecord{
			{Name: d.options.Service, Kind: config.KindEngine, Idempotent: true, Deadline: ms(10_000), IdleBound: ms(2000), MaxAttempts: 3, Hedge: true},
			{Name: "billing", Kind: config.KindPlain, Deadline: ms(10_000), IdleBound: ms(2000), MaxAttempts: 1, Lookup: true},
		},
	})
	if err != nil {
		return err
	}

	p := configs.NewPublisher(platform.NewStore(d.platformAddress), wire.VersionCodec{})
	if err := p.Read(d.ctx); err != nil {
		return err
	}

	_, err = p.Publish(d.ctx, config.Version{ID: "demo", Author: "demo", Text: t}, publishTimeout)

	return err
}

// listen serves a handler on loopback until the system ends and returns the address.
func (d *Demo) listen(h http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}

	const headerTimeout = 5 * time.Second

	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: log.New(io.Discard, "", 0)}

	d.group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}

		return nil
	})
	d.group.Go(func() error {
		<-d.ctx.Done()

		return s.Close()
	})

	return l.Addr().String(), nil
}

// Wait blocks until the system has ended and returns the first error of its parts.
func (d *Demo) Wait() error { return d.group.Wait() }

// Stop starts the shutdown of the system. Wait waits for its end.
func (d *Demo) Stop() { d.stop() }

// PlatformAddress returns the address of the stand-in of the platform's store.
func (d *Demo) PlatformAddress() string { return d.platformAddress }

// CallerAddress returns the caller address of daemon i, counted modulo the number of daemons.
func (d *Demo) CallerAddress(i int) string { return d.daemons[i%len(d.daemons)].CallerAddress() }

// OperatorAddress returns the operator address of daemon i, counted modulo the number of daemons.
func (d *Demo) OperatorAddress(i int) string { return d.daemons[i%len(d.daemons)].OperatorAddress() }

// WaitReady waits until every daemon is ready. If ctx ends before, the error has the reason of a daemon that is not.
func (d *Demo) WaitReady(ctx context.Context) error {
	const interval = 20 * time.Millisecond

	for _, v := range d.daemons {
		for {
			if ok, _ := v.Ready(); ok {
				break
			}

			select {
			case <-time.After(interval):
			case <-ctx.Done():
				_, reason := v.Ready()

				return fmt.Errorf("daemon is not ready: %s", reason)
			}
		}
	}

	return nil
}

// DaemonCount returns the number of daemons.
func (d *Demo) DaemonCount() int { return len(d.daemons) }

// Engines returns the engine stand-ins, into which faults can be injected.
func (d *Demo) Engines() []*engine.Engine { return d.engines }

// EngineAddress returns the address of engine i, counted modulo the number of engines.
func (d *Demo) EngineAddress(i int) string { return d.engineAddresses[i%len(d.engineAddresses)] }

// ServiceName returns the name of the service that the engines run.
func (d *Demo) ServiceName() string { return d.options.Service }

// ServiceRuns returns the number of calls that the plain service has executed.
func (d *Demo) ServiceRuns() int { return d.service.TotalRuns() }
