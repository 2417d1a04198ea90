package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/agategap/agategap/appender"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/front"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/peer"
	"github.com/agategap/agategap/store"
	"github.com/agategap/agategap/target"
	"github.com/agategap/agategap/wire"
)

// work has the parts that need the number of partitions, which the first version of the configuration fixes.
type work struct {
	store  *store.Store
	runner *controller.Runner
	front  http.Handler
}

// runWork waits for the first version of the configuration and runs the parts that depend on it until ctx ends.
func (d *Daemon) runWork(ctx context.Context, r filter.Router, c *target.Client) error {
	for d.config.InForce().Offset() == 0 {
		ch := d.config.Changed()
		if d.config.InForce().Offset() != 0 {
			break
		}

		select {
		case <-ch:
		case <-ctx.Done():
			return nil
		}
	}

	var g run.Group

	w := d.buildWork(&g, d.config.InForce().Document().Partitions, r, c)
	d.work.Store(w)

	x, stop := context.WithCancel(ctx)
	g.Add(func() error { <-x.Done(); return nil }, func(error) { stop() })

	return g.Run()
}

// buildWork builds the controllers of accepted work and jobs, registers their services and adds them as actors. They
// are stopped in the order in which they are added, so a part comes before those that it needs when it stops.
func (d *Daemon) buildWork(g *run.Group, partitions int, r filter.Router, c *target.Client) *work {
	var f *controller.Assignment

	l := appender.NewLimits(0, 0, appendInterval).WithBurst(appendBurst)
	o := store.NewOptions(d.holder, partitions, l, time.Now).
		WithSnapshots(wire.PartCodec{}, d.settings.LogRetention.Value()).
		WithWrites(func(p int) bool { return f.IsWriter(p) })
	s := store.New(d.log, wire.GroupCodec{}, o)
	f = controller.NewAssignment(d.membership, s, d.settings.VM, partitions, time.Now)
	routes := controller.NewRoutes(f, caller{client: d.client}, d.metrics)
	journals := controller.NewJournalService(s, partitions, d.metrics)
	grants := controller.NewJobService(s, d.config, f, time.Now, d.metrics)

	_ = d.server.Register("Journal", journals)
	_ = d.server.Register("Job", grants)

	j := controller.NewJournal(routes, journals, s, d.metrics)
	look := target.NewLookup(c, d.targets)
	p := filter.NewDependencies(d.config, j, r, time.Now, d.holder, bounds{config: d.config}).WithLookup(look).
		WithRetries(filter.NewRetries(bounds{config: d.config}, uint64(time.Now().UnixNano()))) //nolint:gosec // spreads retries
	jobs := controller.NewJobs(j, routes, grants, d.config)
	runner := controller.NewRunner(controller.NewRunnerDependencies(
		jobs, filter.BatchChain(p, controller.EndSlotWait(c)), look, d.holder, d.settings.FailureDomain, time.Now, d.metrics, d.logger))
	accepted := controller.NewAcceptedRunner(controller.NewAcceptedDependencies(
		j, d.config, filter.AcceptedChain(p, c), look, d.holder, newClaim, time.Now, d.metrics, d.logger))

	stopFirst(g, runner.Run)
	actor(g, accepted.Run)
	stopFirst(g, j.Run)
	actor(g, f.Run)
	g.Add(s.Wait, func(error) { s.Stop() })

	h := front.New(d.metrics.count(filter.OnlineChain(p, c)), d.config, jobs, j, time.Now)
	h.SetTimeouts(d.settings.ReadTimeout.Value(), d.settings.WriteTimeout.Value())

	return &work{store: s, runner: runner, front: h.Handler()}
}

// serveCaller refuses requests until the first version of the configuration is known.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	v := d.work.Load()
	if v == nil {
		front.Refuse(w, outcome.New(outcome.NotReady, outcome.NotRun, "the daemon has no configuration yet").
			WithRetryAfter(time.Second))

		return
	}

	v.front.ServeHTTP(w, r)
}

// handOver gives the job shards back that this daemon runs.
func (d *Daemon) handOver(ctx context.Context) error {
	if v := d.work.Load(); v != nil {
		return v.runner.HandOver(ctx)
	}

	return nil
}

// Stop stops what this daemon runs of a job and returns the number of its shards.
func (d *Daemon) Stop(job string) int {
	if v := d.work.Load(); v != nil {
		return v.runner.Stop(job)
	}

	return 0
}

// dumpWork returns the part of the state dump about jobs that run here.
func (d *Daemon) dumpWork() any {
	if v := d.work.Load(); v != nil {
		return v.runner.Dump()
	}

	return nil
}

// dumpStore returns the part of the state dump about the followed partitions.
func (d *Daemon) dumpStore() any {
	v := d.work.Load()
	if v == nil {
		return nil
	}

	s := v.store

	return map[string]any{
		"followed": s.Followed(), "stalled": s.Stalled(), "snapshots": s.Snapshots(),
		"dropped": s.Dropped(), "rejected": s.Rejected(), "skipped": s.Skipped(),
	}
}

// newClaim returns the identifier of a claim on accepted work.
func newClaim() string { return "work-" + incarnation() + incarnation() }

// actor adds a function to a group that runs until its context ends.
func actor(g *run.Group, f func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { stop() })
}

// stopFirst adds an actor whose end is awaited before the actors after it are stopped.
func stopFirst(g *run.Group, f func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})

	g.Add(func() error {
		defer close(done)

		return f(ctx)
	}, func(error) {
		stop()
		<-done
	})
}

// caller calls other daemons for the controllers.
type caller struct {
	client *peer.Client
}

// Call calls a method and says in the error whether the call may have had an effect.
func (c caller) Call(ctx context.Context, address, method string, args, reply any) error {
	err := c.client.Call(ctx, address, method, args, reply)
	if err == nil {
		return nil
	}

	e := outcome.Unknown
	if errors.Is(err, peer.ErrNotSent) {
		e = outcome.NotRun
	}

	return outcome.New(outcome.LogUnavailable, e, "a follower of the partition did not answer").
		WithRetryAfter(time.Second).WithCause(err)
}

// Count counts events by name.
func (m *metrics) Count(name string, n int64) { m.scope.Counter(name).Inc(n) }
