package batches_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
)

// announceDelay is the age of the heartbeats that the daemons of a cluster have of each other.
const announceDelay = 50 * time.Millisecond

// takeoverTime is the time after which the daemons of a cluster know that a daemon has crashed.
const takeoverTime = 200 * time.Millisecond

// cluster has several daemons that run the jobs of one log. Calls between them are method calls.
type cluster struct {
	log    *memoryLog
	limits batches.LogLimits
	chain  *faultyChain

	mu        sync.Mutex
	processes []*process // the last one of each VM
	lastStart int64
	faulty    bool // one in four calls between daemons is lost, or its reply
	random    *rand.Rand
}

// process is one daemon process of a VM.
type process struct {
	cluster *cluster
	self    mesh.Peer
	daemon  *daemon
	runner  *batches.Runner
	stop    func()

	batches.Followers // of which it follows partitions and takes over jobs

	// guarded by cluster.mu
	stopped  bool
	left     bool
	endedAt  time.Time
	cutAt    time.Time // since when it has been cut off from the other daemons; zero if it is not
	followed []int     // partitions that it has announced
}

func newCluster(l *memoryLog, partitions int, c *faultyChain, r *rand.Rand) *cluster {
	return &cluster{log: l, limits: batches.NewLogLimits(partitions, 16<<10, 64<<10, time.Hour), chain: c, random: r}
}

// start starts a new process of a VM.
func (c *cluster) start(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.lastStart++

	p := &process{cluster: c, self: mesh.Peer{VM: fmt.Sprint("vm", n), Address: fmt.Sprint("vm", n), Start: c.lastStart}}
	p.Followers = batches.NewFollowers(p)
	ctx, cancel := context.WithCancel(context.Background())
	p.daemon = &daemon{
		Batches: batches.New(c.log, c.limits, batch.NewRunner(p.self.VM, p.self.Start), time.Now, zerolog.Nop()), stop: cancel,
	}

	w := &runnerWatcher{}
	chain := filter.ItemChain(c.chain, time.Now, w, c.chain)
	p.runner = batches.NewRunner(p.daemon.Batches, chain, fixedRoutes{}, p, clusterClient{cluster: c}, time.Now, zerolog.Nop())
	w.runner = p.runner

	p.daemon.wg.Go(func() { _ = batches.NewAssigner(p.daemon.Batches, p, p.runner, p, zerolog.Nop()).Run(ctx) })

	run, end := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = p.runner.Run(run)
	}()

	p.stop = func() {
		end()
		cancel()
		<-done
		p.daemon.wg.Wait()
	}

	if n < len(c.processes) {
		c.processes[n] = p
	} else {
		c.processes = append(c.processes, p)
	}
}

// runnerWatcher passes the steps of requests to a runner that is built after the chain.
type runnerWatcher struct{ runner *batches.Runner }

func (w *runnerWatcher) Watch(r *filter.Request, s filter.Step) { w.runner.Watch(r, s) }

// live returns the processes that have not ended.
func (c *cluster) live() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()

	var l []*process
	for _, p := range c.processes {
		if !p.stopped {
			l = append(l, p)
		}
	}

	return l
}

// end ends the process of a VM, after a handover of its jobs if it leaves, unless it has ended or no other one is left.
func (c *cluster) end(n int, leave bool) {
	if len(c.live()) < 2 {
		return
	}

	c.mu.Lock()
	p := c.processes[n]
	ended := p.stopped
	c.mu.Unlock()

	if ended {
		return
	}

	if leave {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		_ = p.runner.HandOver(ctx)

		stop()
	}

	c.mu.Lock()
	p.stopped, p.left, p.endedAt = true, leave, time.Now()
	c.mu.Unlock()

	p.stop()
}

// restart starts a new process of a VM whose process has ended.
func (c *cluster) restart(n int) {
	c.mu.Lock()
	ended := c.processes[n].stopped
	c.mu.Unlock()

	if ended {
		c.start(n)
	}
}

// shutDown ends all processes.
func (c *cluster) shutDown() {
	for _, p := range c.live() {
		p.stop()
	}
}

// cut cuts a daemon off from the others, which takes both sides takeoverTime to see, or ends that. It still reaches the
// log.
func (c *cluster) cut(n int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.processes[n].cutAt = time.Time{}
	if cut {
		c.processes[n].cutAt = time.Now()
	}
}

// reconnect ends all cuts.
func (c *cluster) reconnect() {
	for n := range c.processes {
		c.cut(n, false)
	}
}

// takesForLive reports whether p takes o for live. The caller holds cluster.mu.
func (p *process) takesForLive(o *process, now time.Time) bool {
	isCut := func(x *process) bool { return !x.cutAt.IsZero() && now.Sub(x.cutAt) >= takeoverTime }

	switch {
	case p == o:
		return true
	case isCut(p) || isCut(o):
		return false
	default:
		return !o.stopped || !o.left && now.Sub(o.endedAt) < takeoverTime
	}
}

// Self implements batches.Peers and batches.Membership, like the methods below.
func (p *process) Self() mesh.Peer { return p.self }

func (p *process) RankedPerDomain(key string, perDomain int, now time.Time) []mesh.Peer {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()

	var l []mesh.Peer
	for _, o := range p.cluster.processes {
		if p.takesForLive(o, now) {
			l = append(l, o.self)
		}
	}

	l = mesh.RankByHash(key, l)

	return l[:min(perDomain, len(l))]
}

func (p *process) IsSuspected(string) bool { return false }

