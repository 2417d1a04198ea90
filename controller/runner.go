package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/outcome"
)

const (
	// minPullDelay and maxPullDelay bound the delay between two pulls from a partition that has no shards to grant.
	// Such a pull takes 285 bytes in both directions together, so an idle daemon uses about 0.9 KB/s for 16 partitions.
	minPullDelay = 200 * time.Millisecond
	maxPullDelay = 5 * time.Second
	// pollInterval is the period at which the partitions are checked for due pulls and due reports.
	pollInterval = 50 * time.Millisecond
	// initialItemLimit and maxItemLimit are the initial and the largest number of batch items that a daemon runs at a
	// time. Running items wait for their slot at the slot owner, which serves online work first. With too few items
	// waiting, free slots would stay unused.
	initialItemLimit = 64
	maxItemLimit     = 256
	// releaseTimeout bounds the time for the last reports, which release the leases when a daemon stops or hands over.
	releaseTimeout = 2 * time.Second
	// reserveFactor is the number of items that a daemon holds for each item that it can run at a time, so that it does
	// not run out of items between pulls.
	reserveFactor = 2
)

// Runner pulls job shards for its failure domain, runs their items and reports the results. It is safe for concurrent
// use.
type Runner struct {
	jobs     *Jobs
	routes   *Routes
	service  *JobService
	settings Settings
	chain    filter.Handler
	lookup   filter.Lookup
	holder   string
	domain   string
	clock    func() time.Time
	counter  Counter
	logger   zerolog.Logger

	partitions  []*heldPartition
	wake        chan struct{}
	handingOver atomic.Bool

	mu           sync.Mutex
	capacity     *job.Capacity
	runningCount int
}

// RunnerDependencies are the arguments of NewRunner.
type RunnerDependencies struct {
	jobs     *Jobs
	chain    filter.Handler
	lookup   filter.Lookup
	holder   string
	domain   string
	clock    func() time.Time
	counter  Counter
	logger   zerolog.Logger
	capacity *job.Capacity
}

// NewRunnerDependencies returns the dependencies. chain runs items, and l looks up items that may have run at a target.
// holder, which is VM and incarnation, and domain identify this daemon in leases.
func NewRunnerDependencies(j *Jobs, chain filter.Handler, l filter.Lookup, holder, domain string, clock func() time.Time, c Counter, z zerolog.Logger) RunnerDependencies {
	return RunnerDependencies{
		jobs: j, chain: chain, lookup: l, holder: holder, domain: domain, clock: clock, counter: c, logger: z,
		capacity: job.NewCapacity(initialItemLimit, maxItemLimit),
	}
}

// NewRunner returns a runner that holds no job shards. Run starts it.
func NewRunner(p RunnerDependencies) *Runner {
	r := &Runner{
		jobs: p.jobs, routes: p.jobs.routes, service: p.jobs.service, settings: p.jobs.settings, chain: p.chain, lookup: p.lookup,
		holder: p.holder, domain: p.domain, clock: p.clock, counter: p.counter, logger: p.logger, capacity: p.capacity,
		wake: make(chan struct{}, 1),
	}

	for i := range r.routes.assignment.PartitionCount() {
		r.partitions = append(r.partitions, newHeldPartition(i))
	}

	return r
}

// Run pulls and runs job shards until ctx ends, and then releases their leases.
func (r *Runner) Run(ctx context.Context) error {
	x, stop := context.WithCancel(ctx)

	var loops, items sync.WaitGroup

	loops.Go(func() { r.pullLoop(x) })
	loops.Go(func() { r.dispatchLoop(x, &items) })
	loops.Go(func() { r.reportLoop(x, &items) })

	<-ctx.Done()
	stop()
	loops.Wait()
	r.releaseShards(context.WithoutCancel(ctx))
	items.Wait()

	return nil
}

// StopJob cancels the shards of a job that this daemon holds, even if the log is not available, and returns their
// number. Until it restarts, the daemon takes no shards of the job again. Other daemons are not affected.
func (r *Runner) StopJob(id string) int {
	n := 0

	for _, h := range r.partitions {
		n += h.stopJob(id)
	}

	r.logger.Info().Str("job", id).Int("shards", n).Msg("job stopped at this daemon by an operator")

	return n
}

// HeldShards returns the job shards that this daemon holds.
func (r *Runner) HeldShards() []job.ShardRef {
	var l []job.ShardRef

	for _, h := range r.partitions {
		v, _, _ := h.pullState(time.Time{})
		l = append(l, v...)
	}

	return l
}

// pullLoop pulls from the partitions in turn until ctx ends.
func (r *Runner) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range r.partitions {
			r.pull(ctx, h)
		}

		sleep(ctx, pollInterval)
	}
}

