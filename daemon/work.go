package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/peer"
	"github.com/agategap/agategap/target"
)

// work has the parts that keep accepted work and jobs.
type work struct {
	parts   filter.Parts
	journal *controller.Journal
	jobs    *controller.Jobs
	runner  *controller.Runner
}

// buildWork builds the controllers of accepted work and jobs, registers their services and adds them as actors. It
// precedes the actors that they need when they stop, as actors are stopped in the order in which they are added.
func (d *Daemon) buildWork(l controller.PeerList, r filter.Router, c *target.Client) work {
	f := controller.NewFollow(l, d.store, d.settings.VM, partitions, time.Now)
	routes := controller.NewRoutes(f, caller{client: d.client}, d.metrics)
	journals := controller.NewJournalService(d.store, partitions, d.metrics)
	grants := controller.NewJobService(d.store, d.config, f, time.Now, d.metrics)

	_ = d.server.Register("Journal", journals)
	_ = d.server.Register("Job", grants)

	j := controller.NewJournal(routes, journals, d.store, d.metrics)
	look := target.NewLookup(c, d.targets)
	p := filter.NewParts(d.config, j, r, time.Now, d.holder, recordWait).WithLookup(look).
		WithRetries(filter.NewRetries(slotBounds{config: d.config}, uint64(time.Now().UnixNano()))) //nolint:gosec // spreads retries
	jobs := controller.NewJobs(j, routes, grants, d.config)
	runner := controller.NewRunner(controller.NewRunnerParts(
		jobs, filter.BatchChain(p, controller.Dispatched(c)), look, d.holder, d.settings.FailureDomain, time.Now, d.metrics, d.logger))
	accepted := controller.NewAccepted(controller.NewAcceptedParts(
		j, d.config, filter.AcceptedChain(p, c), look, d.holder, newClaim, time.Now, d.metrics, d.logger))

	d.dumps["work"] = runner

	d.stopFirst(runner.Run)
	d.actor(accepted.Run)
	d.stopFirst(j.Run)
	d.actor(f.Run)

	d.follow = f

	return work{parts: p, journal: j, jobs: jobs, runner: runner}
}

// newClaim returns the identifier of a claim on accepted work.
func newClaim() string { return "work-" + incarnation() + incarnation() }

// stopFirst adds an actor whose end is awaited before the actors after it are stopped.
func (d *Daemon) stopFirst(f func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})

	d.group.Add(func() error {
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
