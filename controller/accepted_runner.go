package controller

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

const (
	// scanInterval is the period of the scans for accepted work that no daemon runs.
	scanInterval = 500 * time.Millisecond
	// holderTimeout is how long a daemon must be missing among the peers before its work is taken over. The platform
	// updates the list of VMs with a delay, and a suspected peer may turn out to be live.
	holderTimeout = 5 * time.Second
	// claimGracePeriod is the time after the deadline of the work for which its holder may still record the completion.
	claimGracePeriod = 10 * time.Second
	// maxConcurrentWork bounds the number of accepted requests that this daemon runs at a time.
	maxConcurrentWork = 64
	// maxRetryDelay bounds the delay between two attempts at work that no target has run, such as when there is no
	// target.
	maxRetryDelay = 5 * time.Second
)

// AcceptedRunner runs accepted work that no daemon runs: asynchronous requests, and work whose claim is held by a
// daemon that is missing. It does so for the partitions of which this daemon is the writer.
type AcceptedRunner struct {
	journal    *Journal
	assignment *Assignment
	settings   Settings
	chain      filter.Handler
	lookup     filter.Lookup
	holder     string
	newID      func() string
	clock      func() time.Time
	counter    Counter
	logger     zerolog.Logger
	semaphore  chan struct{}

	mu           sync.Mutex
	presentVMs   map[string]bool
	missingSince map[string]time.Time
	running      map[journal.Key]bool
}

// AcceptedDependencies are the arguments of NewAcceptedRunner.
type AcceptedDependencies struct {
	journal  *Journal
	settings Settings
	chain    filter.Handler
	lookup   filter.Lookup
	holder   string
	newID    func() string
	clock    func() time.Time
	counter  Counter
	logger   zerolog.Logger
}

// NewAcceptedDependencies returns the dependencies. chain runs requests, l looks them up at targets, and holder, which
// is VM and incarnation, identifies this process in claims. newID returns unique identifiers for claims, which are also
// the request identifiers at targets.
func NewAcceptedDependencies(
	j *Journal, s Settings, chain filter.Handler, l filter.Lookup, holder string, newID func() string, clock func() time.Time, n Counter, z zerolog.Logger,
) AcceptedDependencies {
	return AcceptedDependencies{journal: j, settings: s, chain: chain, lookup: l, holder: holder, newID: newID, clock: clock, counter: n, logger: z}
}

// NewAcceptedRunner returns a runner that does nothing before Run or Scan.
func NewAcceptedRunner(p AcceptedDependencies) *AcceptedRunner {
	return &AcceptedRunner{
		journal: p.journal, assignment: p.journal.routes.assignment, settings: p.settings, chain: p.chain, lookup: p.lookup,
		holder: p.holder, newID: p.newID, clock: p.clock, counter: p.counter, logger: p.logger,
		semaphore: make(chan struct{}, maxConcurrentWork), missingSince: map[string]time.Time{}, running: map[journal.Key]bool{},
	}
}

// Run scans for work until ctx ends, and then waits for the work in progress.
func (c *AcceptedRunner) Run(ctx context.Context) error {
	var wg sync.WaitGroup

	for ctx.Err() == nil {
		c.Scan(ctx, &wg)
		sleep(ctx, scanInterval)
	}

	wg.Wait()

	return nil
}

// Scan starts the next step of all work for which one is due now, each in a goroutine of wg.
func (c *AcceptedRunner) Scan(ctx context.Context, wg *sync.WaitGroup) {
	c.recordPeers(c.assignment.Peers())

	for p := range c.assignment.PartitionCount() {
		if !c.assignment.IsWriter(p) {
			continue
		}

		for _, w := range c.journal.replicas.Replica(p).UnendedWork() {
			c.startStep(ctx, wg, w)
		}
	}
}

// startStep starts the next step of work, if there is one and fewer than maxConcurrentWork are running.
func (c *AcceptedRunner) startStep(ctx context.Context, wg *sync.WaitGroup, w journal.Work) {
	s, ok := c.settings.Service(w.AcceptRecord().Service)
	if !ok {
		return
	}

	k := journal.NewKey(w.AcceptRecord().Account, w.AcceptRecord().Key)

	step := w.NextStep(c.clock(), c.isHolderMissing(w.Holder()), s.Timeout(), claimGracePeriod)
	if step == journal.NoStep || !c.addRunning(k) {
		return
	}

	select {
	case c.semaphore <- struct{}{}:
	default:
		c.removeRunning(k)

		return
	}

	wg.Go(func() {
		defer func() { <-c.semaphore; c.removeRunning(k) }()

		if step == journal.Resolve {
			c.resolveWork(ctx, k, s, w)

			return
		}

		c.claimAndRun(ctx, k, s, w)
	})
}