// spareCapacity returns the number of items that this daemon can take now. It is negative if it holds too many.
func (r *Runner) spareCapacity() int {
	n := 0
	for _, h := range r.partitions {
		n += h.pendingCount()
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	return reserveFactor*r.capacity.Limit() - n
}

func (r *Runner) pull(ctx context.Context, h *heldPartition) {
	held, refused, due := h.pullState(r.clock())

	w := r.spareCapacity()
	if !due || w <= 0 || ctx.Err() != nil || r.handingOver.Load() {
		return
	}

	a := PullArgs{Partition: h.partition, Domain: r.domain, Holder: r.holder, Capacity: w, Held: held, Refused: refused}
	got := false

	for _, s := range r.callPull(ctx, a) {
		now := r.clock()

		if r.fetchItems(ctx, h.partition, &s) && h.acquire(ctx, now, s) {
			got = true
		}
	}

	h.schedulePull(r.clock(), got)

	if got {
		r.wakeDispatch()
	}
}

// fetchItems reads the pending items of a granted shard into s and reports whether it succeeded. If not, the next pull
// gets the shard again.
func (r *Runner) fetchItems(ctx context.Context, p int, s *job.LeasedShard) bool {
	a := ItemsArgs{Partition: p, Job: s.Job, Shard: s.Shard, Lease: s.Lease}

	for {
		v, err := r.callItems(ctx, a)
		if err != nil {
			return false
		}

		s.Items = append(s.Items, v.Items...)

		if v.Next == 0 {
			return true
		}

		a.From = v.Next
	}
}

// dispatchLoop starts items while there is capacity, until ctx ends.
func (r *Runner) dispatchLoop(ctx context.Context, wg *sync.WaitGroup) {
	for ctx.Err() == nil {
		at := r.dispatch(wg)

		var timer <-chan time.Time
		if !at.IsZero() {
			timer = time.After(max(time.Millisecond, at.Sub(r.clock())))
		}

		select {
		case <-r.wake:
		case <-timer:
		case <-ctx.Done():
		}
	}
}

// dispatch starts as many items as the capacity allows. It returns the time at which to try again, or the zero time if
// only wakeDispatch ends the wait.
func (r *Runner) dispatch(wg *sync.WaitGroup) time.Time {
	started := map[leaseRef][]runningItem{}

	var at time.Time

	for !r.handingOver.Load() && r.acquireItem() {
		h, next := r.mostUrgentPartition()
		at = next

		if h == nil {
			r.releaseItem()

			break
		}

		t, x, ok := h.nextTask(r.clock())
		if !ok {
			r.releaseItem()

			continue
		}

		v := runningItem{partition: h, task: t, ctx: x}

		if t.Idempotent() || t.ShouldLookUp() {
			wg.Go(func() { r.runItem(v) })

			continue
		}

		k := leaseRef{ref: t.Ref(), lease: t.Lease()}
		started[k] = append(started[k], v)
	}

	for _, l := range started {
		wg.Go(func() { r.startItems(l, wg) })
	}

	return at
}

// mostUrgentPartition returns the partition with the most urgent task. If no task is ready, it returns nil and the time
// at which one may be, or the zero time if no item is queued.
func (r *Runner) mostUrgentPartition() (*heldPartition, time.Time) {
	var b *heldPartition

	var urgency job.Urgency

	var at time.Time

	now := r.clock()

	for _, h := range r.partitions {
		k, ok, next := h.nextUrgency(now)

		switch {
		case ok && (b == nil || k.Before(urgency)):
			b, urgency = h, k
		case !ok && !next.IsZero() && (at.IsZero() || next.Before(at)):
			at = next
		}
	}

	return b, at
}

func (r *Runner) acquireItem() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.runningCount >= r.capacity.Limit() {
		return false
	}

	r.runningCount++

	return true
}

func (r *Runner) releaseItem() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.runningCount--
}

func (r *Runner) wakeDispatch() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// reportLoop sends due reports, which are also due regularly while no item ends, and cancels shards that were not
// renewed within the cut-off run bound.
func (r *Runner) reportLoop(ctx context.Context, wg *sync.WaitGroup) {
	for ctx.Err() == nil {
		bound := r.settings.InForce().Document().Batch.CutoffRunBound.Value()

		for _, h := range r.partitions {
			for _, v := range h.dueReports(r.clock()) {
				wg.Go(func() { r.sendReport(ctx, h, v) })
			}

			if n := h.cutOff(r.clock(), bound); n > 0 {
				r.counter.Count("shards_cut_off", int64(n))
				r.logger.Warn().Int("partition", h.partition).Int("shards", n).
					Msg("job shards stopped: their leases were not renewed within the cut-off run bound")
			}
		}

		sleep(ctx, pollInterval)
	}
}

func (r *Runner) sendReport(ctx context.Context, h *heldPartition, v job.Report) {
	a, err := r.callReport(ctx, ReportArgs{Partition: h.partition, Report: v})
	if err != nil {
		r.counter.Count("reports_failed", 1)
		h.handleNoReply(v)

		return
	}

	if h.handleReply(v, a) && !a.Holds {
		r.counter.Count("shards_lost", 1)
	}

	r.wakeDispatch()
}

// releaseShards releases the leases of all shards, so that other daemons need not wait for them to expire.
func (r *Runner) releaseShards(ctx context.Context) {
	x, stop := context.WithTimeout(ctx, releaseTimeout)
	defer stop()

	var wg sync.WaitGroup

	for _, h := range r.partitions {
		for _, v := range h.releaseAll(r.clock()) {
			wg.Go(func() { _, _ = r.callReport(x, ReportArgs{Partition: h.partition, Report: v}) })
		}
	}

	wg.Wait()
}

// updateCapacity adapts the number of items that run at a time to the outcome of an attempt.
func (r *Runner) updateCapacity(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	switch {
	case err == nil:
		r.capacity.RecordSuccess()
	case outcome.Is(err, outcome.Overloaded) || outcome.Is(err, outcome.NoTarget):
		r.capacity.RecordRefusal(r.clock())
	}
}
