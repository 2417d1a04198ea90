package batches

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/internal/batch/places"
	"github.com/agategap/agategap/internal/batch/waiting"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/routing"
)

// Peers is this daemon's view of the other daemons and of which of them run a job.
type Peers interface {
	Self() mesh.Peer
	// RunnerCandidates returns the daemons that may run a job whose runner is no longer live, the first choice first.
	RunnerCandidates(partition int, job string, now time.Time) []mesh.Peer
	// IsRunning reports whether the daemon process of a VM with a start time is live.
	IsRunning(vm string, start int64, now time.Time) bool
	// HasStoppedFollowing reports whether a daemon has announced after since that it does not follow a partition.
	HasStoppedFollowing(vm string, partition int, since time.Time) bool
}

// Routes has the routes in force.
type Routes interface {
	// Table returns the routes in force; nil while none are known.
	Table() *routing.Table
}

// PeerClient calls net/rpc methods of other daemons.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	// maxReconcileInterval is the longest time between two passes over the jobs. A change of a job starts a pass
	// earlier.
	maxReconcileInterval = 100 * time.Millisecond
	// unfollowGracePeriod is the time after the acceptance of a job during which its runner counts as a follower of the
	// partition even if it announces that it does not follow it. Heartbeats, which carry the announcements, are sent a
	// few times a second, and the clocks of VMs differ.
	unfollowGracePeriod = 3 * time.Second
	// minReconcileInterval is the shortest time between two passes. Partitions change many times a second.
	minReconcileInterval = 10 * time.Millisecond
	// maxActiveItems bounds the items of one service that run or wait for a slot on one daemon; several services share
	// the places. The slot owner orders the waiting items.
	maxActiveItems = 48
	// maxUnpublishedResults bounds the results of one partition that wait for the log. No items of the partition are
	// started beyond it.
	maxUnpublishedResults = 48
	// minItemRetryDelay and maxItemRetryDelay bound the delay before the next attempt of an item after its target
	// failed.
	minItemRetryDelay = 20 * time.Millisecond
	maxItemRetryDelay = time.Second
	// minQuarantineRetryDelay and maxQuarantineRetryDelay bound the delay before the next attempt of an item whose prompt
	// has a quarantined part. An item has to ask often to get its turn in the trials of the quarantine.
	minQuarantineRetryDelay = time.Second
	maxQuarantineRetryDelay = 2 * time.Second
	// deadlineMargin is added to the deadline of a job before its items are failed, as the clocks of VMs differ.
	deadlineMargin = 5 * time.Second
	// routeGracePeriod is how long the route of a job has to be missing before its items are failed. It outlasts the
	// time during which daemons have different versions of the configuration in force.
	routeGracePeriod = 5 * time.Second
)

// Runner runs the items of the jobs that this daemon accepted or adopted, and of jobs whose runner is no longer live.
type Runner struct {
	batches *Batches
	chain   filter.Handler
	routes  Routes
	peers   Peers
	client  PeerClient
	clock   func() time.Time
	logger  zerolog.Logger

	promptParts func(header map[string][]string) []string
	waits       waiting.Tracker
	lines       LineLimiter
	waitCounter WaitCounter

	mu            sync.Mutex
	items         map[string]*runningItem          // by job and item
	attempts      map[*filter.Request]*runningItem // attempts in progress
	runCtx        context.Context                  //nolint:containedctx // of Run, for publishing results of adopted jobs
	adoptedJobs   map[string]bool                  // jobs that a leaving daemon handed over to this one
	unroutedSince map[string]time.Time             // by job, when its route was first found missing
	unpublished   map[int]int                      // number of results that wait for the log, by partition
	routesVersion int64                            // of the last pass
	routesChanged chan struct{}                    // closed and replaced when a pass finds another version
	leaving       bool
	wg            sync.WaitGroup
	runTime       runTimeEstimator
	places        *places.Places // of the items that run or wait for a slot
}

// NewRunner returns a runner of the jobs of b. h is the filter chain that handles the requests of items.
func NewRunner(b *Batches, h filter.Handler, t Routes, p Peers, c PeerClient, clock func() time.Time, z zerolog.Logger) *Runner {
	return &Runner{
		batches: b, chain: h, routes: t, peers: p, client: c, clock: clock, logger: z,
		items: map[string]*runningItem{}, attempts: map[*filter.Request]*runningItem{}, runCtx: context.Background(), adoptedJobs: map[string]bool{}, unroutedSince: map[string]time.Time{},
		unpublished: map[int]int{}, routesChanged: make(chan struct{}), places: places.New(maxActiveItems),
		promptParts: func(map[string][]string) []string { return nil }, lines: allLines{}, waitCounter: noWaitCounter{},
	}
}

// WithPromptParts sets the function that returns the identifiers of the parts of an item's prompt from the header of its
// request, and returns r. It must be called before Run.
func (r *Runner) WithPromptParts(read func(header map[string][]string) []string) *Runner {
	r.promptParts = read

	return r
}