// resolveWork completes work that may have been dispatched and must not be dispatched again, with the response that a
// target reports for it or with an unknown effect.
func (c *AcceptedRunner) resolveWork(ctx context.Context, k journal.Key, s filter.Service, w journal.Work) {
	r := filter.ResolveEffect(ctx, c.lookup, s, w)
	c.counter.Count("work_resolved", 1)
	c.recordCompletion(ctx, k, journal.Record{Complete: &r})
}

// claimAndRun appends a claim on work, and runs the work if replay shows that the claim is in force.
func (c *AcceptedRunner) claimAndRun(ctx context.Context, k journal.Key, s filter.Service, w journal.Work) {
	id := c.newID()
	l := &journal.ClaimRecord{Account: k.Account(), Key: k.Key(), ID: id, Holder: c.holder, Replaces: w.ClaimID()}

	v, err := c.journal.Submit(ctx, k, journal.Record{Claim: l})
	if err != nil || v.ClaimID() != id || v.IsEnded() {
		return
	}

	if w.ClaimID() != "" {
		c.counter.Count("work_taken_over", 1)
	}

	r := c.runClaimed(ctx, s, v)
	if r == nil {
		return
	}

	r.Account, r.Key, r.Claim = k.Account(), k.Key(), id
	c.counter.Count("work_run", 1)
	c.recordCompletion(ctx, k, journal.Record{Complete: r})
}

// runClaimed dispatches claimed work until it completes or fails. It returns nil when ctx ends first; the next writer
// of the partition then resolves the work.
func (c *AcceptedRunner) runClaimed(ctx context.Context, s filter.Service, w journal.Work) *journal.CompleteRecord {
	a := w.AcceptRecord()

	for delay := retryDelay; ; delay = min(2*delay, maxRetryDelay) {
		d := latest(time.UnixMilli(a.DeadlineMS), c.clock().Add(s.Timeout()))

		x, stop := context.WithTimeout(ctx, d.Sub(c.clock()))
		in := filter.Input{ID: w.ClaimID(), Kind: filter.Kind(a.Kind), Service: a.Service, Path: a.Path, Key: a.Key, Body: a.Body, Arrived: c.clock()}

		var b filter.Collector

		err := c.chain.Handle(x, filter.NewAcceptedRequest(in, filter.NewAccount(a.Account, 0), s, d), &b)

		stop()

		if err == nil {
			r := b.Complete()

			return &r
		}

		e := outcome.From(err)

		switch {
		case ctx.Err() != nil:
			return nil
		case e.Effect() == outcome.NotRun && e.Code() != outcome.InvalidRequest:
			sleep(ctx, delay)
		case e.Effect() == outcome.Unknown && !s.Idempotent():
			r := filter.ResolveEffect(ctx, c.lookup, s, w)

			return &r
		default:
			return &journal.CompleteRecord{Effect: journal.Failed, Text: e.Message()}
		}
	}
}

// recordCompletion submits a completion until replay shows that the work has ended or is under another claim, or ctx
// ends.
func (c *AcceptedRunner) recordCompletion(ctx context.Context, k journal.Key, r journal.Record) {
	for ctx.Err() == nil {
		x, stop := context.WithTimeout(ctx, maxCallWait)
		w, err := c.journal.Submit(x, k, r)

		stop()

		if err == nil && (w.IsEnded() || w.ClaimID() != r.Complete.Claim) {
			return
		}

		sleep(ctx, retryDelay)
	}
}

// isHolderMissing reports whether the daemon that holds a claim has been missing among the peers for holderTimeout, or
// is an earlier incarnation of this daemon.
func (c *AcceptedRunner) isHolderMissing(holder string) bool {
	vm, _, _ := strings.Cut(holder, "/")
	if holder == "" || holder == c.holder {
		return false
	}

	if self, _, _ := strings.Cut(c.holder, "/"); vm == self {
		return true
	}

	return c.missingDuration(vm) > holderTimeout
}

// recordPeers stores which daemons are present. A daemon that was missing before no longer counts as missing.
func (c *AcceptedRunner) recordPeers(l []Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.presentVMs = make(map[string]bool, len(l))

	for _, p := range l {
		c.presentVMs[p.VM()] = true
		delete(c.missingSince, p.VM())
	}
}

// missingDuration returns the time since a daemon was first found missing, 0 if it is present.
func (c *AcceptedRunner) missingDuration(vm string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.presentVMs[vm] {
		return 0
	}

	t, ok := c.missingSince[vm]
	if !ok {
		t = c.clock()
		c.missingSince[vm] = t
	}

	return c.clock().Sub(t)
}

func (c *AcceptedRunner) addRunning(k journal.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.running[k] {
		return false
	}

	c.running[k] = true

	return true
}

func (c *AcceptedRunner) removeRunning(k journal.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()

	delete(c.running, k)
}
