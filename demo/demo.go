// Package demo runs a whole small system in one process on loopback: the platform stand-in, engines, a plain
// service and daemons of three failure domains.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/daemon"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/standin/engine"
	standplatform "github.com/agategap/agategap/standin/platform"
	"github.com/agategap/agategap/standin/service"
	"github.com/agategap/agategap/tomlfile"
	"github.com/agategap/agategap/wire"
)

// Keys of the demo.
const (
	Key      = "demo-key"              // bearer key of account lintas
	OtherKey = "demo-other-key"        // bearer key of account faellesvagt
	PeerKey  = "demo-peer-key-unusual" // shared key of the daemons
)

var domains = []string{"kv-shah-alam", "kv-petaling", "kv-cheras"}

const (
	daemonsPerDomain = 2
	enginesPerDomain = 3
	region           = "klang-valley"
)

// Demo is the running system.
type Demo struct {
	group    *errgroup.Group
	stop     context.CancelFunc
	ctx      context.Context //nolint:containedctx // the life of the system, not of a call
	platform *standplatform.Platform
	address  string
	service  *service.Service
	daemons  []*daemon.Daemon
	vms      []platform.VM
}

// Start starts the system.
func Start(ctx context.Context, z zerolog.Logger) (*Demo, error) {
	x, stop := context.WithCancel(ctx)
	g, x := errgroup.WithContext(x)
	d := &Demo{group: g, ctx: x, stop: stop, platform: standplatform.New(standplatform.Options{}), service: &service.Service{}}

	if err := d.start(z); err != nil {
		stop()

		return nil, err
	}

	return d, nil
}

func (d *Demo) start(z zerolog.Logger) error {
	a, err := d.listen(d.platform.Handler())
	if err != nil {
		return err
	}

	d.address = a

	for _, f := range domains {
		if err := d.startTargets(f); err != nil {
			return err
		}
	}

	if err := d.publish(); err != nil {
		return err
	}

	for _, f := range domains {
		for i := range daemonsPerDomain {
			if err := d.startDaemon(f, i, z); err != nil {
				return err
			}
		}
	}

	d.platform.SetVMs(d.vms)

	return nil
}

func (d *Demo) startTargets(domain string) error {
	for i := range enginesPerDomain {
		e := engine.New(engine.Options{Models: []string{"signwriter"}, ChecksFencing: i == 0})
		d.group.Go(func() error { e.Run(d.ctx.Done()); return nil })

		a, err := d.listen(e.Handler())
		if err != nil {
			return err
		}

		d.vms = append(d.vms, platform.VM{
			Name: fmt.Sprintf("%s-worker-%d", domain, i), Address: a, FailureDomain: domain, Region: region,
			Role: platform.RoleTarget, Service: "signwriter", Kind: config.KindEngine, State: platform.StateLive,
		})
	}

	a, err := d.listen(d.service.Handler())
	d.vms = append(d.vms, platform.VM{
		Name: domain + "-billing", Address: a, FailureDomain: domain, Region: region,
		Role: platform.RoleTarget, Service: "billing", Kind: config.KindPlain, State: platform.StateLive,
	})

	return err
}

func (d *Demo) startDaemon(domain string, i int, z zerolog.Logger) error {
	const any = "127.0.0.1:0"

	v, err := daemon.New(settings.Daemon{
		VM: fmt.Sprintf("%s-entry-%d", domain, i), FailureDomain: domain, Region: region,
		CallerAddress: any, OperatorAddress: any, PeerAddress: any, Platform: d.address, Policy: "owner",
		PeerKeys: []string{PeerKey},
	}, z)
	if err != nil {
		return err
	}

	d.daemons = append(d.daemons, v)
	d.vms = append(d.vms, platform.VM{
		Name: fmt.Sprintf("%s-entry-%d", domain, i), Address: v.CallerAddress(), PeerAddress: v.PeerAddress(), OperatorAddress: v.OperatorAddress(),
		FailureDomain: domain, Region: region, Role: platform.RoleEntry, State: platform.StateLive,
	})
	d.group.Go(func() error { return v.Run(d.ctx) })

	return nil
}

// publish publishes the demo's configuration.
func (d *Demo) publish() error {
	hash := func(k string) []string { h := sha256.Sum256([]byte(k)); return []string{hex.EncodeToString(h[:])} }
	ms := func(n int) tomlfile.Duration { return tomlfile.NewDuration(time.Duration(n) * time.Millisecond) }

	t, err := config.Format(config.Document{
		Partitions: 16, //nolint:mnd // the default
		Accounts:   []config.AccountRecord{{Name: "lintas", KeyHashes: hash(Key)}, {Name: "faellesvagt", KeyHashes: hash(OtherKey)}},
		Batch:      config.BatchSettings{ShardItems: 20}, //nolint:mnd // several shards even for a small job
		Services: []config.ServiceRecord{
			{Name: "signwriter", Kind: config.KindEngine, Idempotent: true, Deadline: ms(10_000), IdleBound: ms(2000), MaxAttempts: 3, Hedge: true},
			{Name: "billing", Kind: config.KindPlain, Deadline: ms(10_000), IdleBound: ms(2000), MaxAttempts: 1, Lookup: true},
		},
	})
	if err != nil {
		return err
	}

	b, err := (wire.Versions{}).EncodeVersion(config.Version{ID: "demo", Author: "demo", Text: t})
	if err != nil {
		return err
	}

	_, err = platform.New(d.address).Append(d.ctx, controller.ConfigStream, b)

	return err
}

func (d *Demo) listen(h http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}

	const headerTimeout = 5 * time.Second

	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}

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

// Wait blocks until the system ends.
func (d *Demo) Wait() error { return d.group.Wait() }

// Stop ends the system.
func (d *Demo) Stop() { d.stop() }

// Platform returns the address of the platform stand-in.
func (d *Demo) Platform() string { return d.address }

// Caller returns the caller address of daemon i.
func (d *Demo) Caller(i int) string { return d.daemons[i%len(d.daemons)].CallerAddress() }

// Operator returns the operator address of daemon i.
func (d *Demo) Operator(i int) string { return d.daemons[i%len(d.daemons)].OperatorAddress() }

// Ready waits until every daemon is ready.
func (d *Demo) Ready(ctx context.Context) error {
	const interval = 20 * time.Millisecond

	for _, v := range d.daemons {
		for {
			if ok, _ := v.Ready(); ok {
				break
			}

			select {
			case <-time.After(interval):
			case <-ctx.Done():
				_, why := v.Ready()

				return fmt.Errorf("a daemon is not ready: %s", why)
			}
		}
	}

	return nil
}

// Runs returns the number of calls that the plain service ran.
func (d *Demo) Runs() int { return d.service.Total() }