// Run runs items until ctx ends, and returns when all attempts have stopped.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wg.Wait()

	x, stop := context.WithCancel(ctx)
	defer stop()

	r.mu.Lock()
	r.runCtx = x
	r.mu.Unlock()

	r.wg.Go(func() { r.saveProgress(x) })
	r.wg.Go(func() { r.watchWaits(x) })

	for x.Err() == nil {
		r.reconcile(x)

		select {
		case <-time.After(minReconcileInterval):
		case <-x.Done():
		}

		select {
		case <-r.batches.changed:
		case <-time.After(maxReconcileInterval - minReconcileInterval):
		case <-x.Done():
		}
	}

	return nil
}

// IsPartitionInUse reports whether this daemon runs jobs or items of a partition.
func (r *Runner) IsPartitionInUse(partition int) bool {
	r.mu.Lock()
	for _, u := range r.items {
		if u.active && r.batches.Partition(u.jobID) == partition {
			r.mu.Unlock()

			return true
		}
	}
	r.mu.Unlock()

	p := r.batches.followedPartition(partition)
	if p == nil {
		return false
	}

	now := r.clock()

	for _, v := range p.replica.OpenJobs() {
		if r.shouldRun(p, v, now) {
			return true
		}
	}

	return false
}

// reconcile stops the items that can no longer get a result and starts those that this daemon is to run. It does
// nothing while no routes are known.
func (r *Runner) reconcile(ctx context.Context) {
	t := r.routes.Table()
	if t == nil {
		return
	}

	now := r.clock()

	r.noteRoutes(t.Version())
	r.stopClosedItems()

	for _, p := range r.batches.followedPartitions() {
		if !p.consumer.IsLoaded() {
			continue
		}

		for _, v := range p.replica.OpenJobs() {
			if r.noteRun(p, v, now) {
				r.startJob(ctx, t, v, now)
			}
		}
	}
}

// noteRoutes tells the items that wait for slots of a new version of the routes.
func (r *Runner) noteRoutes(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if version != r.routesVersion {
		r.routesVersion = version

		close(r.routesChanged)
		r.routesChanged = make(chan struct{})
	}
}

// nextRoutes returns a channel that is closed after the next change of the routes.
func (r *Runner) nextRoutes() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.routesChanged
}

// stopClosedItems cancels and removes the items that can no longer get a result.
func (r *Runner) stopClosedItems() {
	r.mu.Lock()
	l := make([]*runningItem, 0, len(r.items))
	for _, u := range r.items {
		l = append(l, u)
	}
	r.mu.Unlock()

	for _, u := range l {
		if r.batches.IsItemClosed(u.jobID, u.item.ID()) {
			u.cancel()
			r.removeInactive(u)
		}
	}
}

// removeInactive removes an item unless it is active.
func (r *Runner) removeInactive(u *runningItem) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if !u.active {
		delete(r.items, u.jobID+"/"+u.item.ID())
	}
}

// startJob starts the items of a job that are not active, if the job has a batch route.
func (r *Runner) startJob(ctx context.Context, t *routing.Table, v batch.View, now time.Time) {
	route, ok := t.Match(v.Host(), v.Path())
	if !ok || route.Kind() != routing.Batch {
		r.failUnroutedItems(ctx, v, now)

		return
	}

	r.mu.Lock()
	delete(r.unroutedSince, v.ID())
	r.mu.Unlock()

	for _, i := range v.OpenItems() {
		r.startItem(ctx, v, i, route.ServiceFor(i.ID()), now)
	}
}

// failUnroutedItems fails the items of a job whose route has been missing for routeGracePeriod.
func (r *Runner) failUnroutedItems(ctx context.Context, v batch.View, now time.Time) {
	r.mu.Lock()
	since, ok := r.unroutedSince[v.ID()]
	if !ok {
		r.unroutedSince[v.ID()] = now
	}
	r.mu.Unlock()

	if !ok || now.Sub(since) < routeGracePeriod {
		return
	}

	for _, i := range v.OpenItems() {
		r.failItem(ctx, v, i, "the route of the job is gone", now)
	}
}

// startItem starts an attempt of an item at a service, or fails the item if the deadline of its job has passed. A deadline
// that is not after the due time does not count.
func (r *Runner) startItem(ctx context.Context, v batch.View, i batch.Item, service string, now time.Time) {
	deadline := v.Deadline().Add(deadlineMargin)
	if v.Deadline().After(v.Due()) && now.After(deadline) {
		r.failItem(ctx, v, i, "the time of the job is over", now)

		return
	}

	u := r.activate(v, i, service, now)
	if u == nil {
		return
	}

	x, stop := context.WithCancel(ctx)

	r.mu.Lock()
	u.cancel = stop
	r.mu.Unlock()

	r.wg.Go(func() {
		defer stop()

		r.runItem(x, ctx, v, u, deadline)
	})
}

