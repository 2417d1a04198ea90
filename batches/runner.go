package batches

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/routing"
)

// Peers decides which daemon runs a job.
type Peers interface {
	Self() mesh.Peer
	RunnerCandidates(partition int, job string, now time.Time) []mesh.Peer
	IsRunning(vm string, start int64, now time.Time) bool
	HasStoppedFollowing(vm string, partition int, since time.Time) bool
}

// Routes has the version of the routes in force.
type Routes interface {
	Table() *routing.Table
}

// Caller calls methods of other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	// maxReconcileInterval is the time between two passes over the jobs, beside those that a change causes.
	maxReconcileInterval = 100 * time.Millisecond
	// unfollowGracePeriod is the time after the acceptance of a job from which its daemon is believed that it does not follow the
	// partition. Heartbeats are sent a few times a second, and clocks of VMs differ.
	unfollowGracePeriod = 3 * time.Second
	// minReconcileInterval is the least time between two passes. Partitions change many times a second.
	minReconcileInterval = 10 * time.Millisecond
	// maxActiveItems bounds the items that one daemon runs or has waiting for a slot. The owner of the slots orders them.
	maxActiveItems = 48
	// minItemRetryDelay and againMost bound the delay before an item runs again after its target failed.
	minItemRetryDelay = 20 * time.Millisecond
	maxItemRetryDelay  = time.Second
	// deadlineMargin is added to the time after which an item may be given up, as clocks of VMs differ.
	deadlineMargin = 5 * time.Second
	// routeGracePeriod is how long the route of a job has to be gone before its items are given up. It covers the time that
	// two versions of the configuration are in force beside each other.
	routeGracePeriod = 5 * time.Second
)

// Runner runs the items of the jobs that this daemon accepted, and of jobs whose daemon is gone.
type Runner struct {
	batches *Batches
	chain   filter.Handler
	routes  Routes
	peers   Peers
	caller  Caller
	clock   func() time.Time
	logger  zerolog.Logger

	mu      sync.Mutex
	items map[string]*runningItem
	runCtx    context.Context //nolint:containedctx // the life of the actor, for results of jobs that were handed over
	adoptedJobs map[string]bool // jobs that their daemon handed over when it left
	unroutedSince    map[string]time.Time
	leaving bool
	wg      sync.WaitGroup
	runTime    runTimeEstimator
}

// NewRunner returns the controller. h is the chain that items pass through.
func NewRunner(b *Batches, h filter.Handler, t Routes, p Peers, c Caller, clock func() time.Time, z zerolog.Logger) *Runner {
	return &Runner{
		batches: b, chain: h, routes: t, peers: p, caller: c, clock: clock, logger: z,
		items: map[string]*runningItem{}, runCtx: context.Background(), adoptedJobs: map[string]bool{}, unroutedSince: map[string]time.Time{},
	}
}

// Run runs items until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wg.Wait()

	x, stop := context.WithCancel(ctx)
	defer stop()

	r.mu.Lock()
	r.runCtx = x
	r.mu.Unlock()

	r.wg.Go(func() { r.saveProgress(x) })

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

// IsPartitionInUse reports whether this daemon runs jobs of a partition.
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

// reconcile starts the items that are due to run here, and stops those that are not.
func (r *Runner) reconcile(ctx context.Context) {
	t := r.routes.Table()
	if t == nil {
		return
	}

	now := r.clock()

	r.stopClosedItems()

	for _, p := range r.batches.followedPartitions() {
		if !p.consumer.IsLoaded() {
			continue
		}

		for _, v := range p.replica.OpenJobs() {
			if r.shouldRun(p, v, now) {
				r.startJob(ctx, t, v, now)
			}
		}
	}
}

// shouldRun reports whether this daemon runs a job of a partition: the one that accepted it while it is live and follows the
// partition, and then the first choice among those that do. An append that was made late can record a job for a daemon that
// has dropped the partition meanwhile.
func (r *Runner) shouldRun(p *partition, v batch.View, now time.Time) bool {
	self := r.peers.Self()

	r.mu.Lock()
	adopted, leaving := r.adoptedJobs[v.ID()], r.leaving
	r.mu.Unlock()

	switch w := v.Runner(); {
	case leaving:
		return false
	case adopted, w.VM() == self.VM && w.Start() == self.Start:
		return true
	case r.peers.IsRunning(w.VM(), w.Start(), now) && !r.peers.HasStoppedFollowing(w.VM(), p.number, v.AcceptedAt().Add(unfollowGracePeriod)):
		return false
	default:
		l := r.peers.RunnerCandidates(p.number, v.ID(), now)

		return len(l) > 0 && l[0].VM == self.VM
	}
}

// stopClosedItems stops items that can get no result any more.
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

// removeInactive removes an item that needs no more runs, unless one is active.
func (r *Runner) removeInactive(u *runningItem) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if !u.active {
		delete(r.items, u.jobID+"/"+u.item.ID())
	}
}

// startJob starts the items of a job that are not running.
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
		r.startItem(ctx, v, i, now)
	}
}

// failUnroutedItems gives up the items of a job whose route is gone for good.
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
		if u := r.activate(v, i, now); u != nil {
			r.wg.Go(func() { r.publishResult(ctx, u, batch.NewResult(i.ID(), "", false), "the route of the job is gone") })
		}
	}
}

