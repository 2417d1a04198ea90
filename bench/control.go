package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/configs"
	"github.com/agategap/agategap/daemon"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/standin/store"
	"github.com/agategap/agategap/wire"
)

// ControlFigure has the cost and the delays of the control plane for one number of daemons in a failure domain.
type ControlFigure struct {
	daemons                             int
	cores, megabytes, bytesPerSecond    float64
	removalTime, adoptionTime, joinTime time.Duration
	falseSuspicions                     int64
}

// Daemons returns the number of daemons.
func (f ControlFigure) Daemons() int { return f.daemons }

// Cores returns the processor time of an idle system per daemon and second, as a fraction of one core. It includes the
// platform's stand-in, which runs in the same process.
func (f ControlFigure) Cores() float64 { return f.cores }

// Megabytes returns the live heap per daemon, in MiB.
func (f ControlFigure) Megabytes() float64 { return f.megabytes }

// BytesPerSecond returns the bytes a second of the messages that a daemon sends and receives, with their length
// prefixes and without TCP headers.
func (f ControlFigure) BytesPerSecond() float64 { return f.bytesPerSecond }

// FalseSuspicions returns the number of times that a daemon suspected another one in the idle system. All are false:
// the machine was too busy to respond in time. Each costs some traffic.
func (f ControlFigure) FalseSuspicions() int64 { return f.falseSuspicions }

// RemovalTime returns the time from the kill of a daemon until no other daemon lists it as a member.
func (f ControlFigure) RemovalTime() time.Duration { return f.removalTime }

// AdoptionTime returns the time from the publication of a configuration until every daemon has adopted it.
func (f ControlFigure) AdoptionTime() time.Duration { return f.adoptionTime }

// JoinTime returns the time from the start of a daemon that cannot reach the platform until it is ready.
func (f ControlFigure) JoinTime() time.Duration { return f.joinTime }

// Slope returns the growth of a value per daemon by least squares, or 0 if all figures have the same number of daemons.
func Slope(l []ControlFigure, value func(f ControlFigure) float64) float64 {
	var n, x, y, xx, xy float64

	for _, f := range l {
		d, v := float64(f.daemons), value(f)
		n, x, y, xx, xy = n+1, x+d, y+v, xx+d*d, xy+d*v
	}

	if q := n*xx - x*x; q != 0 {
		return (n*xy - x*y) / q
	}

	return 0
}

// MeasureControlPlane measures one failure domain on loopback for each number of daemons. The system is idle for idleTime while its
// cost is measured.
func MeasureControlPlane(ctx context.Context, daemons []int, idleTime time.Duration) ([]ControlFigure, error) {
	var l []ControlFigure

	for _, n := range daemons {
		f, err := measureCluster(ctx, n, idleTime)
		if err != nil {
			return l, fmt.Errorf("%d daemons: %w", n, err)
		}

		l = append(l, f)
	}

	return l, nil
}

const (
	controlDomain  = "zone-1"
	controlPeerKey = "0123456789abcdef"
	controlTimeout = 60 * time.Second
	// controlTargets is the number of targets of a failure domain at the planned size: 600 in 8 failure domains.
	controlTargets = 75
	megabyte       = 1 << 20
)

// cluster is one failure domain without callers, with a stand-in of the platform.
type cluster struct {
	ctx             context.Context //nolint:containedctx // lifetime of the cluster
	store           *store.Store
	platformAddress string
	daemons         []*daemon.Daemon
	group           sync.WaitGroup
}

func measureCluster(ctx context.Context, n int, idleTime time.Duration) (ControlFigure, error) {
	x, stop := context.WithCancel(ctx)
	base := heapBytes()
	c := &cluster{ctx: x, store: store.New(store.Options{})}

	defer c.group.Wait()
	defer stop()

	if err := c.start(n); err != nil {
		return ControlFigure{}, err
	}

	if err := c.waitUntil(func() bool { return c.hasConverged(n) && c.allReady() }); err != nil {
		return ControlFigure{}, err
	}

	f := ControlFigure{daemons: n}
	c.sleep(startupQuietPeriod)

	bytes, suspected, cpu, began := c.controlBytes(), c.suspicionCount(), processorTime(), time.Now()

	c.sleep(idleTime)

	s := time.Since(began).Seconds() * float64(n)
	f.cores = (processorTime() - cpu).Seconds() / s
	f.bytesPerSecond = float64(c.controlBytes()-bytes) / s
	f.falseSuspicions = c.suspicionCount() - suspected
	f.megabytes = (heapBytes() - base) / float64(n) / megabyte

	return f, c.measureEvents(&f)
}