func (p *process) IsRunning(vm string, start int64, now time.Time) bool {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()

	for _, o := range p.cluster.processes {
		if o.self.VM == vm && o.self.Start == start {
			return p.takesForLive(o, now)
		}
	}

	return false
}

func (p *process) HasStoppedFollowing(vm string, partition int, since time.Time) bool {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()

	for _, o := range p.cluster.processes {
		if o.self.VM == vm {
			return time.Now().Add(-announceDelay).After(since) && !slices.Contains(o.followed, partition)
		}
	}

	return false
}

// AnnouncePartitions implements batches.Announcer. The others learn of it after announceDelay.
func (p *process) AnnouncePartitions(l []int) {
	time.AfterFunc(announceDelay, func() {
		p.cluster.mu.Lock()
		defer p.cluster.mu.Unlock()

		p.followed = l
	})
}

// clusterClient calls the runners of other daemons.
type clusterClient struct{ cluster *cluster }

func (c clusterClient) Call(_ context.Context, address, _ string, args, reply any) error {
	c.cluster.mu.Lock()
	lost, replyLost := c.cluster.faulty && c.cluster.random.IntN(8) == 0, c.cluster.faulty && c.cluster.random.IntN(8) == 0

	var to *process
	for _, p := range c.cluster.processes {
		if p.self.Address == address && !p.stopped && p.cutAt.IsZero() {
			to = p
		}
	}
	c.cluster.mu.Unlock()

	if to == nil || lost {
		return outcome.New(outcome.LogUnavailable, outcome.NotRun, "no such daemon")
	}

	q, a := args.(batches.AdoptArgs), reply.(*batches.AdoptReply)

	var taken batches.AdoptReply
	if err := to.runner.Adopt(q, &taken); err != nil {
		return err
	}

	if replyLost {
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "no reply")
	}

	*a = taken

	return nil
}

// behavior is what becomes of an attempt of an item.
type behavior int

const (
	completes behavior = iota
	breaksOff
	fails
	isPreempted
	getsNoSlot
	waitsForSlot
	isQuarantined
	behaviorCount
)

// faultyChain is the slots and the targets of the items. Each attempt has a random behavior.
type faultyChain struct {
	events int
	gap    time.Duration // between two events

	mu      sync.Mutex
	random  *rand.Rand
	weights []int               // of the behaviors
	changed chan struct{}       // closed and replaced when the weights change
	running map[string]int      // number of attempts at targets, by item
	next    map[string]behavior // of the attempt that has a slot, by item
}

func newFaultyChain(events int, gap time.Duration, r *rand.Rand) *faultyChain {
	c := &faultyChain{
		events: events, gap: gap, random: r, running: map[string]int{}, next: map[string]behavior{}, changed: make(chan struct{}),
	}
	c.setWeights([]int{completes: 1, behaviorCount - 1: 0})

	return c
}

// setWeights sets how often attempts have each behavior. Attempts that wait for a slot get one then.
func (c *faultyChain) setWeights(w []int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.weights = w

	close(c.changed)
	c.changed = make(chan struct{})
}

// isRunning reports whether an attempt of an item is at a target.
func (c *faultyChain) isRunning(item string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.running[item] > 0
}

// Acquire implements filter.Router.
func (c *faultyChain) Acquire(ctx context.Context, r *filter.Request, _ []string) (filter.Slot, error) {
	c.mu.Lock()
	b := behavior(pickWeighted(c.random, c.weights))
	c.next[r.ID()] = b
	changed := c.changed
	c.mu.Unlock()

	switch b {
	case getsNoSlot:
		return nil, outcome.New(outcome.Overloaded, outcome.NotRun, "all slots are taken")
	case isQuarantined:
		return nil, outcome.New(outcome.Quarantined, outcome.NotRun, "targets keep crashing").WithRetryAfter(time.Minute)
	case waitsForSlot:
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "no slot in time")
		}
	case isPreempted:
		p := make(chan struct{})
		time.AfterFunc(2*c.gap, func() { close(p) })

		return preemptedSlot{preempted: p}, nil
	}

	return freeSlot{}, nil
}

type preemptedSlot struct {
	freeSlot

	preempted chan struct{}
}

func (s preemptedSlot) Preempted() <-chan struct{} { return s.preempted }

// Handle is the target of an attempt. It implements filter.Handler.
func (c *faultyChain) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	c.mu.Lock()
	b := c.next[r.ID()]
	c.running[r.ID()]++
	broken := r.LastEvent() + 1 + c.random.IntN(c.events)
	c.mu.Unlock()

	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()

		c.running[r.ID()]--
	}()

	if b == fails {
		_ = s.Emit(filter.NewHead(r.ID(), 500, "text/plain"))

		return s.Emit(filter.NewEnd(r.ID(), "", 0, 0))
	}

	_ = s.Emit(filter.NewHead(r.ID(), 200, "text/event-stream"))

	for n := r.LastEvent() + 1; n <= c.events; n++ {
		select {
		case <-time.After(c.gap):
		case <-ctx.Done():
			return outcome.New(outcome.Cancelled, outcome.Unknown, "ended")
		}

		if b == breaksOff && n >= broken {
			return outcome.New(outcome.LostResponse, outcome.Unknown, "the connection was reset")
		}

		if err := s.Emit(filter.NewChunk(r.ID(), n, nil, fmt.Sprint(n))); err != nil {
			return err
		}
	}

	return s.Emit(filter.NewEnd(r.ID(), "", 0, 0))
}
