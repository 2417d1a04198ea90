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

// journalParts has the components that depend on the number of journal partitions, which the first configuration
// version sets for good.
type journalParts struct {
	store  *store.Store
	runner *controller.Runner
	front  http.Handler
}

// runJournal waits for the first configuration version, then builds the journal components and runs them until ctx
// ends.
func (d *Daemon) runJournal(ctx context.Context, r filter.Router, c *target.Client) error {
	for d.config.InForce().Number() == 0 {
		ch := d.config.Changed()
		if d.config.InForce().Number() != 0 {
			break
		}

		select {
		case <-ch:
		case <-ctx.Done():
			return nil
		}
	}

	var g run.Group

	w := d.buildJournal(&g, d.config.InForce().Document().Partitions, r, c)
	d.journal.Store(w)

	x, stop := context.WithCancel(ctx)
	g.Add(func() error { <-x.Done(); return nil }, func(error) { stop() })

	return g.Run()
}

// buildJournal builds the controllers of accepted work and jobs, registers their net/rpc services and adds them as
// actors. Actors are stopped in the order in which they are added, so an actor comes before those that it needs while
// it stops.
func (d *Daemon) buildJournal(g *run.Group, partitions int, r filter.Router, c *target.Client) *journalParts {
	var f *controller.Assignment

	l := appender.NewLimits(0, 0, appendInterval).WithBurst(appendBurst)
	o := store.NewOptions(d.holderID, partitions, l, time.Now).
		WithSnapshots(wire.PartCodec{}, d.settings.LogRetention.Value()).
		WithSnapshotWriter(func(p int) bool { return f.IsWriter(p) })
	s := store.New(d.log, wire.GroupCodec{}, o)
	f = controller.NewAssignment(d.membership, s, d.settings.VM, partitions, time.Now)
	routes := controller.NewRoutes(f, peerClient{client: d.client}, d.metrics)
	journalService := controller.NewJournalService(s, partitions, d.metrics)
	jobService := controller.NewJobService(s, d.config, f, time.Now, d.metrics)

	_ = d.server.Register("Journal", journalService)
	_ = d.server.Register("Job", jobService)

	j := controller.NewJournal(routes, journalService, s, d.metrics)
	lookup := target.NewLookup(c, d.targets)
	p := filter.NewDependencies(d.config, j, r, time.Now, d.holderID, configBounds{config: d.config}).WithLookup(lookup).
		WithRetries(filter.NewRetries(configBounds{config: d.config}, uint64(time.Now().UnixNano()))) //nolint:gosec // jitter of retries; needs no secure randomness
	jobs := controller.NewJobs(j, routes, jobService, d.config)
	runner := controller.NewRunner(controller.NewRunnerDependencies(
		jobs, filter.BatchChain(p, controller.EndSlotWait(c)), lookup, d.holderID, d.settings.FailureDomain, time.Now, d.metrics, d.logger))
	accepted := controller.NewAcceptedRunner(controller.NewAcceptedDependencies(
		j, d.config, filter.AcceptedChain(p, c), lookup, d.holderID, newClaimID, time.Now, d.metrics, d.logger))

	addAwaitedActor(g, runner.Run)
	addActor(g, accepted.Run)
	addAwaitedActor(g, j.Run)
	addActor(g, f.Run)
	g.Add(s.Wait, func(error) { s.Stop() })

	h := front.New(d.metrics.countRequests(filter.OnlineChain(p, c)), d.config, jobs, j, time.Now)
	h.SetTimeouts(d.settings.ReadTimeout.Value(), d.settings.WriteTimeout.Value())

	return &journalParts{store: s, runner: runner, front: h.Handler()}
}

// handleCallerRequest passes a request to the front end. It responds with an error until the first configuration
// version is known.
func (d *Daemon) handleCallerRequest(w http.ResponseWriter, r *http.Request) {
	v := d.journal.Load()
	if v == nil {
		front.WriteError(w, outcome.New(outcome.NotReady, outcome.NotRun, "the daemon has no configuration yet").
			WithRetryAfter(time.Second))

		return
	}

	v.front.ServeHTTP(w, r)
}

// handOver hands the job shards that this daemon runs over to other daemons.
func (d *Daemon) handOver(ctx context.Context) error {
	if v := d.journal.Load(); v != nil {
		return v.runner.HandOver(ctx)
	}

	return nil
}

// StopJob stops the shards of a job that this daemon runs and returns their number.
func (d *Daemon) StopJob(id string) int {
	if v := d.journal.Load(); v != nil {
		return v.runner.StopJob(id)
	}

	return 0
}

// dumpWork returns the section of the state dump about the job shards that this daemon runs.
func (d *Daemon) dumpWork() any {
	if v := d.journal.Load(); v != nil {
		return v.runner.Dump()
	}

	return nil
}

// dumpStore returns the section of the state dump about the journal partitions that this daemon follows.
func (d *Daemon) dumpStore() any {
	v := d.journal.Load()
	if v == nil {
		return nil
	}

	s := v.store

	return map[string]any{
		"followed": s.FollowedPartitions(), "stalled": s.StalledPartitions(), "snapshots": s.SnapshotCount(),
		"dropped": s.DroppedCount(), "rejected": s.RejectedCount(), "skipped": s.SkippedCount(),
	}
}

// newClaimID returns a unique identifier for a claim on accepted work.
func newClaimID() string { return "work-" + randomID() + randomID() }

// addActor adds f to a group as an actor. The group cancels the context of f to stop it.
func addActor(g *run.Group, f func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { stop() })
}

// addAwaitedActor adds f to a group as an actor. The group waits until f has returned before it stops the actors that
// were added after it.
func addAwaitedActor(g *run.Group, f func(ctx context.Context) error) {
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

// peerClient calls net/rpc methods of other daemons and classifies the errors.
type peerClient struct {
	client *peer.Client
}

// Call calls a method. Its errors are outcome.Errors, whose effect tells whether the call may have been executed.
func (c peerClient) Call(ctx context.Context, address, method string, args, reply any) error {
	err := c.client.Call(ctx, address, method, args, reply)
	if err == nil {
		return nil
	}

	e := outcome.Unknown
	if errors.Is(err, peer.ErrNotSent) {
		e = outcome.NotRun
	}

	return outcome.New(outcome.LogUnavailable, e, "a follower of the partition did not reply").
		WithRetryAfter(time.Second).WithCause(err)
}

// Count adds n to the counter of a name.
func (m *metrics) Count(name string, n int64) { m.scope.Counter(name).Inc(n) }