// startupQuietPeriod is the wait before an idle system is measured, in which the membership changes of the start are
// disseminated. 43 daemons that start together pass on 43 changes 18 times each, 8 in a message, which takes about
// 25 s.
const startupQuietPeriod = 35 * time.Second

// measureEvents measures how long a configuration, a new daemon and the loss of a daemon take to become effective
// everywhere.
func (c *cluster) measureEvents(f *ControlFigure) error {
	v, began := c.daemons[0].ConfigVersion(), time.Now()
	if err := c.publish(v); err != nil {
		return err
	}

	if err := c.waitUntil(func() bool { return c.all(func(d *daemon.Daemon) bool { return d.ConfigVersion() > v }) }); err != nil {
		return err
	}

	f.adoptionTime, began = time.Since(began), time.Now()

	d, err := c.startDaemon("127.0.0.1:1") // nothing listens there, so the daemon has no platform
	if err != nil {
		return err
	}

	if err := c.waitUntil(func() bool { ok, _ := d.Ready(); return ok }); err != nil {
		return err
	}

	f.joinTime = time.Since(began)

	if err := c.waitUntil(func() bool { return c.hasConverged(f.daemons + 1) }); err != nil {
		return err
	}

	d.Kill()

	c.daemons, began = c.daemons[:f.daemons], time.Now()
	err = c.waitUntil(func() bool { return c.hasConverged(f.daemons) })
	f.removalTime = time.Since(began)

	return err
}

func (c *cluster) start(n int) error {
	l, err := (&net.ListenConfig{}).Listen(c.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}

	s := &http.Server{Handler: c.store.Handler(), ReadHeaderTimeout: time.Second}

	c.group.Go(func() { _ = s.Serve(l) })
	c.group.Go(func() {
		<-c.ctx.Done()

		_ = s.Close()
	})

	c.platformAddress = l.Addr().String()

	for i := range controlTargets {
		// Nothing listens at these addresses, as the load of targets is not measured.
		if err := c.store.PutRegistration(fmt.Sprintf("worker-%d", i), store.Registration{
			Service: "signwriter", Address: fmt.Sprintf("127.0.0.1:%d", 1+i%9), Zone: controlDomain, Slots: 1, State: store.Ready,
		}); err != nil {
			return err
		}
	}

	if err := c.publish(0); err != nil {
		return err
	}

	for range n {
		if _, err := c.startDaemon(c.platformAddress); err != nil {
			return err
		}
	}

	return nil
}

const region = "region-1"

// startDaemon starts a daemon that uses the given platform address. The first 3 daemons are the peers in its settings.
func (c *cluster) startDaemon(address string) (*daemon.Daemon, error) {
	const listen = "127.0.0.1:0"

	s := settings.Daemon{
		VM: fmt.Sprintf("entry-%d", len(c.daemons)), FailureDomain: controlDomain, Region: region, CallerAddress: listen,
		OperatorAddress: listen, PeerAddress: listen, Platform: address, PeerKeys: []string{controlPeerKey}, Policy: "owner",
	}

	for _, d := range c.daemons[:min(len(c.daemons), 3)] {
		s.Peers = append(s.Peers, d.PeerAddress())
	}

	d, err := daemon.New(s, zerolog.Nop())
	if err != nil {
		return nil, err
	}

	c.daemons = append(c.daemons, d)
	c.group.Go(func() { _ = d.Run(c.ctx) })

	return d, nil
}

// publish publishes a configuration based on version base.
func (c *cluster) publish(base int64) error {
	t, err := config.Format(config.Document{
		Partitions: 16, //nolint:mnd // the default
		Services:   []config.ServiceRecord{{Name: "signwriter", Kind: config.KindEngine, Idempotent: true}},
	})
	if err != nil {
		return err
	}

	p := configs.NewPublisher(platform.NewStore(c.platformAddress), wire.VersionCodec{})
	if err := p.Read(c.ctx); err != nil {
		return err
	}

	_, err = p.Publish(c.ctx, config.Version{
		ID: fmt.Sprintf("%d-%d", base, rand.Uint64()), BaseOn: base, Author: "bench", Text: t, //nolint:gosec // an identifier
	}, controlTimeout)

	return err
}

