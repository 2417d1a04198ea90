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
	Runners(partition int, job string, now time.Time) []mesh.Peer
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
	// runnerTick is the time between two passes over the jobs, beside those that a change causes.
	runnerTick = 100 * time.Millisecond
	// droppedAfter is the time after the acceptance of a job from which its daemon is believed that it does not follow the
	// partition. Heartbeats are sent a few times a second, and clocks of VMs differ.
	droppedAfter = 3 * time.Second
	// runnerPause is the least time between two passes. Partitions change many times a second.
	runnerPause = 10 * time.Millisecond
	// mostRunning bounds the items that one daemon runs or has waiting for a slot. The owner of the slots orders them.
	mostRunning = 48
	// againFirst and againMost bound the delay before an item runs again after its target failed.
	againFirst = 20 * time.Millisecond
	againMost  = time.Second
	// abandonMargin is added to the time after which an item may be given up, as clocks of VMs differ.
	abandonMargin = 5 * time.Second
	// routeGone is how long the route of a job has to be gone before its items are given up. It covers the time that
	// two versions of the configuration are in force beside each other.
	routeGone = 5 * time.Second
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
	running map[string]*run
	life    context.Context //nolint:containedctx // the life of the actor, for results of jobs that were handed over
	adopted map[string]bool // jobs that their daemon handed over when it left
	gone    map[string]time.Time
	leaving bool
	wg      sync.WaitGroup
	pace    pace
}

// NewRunner returns the controller. h is the chain that items pass through.
func NewRunner(b *Batches, h filter.Handler, t Routes, p Peers, c Caller, clock func() time.Time, z zerolog.Logger) *Runner {
	return &Runner{
		batches: b, chain: h, routes: t, peers: p, caller: c, clock: clock, logger: z,
		running: map[string]*run{}, life: context.Background(), adopted: map[string]bool{}, gone: map[string]time.Time{},
	}
}

// Run runs items until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wg.Wait()

	x, stop := context.WithCancel(ctx)
	defer stop()

	r.mu.Lock()
	r.life = x
	r.mu.Unlock()

	r.wg.Go(func() { r.save(x) })

	for x.Err() == nil {
		r.pass(x)

		select {
		case <-time.After(runnerPause):
		case <-x.Done():
		}

		select {
		case <-r.batches.changed:
		case <-time.After(runnerTick - runnerPause):
		case <-x.Done():
		}
	}

	return nil
}

// Uses reports whether this daemon runs jobs of a partition.
func (r *Runner) Uses(partition int) bool {
	r.mu.Lock()
	for _, u := range r.running {
		if u.active && r.batches.Partition(u.job) == partition {
			r.mu.Unlock()

			return true
		}
	}
	r.mu.Unlock()

	p := r.batches.copy(partition)
	if p == nil {
		return false
	}

	now := r.clock()

	for _, v := range p.replica.Open() {
		if r.mine(p, v, now) {
			return true
		}
	}

	return false
}

// pass starts the items that are due to run here, and stops those that are not.
func (r *Runner) pass(ctx context.Context) {
	t := r.routes.Table()
	if t == nil {
		return
	}

	now := r.clock()

	r.stopListed()

	for _, p := range r.batches.copies() {
		if !p.follower.Loaded() {
			continue
		}

		for _, v := range p.replica.Open() {
			if r.mine(p, v, now) {
				r.start(ctx, t, v, now)
			}
		}
	}
}

// mine reports whether this daemon runs a job of a partition: the one that accepted it while it is live and follows the
// partition, and then the first choice among those that do. An append that was made late can record a job for a daemon that
// has dropped the partition meanwhile.
func (r *Runner) mine(p *partition, v batch.View, now time.Time) bool {
	self := r.peers.Self()

	r.mu.Lock()
	adopted, leaving := r.adopted[v.ID()], r.leaving
	r.mu.Unlock()

	switch w := v.Runner(); {
	case leaving:
		return false
	case adopted, w.VM() == self.VM && w.Start() == self.Start:
		return true
	case r.peers.IsRunning(w.VM(), w.Start(), now) && !r.peers.HasStoppedFollowing(w.VM(), p.number, v.At().Add(droppedAfter)):
		return false
	default:
		l := r.peers.Runners(p.number, v.ID(), now)

		return len(l) > 0 && l[0].VM == self.VM
	}
}

// stopListed stops items that can get no result any more.
func (r *Runner) stopListed() {
	r.mu.Lock()
	l := make([]*run, 0, len(r.running))
	for _, u := range r.running {
		l = append(l, u)
	}
	r.mu.Unlock()

	for _, u := range l {
		if r.batches.Listed(u.job, u.item.ID()) {
			u.cancel()
			r.forget(u)
		}
	}
}

// forget removes an item that needs no more runs, unless one is active.
func (r *Runner) forget(u *run) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if !u.active {
		delete(r.running, u.job+"/"+u.item.ID())
	}
}

// start starts the items of a job that are not running.
func (r *Runner) start(ctx context.Context, t *routing.Table, v batch.View, now time.Time) {
	route, ok := t.Match(v.Host(), v.Path())
	if !ok || route.Kind() != routing.Batch {
		r.routeless(ctx, v, now)

		return
	}

	r.mu.Lock()
	delete(r.gone, v.ID())
	r.mu.Unlock()

	for _, i := range v.Open() {
		r.startItem(ctx, v, i, now)
	}
}