// activate marks an item as active, unless it is, it has to wait, or too many are.
func (r *Runner) activate(v batch.View, i batch.Item, now time.Time) *runningItem {
	r.mu.Lock()
	defer r.mu.Unlock()

	k := v.ID() + "/" + i.ID()

	u, ok := r.items[k]
	if !ok {
		u = &runningItem{jobID: v.ID(), item: i, cancel: func() {}, failedAttempts: v.FailedAttempts(i.ID()), runID: rand.Uint64()}
		r.items[k] = u
	}

	if !u.active {
		u.resumeFrom(v.Progress(i.ID()))
	}

	if u.active || u.published || now.Before(u.retryAt) || r.leaving {
		return nil
	}

	n := 0

	for _, o := range r.items {
		if o.active {
			n++
		}
	}

	if n >= maxActiveItems {
		return nil
	}

	u.active = true

	return u
}

func (r *Runner) startItem(ctx context.Context, v batch.View, i batch.Item, now time.Time) {
	u := r.activate(v, i, now)
	if u == nil {
		return
	}

	end := v.Deadline().Add(deadlineMargin)
	if v.Deadline().After(v.Due()) && now.After(end) {
		r.wg.Go(func() { r.publishResult(ctx, u, batch.NewResult(i.ID(), "", false), "the time of the job is over") })

		return
	}

	x, stop := context.WithCancel(ctx)

	r.mu.Lock()
	u.cancel = stop
	r.mu.Unlock()

	r.wg.Go(func() {
		defer stop()

		r.runItem(x, ctx, v, u, end)
	})
}

// runItem makes one run of an item.
func (r *Runner) runItem(x, ctx context.Context, v batch.View, u *runningItem, end time.Time) {
	now := r.clock()

	t := r.routes.Table()

	route, ok := t.Match(v.Host(), v.Path())
	if !ok || route.Kind() != routing.Batch {
		r.retryLater(u, maxItemRetryDelay)

		return
	}

	k := filter.NewCall(post, v.Host(), u.item.Path(), u.item.Header()).WithLastEvent(u.lastEvent)
	q := filter.NewItemRequest(filter.Input{
		ID: u.item.ID(), Path: u.item.Path(), Body: u.item.Body(), Call: k, Arrived: now,
	}, route, v.Due(), end).WithRunTime(r.runTime.remaining(u.lastEvent))
	s := &itemSink{item: u, runTime: &r.runTime, lastEventAt: now}

	err := r.chain.Handle(x, q, s)

	switch {
	case err == nil && s.status == statusOK:
		r.runTime.observeEventCount(u.lastEvent)
		r.publishResult(ctx, u, batch.NewResult(u.item.ID(), string(u.text), true), "")
	case err == nil && s.status == statusImpossible:
		r.publishResult(ctx, u, batch.NewResult(u.item.ID(), "", false), "the target cannot do the item")
	case err == nil:
		r.handleFailedAttempt(ctx, u, route)
	case filter.IsPreempted(err), outcome.Is(err, outcome.Overloaded):
		r.retryLater(u, 0)
	default:
		r.retryLater(u, min(maxItemRetryDelay, max(minItemRetryDelay, 2*u.retryDelay))) //nolint:mnd // exponential
	}
}

const (
	post             = "POST"
	statusOK         = 200
	statusImpossible = 422
)

// retryLater ends a run without a result. The item runs again after a delay.
func (r *Runner) retryLater(u *runningItem, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	u.active = false
	u.retryDelay = delay
	u.retryAt = r.clock().Add(delay)
}

// handleFailedAttempt counts a run that the target reports as failed.
func (r *Runner) handleFailedAttempt(ctx context.Context, u *runningItem, t routing.Route) {
	u.failedAttempts++
	u.mu.Lock()
	u.text, u.lastEvent, u.eventEnds, u.runID, u.parentRunID, u.parentEvent = nil, 0, nil, rand.Uint64(), 0, 0
	u.mu.Unlock()

	if u.failedAttempts >= t.Attempts() {
		r.publishResult(ctx, u, batch.NewResult(u.item.ID(), "", false), "all runs of the item failed")

		return
	}

	if err := r.batches.RecordFailure(ctx, u.jobID, u.item.ID(), u.failedAttempts); err != nil {
		r.logger.Warn().Str("event", "fail_not_recorded").Str("job", u.jobID).Str("item", u.item.ID()).Err(err).
			Msg("a failed run is counted in memory only")
	}

	r.retryLater(u, minItemRetryDelay)
}

// publishResult records the result of an item, as often as it takes.
func (r *Runner) publishResult(ctx context.Context, u *runningItem, v batch.Result, why string) {
	e := r.logger.Debug()
	if !v.IsCompleted() {
		e = r.logger.Info()
	}

	e.Str("event", "item_ended").Str("job", u.jobID).Str("item", v.Item()).Bool("done", v.IsCompleted()).Int("failed_runs", u.failedAttempts).
		Str("reason", why).Msg("an item has a result")

	r.mu.Lock()
	u.finished, u.reason = true, why
	u.failed = !v.IsCompleted()
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
}

// ActiveItems returns the number of items that run or wait for a slot.
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