// runItem makes one attempt of an item. The attempt ends with x; publishing its result ends with ctx.
func (r *Runner) runItem(x, ctx context.Context, v batch.View, u *runningItem, deadline time.Time) {
	now := r.clock()

	t := r.routes.Table()

	route, ok := t.Match(v.Host(), v.Path())
	if !ok || route.Kind() != routing.Batch {
		r.noteNoRoute(u)
		r.retryLater(u, maxItemRetryDelay)

		return
	}

	k := filter.NewCall(post, v.Host(), u.item.Path(), u.item.Header()).WithLastEvent(u.lastEvent)
	q := filter.NewItemRequest(filter.Input{
		ID: u.item.ID(), Path: u.item.Path(), Body: u.item.Body(), Call: k, Arrived: now, PromptParts: r.promptParts(u.item.Header()),
	}, route, v.Due(), deadline).WithRunTime(r.runTime.remaining(u.lastEvent)).WithBegun(u.hasBegun()).
		WithRouteCheck(func() bool { return r.isRoutedTo(v, u.item.ID(), route) }, r.nextRoutes)
	s := &itemSink{item: u, runTime: &r.runTime, lastEventAt: now}

	r.startAttempt(u, q)
	err := r.chain.Handle(x, q, s)
	r.endAttempt(u, q, s.status, err)

	switch {
	case err == nil && s.status == statusOK:
		r.runTime.observeEventCount(u.lastEvent)
		r.publishResult(ctx, u, batch.NewResult(u.item.ID(), string(u.text), true), "")
	case err == nil && s.status == statusImpossible:
		r.publishResult(ctx, u, batch.NewResult(u.item.ID(), "", false), "the target cannot do the item")
	case err == nil && s.status == statusFailed:
		r.handleFailedAttempt(ctx, u, route)
	case filter.IsPreempted(err):
		r.retryLater(u, 0)
	case outcome.Is(err, outcome.Quarantined):
		r.retryLater(u, min(maxQuarantineRetryDelay, max(minQuarantineRetryDelay, outcome.From(err).RetryAfter())))
	default:
		r.retryLater(u, min(maxItemRetryDelay, max(minItemRetryDelay, 2*u.retryDelay))) //nolint:mnd // exponential
	}
}

// isRoutedTo reports whether the routes in force send an item to the same service as a route.
func (r *Runner) isRoutedTo(v batch.View, item string, route routing.Route) bool {
	o, ok := r.routes.Table().Match(v.Host(), v.Path())

	return ok && o.Kind() == routing.Batch && o.ServiceFor(item) == route.ServiceFor(item)
}

const (
	post             = "POST"
	statusOK         = 200
	statusImpossible = 422 // the item can never be completed
	statusFailed     = 500 // the attempt of the item failed
)

// retryLater ends an attempt without a result. The next attempt starts after delay at the earliest.
func (r *Runner) retryLater(u *runningItem, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	u.active = false
	u.place.Release()

	u.mu.Lock()
	u.unproductive = u.lastEvent <= u.startedAfter
	u.mu.Unlock()

	u.retryDelay = delay
	u.retryAt = r.clock().Add(delay)
}

// handleFailedAttempt counts an attempt that the target reported as failed and discards its events. It fails the item
// if it has no attempts left on the route.
func (r *Runner) handleFailedAttempt(ctx context.Context, u *runningItem, route routing.Route) {
	u.mu.Lock()
	u.failedAttempts++
	failed := u.failedAttempts
	u.discardEvents()
	u.mu.Unlock()

	if failed >= route.Attempts() {
		r.publishResult(ctx, u, batch.NewResult(u.item.ID(), "", false), "all runs of the item failed")

		return
	}

	if err := r.batches.RecordFailure(ctx, u.jobID, u.item.ID(), failed); err != nil {
		r.logger.Warn().Str("event", "fail_not_recorded").Str("job", u.jobID).Str("item", u.item.ID()).Err(err).
			Msg("failed attempt of an item was not recorded; it is counted in memory only")
	}

	r.retryLater(u, minItemRetryDelay)
}

// publishResult publishes the result of an item, trying again until it succeeds or ctx ends. reason is empty unless the
// item failed.
func (r *Runner) publishResult(ctx context.Context, u *runningItem, v batch.Result, reason string) {
	e := r.logger.Debug()
	if !v.IsCompleted() {
		e = r.logger.Info()
	}

	e.Str("event", "item_ended").Str("job", u.jobID).Str("item", v.Item()).Bool("done", v.IsCompleted()).Int("failed_runs", u.failedAttempts).
		Str("reason", reason).Msg("publishing the result of an item")

	r.mu.Lock()
	u.finished, u.reason, u.finishedAt = true, reason, r.clock()
	u.failed = !v.IsCompleted()
	u.place.Release()

	partition := r.batches.Partition(u.jobID)
	r.unpublished[partition]++
	r.mu.Unlock()

	for ctx.Err() == nil {
		err := r.batches.PublishResult(ctx, u.jobID, v)
		if err == nil {
			break
		}

		select {
		case <-time.After(minItemRetryDelay):
		case <-ctx.Done():
		}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	u.active, u.published = false, true
	r.unpublished[partition]--
}

// ActiveItems returns the number of items that run, wait for a slot or whose result is being published.
func (r *Runner) ActiveItems() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	n := 0

	for _, u := range r.items {
		if u.active {
			n++
		}
	}

	return n
}