// routeless gives up the items of a job whose route is gone for good.
func (r *Runner) routeless(ctx context.Context, v batch.View, now time.Time) {
	r.mu.Lock()
	since, ok := r.gone[v.ID()]
	if !ok {
		r.gone[v.ID()] = now
	}
	r.mu.Unlock()

	if !ok || now.Sub(since) < routeGone {
		return
	}

	for _, i := range v.Open() {
		if u := r.take(v, i, now); u != nil {
			r.wg.Go(func() { r.list(ctx, u, batch.NewResult(i.ID(), "", false), "the route of the job is gone") })
		}
	}
}

// take marks an item as active, unless it is, it has to wait, or too many are.
func (r *Runner) take(v batch.View, i batch.Item, now time.Time) *run {
	r.mu.Lock()
	defer r.mu.Unlock()

	k := v.ID() + "/" + i.ID()

	u, ok := r.running[k]
	if !ok {
		u = &run{job: v.ID(), item: i, cancel: func() {}, fails: v.Fails(i.ID()), chain: rand.Uint64()}
		r.running[k] = u
	}

	if !u.active {
		u.goOn(v.Progress(i.ID()))
	}

	if u.active || u.done || now.Before(u.next) || r.leaving {
		return nil
	}

	n := 0

	for _, o := range r.running {
		if o.active {
			n++
		}
	}

	if n >= mostRunning {
		return nil
	}

	u.active = true

	return u
}

func (r *Runner) startItem(ctx context.Context, v batch.View, i batch.Item, now time.Time) {
	u := r.take(v, i, now)
	if u == nil {
		return
	}

	end := v.Abandon().Add(abandonMargin)
	if v.Abandon().After(v.Due()) && now.After(end) {
		r.wg.Go(func() { r.list(ctx, u, batch.NewResult(i.ID(), "", false), "the time of the job is over") })

		return
	}

	x, stop := context.WithCancel(ctx)

	r.mu.Lock()
	u.cancel = stop
	r.mu.Unlock()

	r.wg.Go(func() {
		defer stop()

		r.run(x, ctx, v, u, end)
	})
}

// run makes one run of an item.
func (r *Runner) run(x, ctx context.Context, v batch.View, u *run, end time.Time) {
	now := r.clock()

	t := r.routes.Table()

	route, ok := t.Match(v.Host(), v.Path())
	if !ok || route.Kind() != routing.Batch {
		r.rest(u, againMost)

		return
	}

	k := filter.NewCall(post, v.Host(), u.item.Path(), u.item.Header()).WithLastEvent(u.last)
	q := filter.NewItemRequest(filter.Input{
		ID: u.item.ID(), Path: u.item.Path(), Body: u.item.Body(), Call: k, Arrived: now,
	}, route, v.Due(), end).WithRunTime(r.pace.needs(u.last))
	s := &itemSink{run: u, pace: &r.pace, start: now}

	err := r.chain.Handle(x, q, s)

	switch {
	case err == nil && s.status == statusOK:
		r.pace.ended(u.last)
		r.list(ctx, u, batch.NewResult(u.item.ID(), string(u.text), true), "")
	case err == nil && s.status == statusImpossible:
		r.list(ctx, u, batch.NewResult(u.item.ID(), "", false), "the target cannot do the item")
	case err == nil:
		r.failed(ctx, u, route)
	case filter.IsPreempted(err), outcome.Is(err, outcome.Overloaded):
		r.rest(u, 0)
	default:
		r.rest(u, min(againMost, max(againFirst, 2*u.delay))) //nolint:mnd // exponential
	}
}

const (
	post             = "POST"
	statusOK         = 200
	statusImpossible = 422
)

// rest ends a run without a result. The item runs again after a delay.
func (r *Runner) rest(u *run, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	u.active = false
	u.delay = delay
	u.next = r.clock().Add(delay)
}

// failed counts a run that the target reports as failed.
func (r *Runner) failed(ctx context.Context, u *run, t routing.Route) {
	u.fails++
	u.mu.Lock()
	u.text, u.last, u.ends, u.chain, u.onto, u.base = nil, 0, nil, rand.Uint64(), 0, 0
	u.mu.Unlock()

	if u.fails >= t.Attempts() {
		r.list(ctx, u, batch.NewResult(u.item.ID(), "", false), "all runs of the item failed")

		return
	}

	if err := r.batches.Fail(ctx, u.job, u.item.ID(), u.fails); err != nil {
		r.logger.Warn().Str("event", "fail_not_recorded").Str("job", u.job).Str("item", u.item.ID()).Err(err).
			Msg("a failed run is counted in memory only")
	}

	r.rest(u, againFirst)
}

// list records the result of an item, as often as it takes.
func (r *Runner) list(ctx context.Context, u *run, v batch.Result, why string) {
	e := r.logger.Debug()
	if !v.Done() {
		e = r.logger.Info()
	}

	e.Str("event", "item_ended").Str("job", u.job).Str("item", v.Item()).Bool("done", v.Done()).Int("failed_runs", u.fails).
		Str("reason", why).Msg("an item has a result")

	r.mu.Lock()
	u.ended, u.why = true, why
	u.given = !v.Done()
	r.mu.Unlock()

	for ctx.Err() == nil {
		err := r.batches.List(ctx, u.job, v)
		if err == nil {
			break
		}

		select {
		case <-time.After(againFirst):
		case <-ctx.Done():
		}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	u.active, u.done = false, true
}

// Running returns the number of items that run or wait for a slot.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	n := 0

	for _, u := range r.running {
		if u.active {
			n++
		}
	}

	return n
}