// all reports whether f is true for every daemon.
func (c *cluster) all(f func(d *daemon.Daemon) bool) bool {
	for _, d := range c.daemons {
		if !f(d) {
			return false
		}
	}

	return true
}

// hasConverged reports whether every daemon has n peers in its membership.
func (c *cluster) hasConverged(n int) bool {
	return c.all(func(d *daemon.Daemon) bool { return len(d.Membership().Peers()) == n })
}

func (c *cluster) allReady() bool {
	return c.all(func(d *daemon.Daemon) bool { ok, _ := d.Ready(); return ok })
}

// controlBytes returns the control traffic that all daemons sent and received. Each message is counted only at the
// daemon that responds, so the sum is doubled for its sender and its receiver.
func (c *cluster) controlBytes() int64 {
	var n int64
	for _, d := range c.daemons {
		n += 2 * d.ControlBytes()
	}

	return n
}

func (c *cluster) suspicionCount() int64 {
	var n int64
	for _, d := range c.daemons {
		n += d.Membership().Counts()["suspected"]
	}

	return n
}

// sleep waits for d or until the context of the cluster ends.
func (c *cluster) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}

// waitUntil polls f until it returns true. After controlTimeout it returns an error.
func (c *cluster) waitUntil(f func() bool) error {
	const interval = 5 * time.Millisecond

	for deadline := time.Now().Add(controlTimeout); !f(); c.sleep(interval) {
		if c.ctx.Err() != nil {
			return c.ctx.Err()
		}

		if time.Now().After(deadline) {
			return errors.New("the daemons did not reach the expected state in time")
		}
	}

	return nil
}

// heapBytes returns the size of the live objects on the heap after a collection.
func heapBytes() float64 {
	runtime.GC()

	var m runtime.MemStats

	runtime.ReadMemStats(&m)

	return float64(m.HeapAlloc)
}

// processorTime returns the processor time of this process, user and system, summed over all cores.
func processorTime() time.Duration {
	var u syscall.Rusage

	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Bounds of the control scenario per daemon.
const (
	maxCoresPerDaemon          = 0.029
	maxHeapMBPerDaemon         = 64
	maxBytesPerSecondPerDaemon = 2 << 10
	maxAdoptionSeconds         = 16
	// defaultIdleTime is the measured time if the options have none.
	defaultIdleTime = 20 * time.Second
)

// controlDaemonCounts are the sizes that measureControl compares. The last is the planned size of a failure domain in
// two years.
var controlDaemonCounts = []int{4, 12, 24, 43}

// measureControl measures the control plane at each size and compares the largest with the bounds.
func measureControl(ctx context.Context, o Options) ([]Result, error) {
	l, err := MeasureControlPlane(ctx, controlDaemonCounts, o.phaseTimeOr(defaultIdleTime))
	if err != nil {
		return nil, err
	}

	var r []Result

	for _, v := range []struct {
		name  string
		bound float64
		value func(f ControlFigure) float64
	}{
		{"cores_per_daemon", maxCoresPerDaemon, ControlFigure.Cores},
		{"heap_mb_per_daemon", maxHeapMBPerDaemon, ControlFigure.Megabytes},
		{"bytes_per_second_per_daemon", maxBytesPerSecondPerDaemon, ControlFigure.BytesPerSecond},
		{"config_seconds", maxAdoptionSeconds, func(f ControlFigure) float64 { return f.adoptionTime.Seconds() }},
		{"false_suspicions", 0, func(f ControlFigure) float64 { return float64(f.falseSuspicions) }},
		{"join_seconds", controlTimeout.Seconds(), func(f ControlFigure) float64 { return f.joinTime.Seconds() }},
		{"removal_seconds", controlTimeout.Seconds(), func(f ControlFigure) float64 { return f.removalTime.Seconds() }},
	} {
		var g []Figure
		for _, f := range l {
			g = append(g, NewFigure(fmt.Sprintf("at_%d", f.daemons), v.value(f)))
		}

		g = append(g, NewFigure("slope_per_daemon", Slope(l, v.value)))
		r = append(r, NewResult("control", v.name, o, v.value(l[len(l)-1]), v.bound, true, g...))
	}

	return r, nil
}
