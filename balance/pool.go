// Package balance acquires slots for requests that name their service; the counterpart for requests that are routed by
// host and path is package slots. It picks the target by a load-balancing policy, the latencies that this daemon
// observes and the loads that the slot owners report, ejects slow targets, and falls back to other failure domains.
package balance

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/retry"
	"github.com/agategap/agategap/sched"
	"github.com/agategap/agategap/shard"
)

// Granter grants the slots of a target. It is the slot holder of this daemon, which asks the owner of the target.
type Granter interface {
	// Acquire waits for a slot. The error is an *outcome.Error.
	Acquire(ctx context.Context, target string, r sched.SlotRequest) (SlotLease, error)
	// Load returns the last known load of a target.
	Load(target string) sched.Load
}

// SlotLease is a granted slot.
type SlotLease interface {
	// Release ends the lease. It is called once.
	Release(o sched.Observation)
	// Preempted returns a channel that is closed when the lease is preempted.
	Preempted() <-chan struct{}
}

// ShareLimits returns bounds on shares from the configuration in force.
type ShareLimits interface {
	// SlowShare returns the maximum share of the targets of a service that may be ejected as slow.
	SlowShare() float64
	// SpillShare returns the maximum share of the requests of a service that other failure domains may serve.
	SpillShare() float64
}

// targetState is a target with its state in a pool.
type targetState struct {
	target    filter.Target
	inFlight  int
	latency   latency
	busyUntil time.Time // no online requests before this time, as they would miss their deadline
}

// Pool has the targets of all services, one shard per service. It is a filter.Router and safe for concurrent use.
type Pool struct {
	policy  Policy
	granter Granter
	limits  ShareLimits
	clock   func() time.Time
	holder  string // this process as slot holder; also the prefix of its lease identifiers
	sizes   sched.Sizes
	lastID  atomic.Uint64

	mu     sync.Mutex
	shards map[string]*poolShard
	random *rand.Rand
}

// poolShard has the targets of one service.
type poolShard struct {
	mu             sync.Mutex
	local          []*targetState // of this failure domain
	remote         []*targetState // of other failure domains
	spill          *retry.Budget
	batchSemaphore batchSemaphore
}

// New returns a pool without targets. The random source r must not be used elsewhere. If g is nil, every request gets a
// slot at once. holder identifies this process in the identifiers of its leases.
func New(p Policy, g Granter, l ShareLimits, holder string, clock func() time.Time, r *rand.Rand) *Pool {
	return &Pool{
		policy: p, granter: g, limits: l, clock: clock, holder: holder, random: r, shards: map[string]*poolShard{},
	}
}

// SetLocal replaces the targets of a service in this failure domain. Targets that stay keep their state.
func (p *Pool) SetLocal(service string, t []filter.Target) {
	h := p.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.local = replaceTargets(h.local, t)
}

// SetRemote replaces the targets of a service in other failure domains. Targets that stay keep their state.
func (p *Pool) SetRemote(service string, t []filter.Target) {
	h := p.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.remote = replaceTargets(h.remote, t)
}

// Ejections returns for each target of this failure domain whether it is ejected as slow.
func (p *Pool) Ejections() map[string]bool {
	a := map[string]bool{}

	for _, h := range p.allShards() {
		h.mu.Lock()
		for _, m := range h.local {
			a[m.target.Name()] = m.latency.ejected
		}
		h.mu.Unlock()
	}

	return a
}

func (p *Pool) allShards() []*poolShard {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.Collect(maps.Values(p.shards))
}

// replaceTargets returns the states of the targets t. Targets that have not changed keep their state.
func replaceTargets(states []*targetState, t []filter.Target) []*targetState {
	old := map[string]*targetState{}
	for _, m := range states {
		old[m.target.Name()] = m
	}

	l := make([]*targetState, 0, len(t))

	for _, v := range t {
		m, ok := old[v.Name()]
		if !ok || m.target != v {
			m = &targetState{target: v}
		}

		l = append(l, m)
	}

	return l
}

const (
	// maxFirstWait bounds the wait of online work at its first target. It covers the preemption of batch work. If the
	// queue is longer, another target is tried.
	maxFirstWait = 50 * time.Millisecond
	// maxBatchWait bounds the wait of batch work at one target, so that it can use free slots of other targets.
	maxBatchWait = time.Second
	// busyTTL bounds how long a target gets no online requests after it rejected one that would miss its deadline. With
	// twice as many requests as the targets can serve, most are rejected, and each slot request costs messages that
	// the other requests need.
	busyTTL = 20 * time.Millisecond
	// maxTargetAttempts is the number of targets at which a slot is requested for one request.
	maxTargetAttempts = 2
)

// Acquire waits for a slot of a target that is not excluded. An online request gets a target of another failure domain
// only if this one has no slot in time, and only within the spill share. The error is an *outcome.Error.
func (p *Pool) Acquire(ctx context.Context, r *filter.Request, exclude []string) (filter.Slot, error) {
	h := p.shard(r.TargetService())
	h.spill.AddRequest(p.limits.SpillShare())

	if r.Class() == filter.Batch && p.granter != nil {
		if err := h.batchSemaphore.acquire(ctx, r); err != nil {
			return nil, err
		}
		defer h.batchSemaphore.release()
	}

	s, err := p.acquireSlot(ctx, h, r, exclude, false)
	if err == nil || r.Class() == filter.Batch || ctx.Err() != nil || !filter.IsNoSlot(err) {
		return s, err
	}

	if !h.hasRemote() || !h.spill.TryAcquire() {
		return nil, err
	}

	if s, e := p.acquireSlot(ctx, h, r, exclude, true); e == nil {
		return s, nil
	}

	return nil, err
}

// acquireSlot requests a slot of up to maxTargetAttempts targets, one after the other. The waits are short except that
// for the last one.
func (p *Pool) acquireSlot(
	ctx context.Context, h *poolShard, r *filter.Request, exclude []string, remote bool,
) (filter.Slot, error) {
	err := error(errNoTarget(r.TargetService()))

	for attempt := range maxTargetAttempts {
		m, busy := p.chooseTarget(h, r, exclude, remote)
		if m == nil {
			if busy {
				err = errBusy(r.ServiceName())
			}

			return nil, err
		}

		v, e := p.requestLease(ctx, m, p.slotRequest(r, attempt))
		if e == nil {
			return &slot{pool: p, shard: h, state: m, lease: v, request: r}, nil
		}

		h.removeInFlight(m)
		p.markBusy(h, m, r, attempt, e)

		err = e
		if ctx.Err() != nil || !outcome.Is(e, outcome.Overloaded) {
			break
		}

		if h.hasOtherTarget(m, exclude, remote) {
			exclude = append(slices.Clone(exclude), m.target.Name())
		}
	}

	return nil, err
}

// markBusy marks a target as busy after it rejected the last attempt of an online request. The wait of that attempt is
// bounded by its deadline only, so that other online requests are likely to miss theirs, too.
func (p *Pool) markBusy(h *poolShard, m *targetState, r *filter.Request, attempt int, err error) {
	if r.Class() != filter.Online || attempt < maxTargetAttempts-1 || !outcome.Is(err, outcome.Overloaded) {
		return
	}

	t := p.clock().Add(min(busyTTL, outcome.From(err).RetryAfter()))

	h.mu.Lock()
	defer h.mu.Unlock()

	m.busyUntil = t
}

func errNoTarget(service string) *outcome.Error {
	return outcome.New(outcome.NoTarget, outcome.NotRun, "service %q has no target that can take the request", service).
		WithRetryAfter(time.Second)
}

func errBusy(service string) *outcome.Error {
	return outcome.New(outcome.Overloaded, outcome.NotRun, "no target of service %q can meet the deadline", service).
		WithRetryAfter(time.Second)
}

// requestLease requests a slot of a target. Without a granter it succeeds at once.
func (p *Pool) requestLease(ctx context.Context, m *targetState, r sched.SlotRequest) (SlotLease, error) {
	if p.granter == nil {
		return unlimitedLease{}, nil
	}

	return p.granter.Acquire(ctx, m.target.Name(), r)
}

// slotRequest returns the slot request for an attempt, counted from 0. Batch work waits only at the last attempt or at
// the target that it prefers, and online work waits at the last attempt as long as its deadline allows.
func (p *Pool) slotRequest(r *filter.Request, attempt int) sched.SlotRequest {
	c, w := sched.Online, maxFirstWait
	last := attempt == maxTargetAttempts-1

	switch {
	case r.Class() == filter.Batch && (last || r.PreferredTarget() != ""):
		c, w = sched.Batch, maxBatchWait
	case r.Class() == filter.Batch:
		c, w = sched.Batch, -1
	case last:
		w = 0
	}

	id := sched.LeaseID(p.holder + "/" + strconv.FormatUint(p.lastID.Add(1), 10))
	tokens, long := p.sizes.Predict(r.ServiceName(), len(r.Prompt()), r.MaxTokens())

	return sched.NewSlotRequest(id, p.holder, r.Account().Name(), c, r.Deadline()).WithSize(tokens, long).WithMaxWait(w).
		WithNonPreemptible(!r.Service().Idempotent())
}

// chooseTarget picks a target and adds the request to those in flight there. If it returns nil, busy reports whether
// there are targets, but all of them are marked as busy.
func (p *Pool) chooseTarget(
	h *poolShard, r *filter.Request, exclude []string, remote bool,
) (m *targetState, busy bool) {
	now := p.clock()

	h.mu.Lock()
	defer h.mu.Unlock()

	targets := h.local
	if remote {
		targets = h.remote
	}

	peers := mediansOf(targets)
	l := h.eligibleTargets(now, targets, exclude, p.limits.SlowShare())
	n := len(l)

	if r.Class() == filter.Online {
		l = slices.DeleteFunc(l, func(m *targetState) bool { return now.Before(m.busyUntil) })
	}

	if len(l) == 0 {
		return nil, n > 0
	}

	c := make([]Candidate, len(l))
	for i, m := range l {
		c[i] = Candidate{
			name: m.target.Name(), inFlight: m.inFlight, weight: m.latency.weight(peers), batch: r.Class() == filter.Batch,
		}
		if p.granter != nil {
			c[i].load = p.granter.Load(c[i].name)
		}
	}

	m = l[p.pickIndex(c, r)]
	m.inFlight++

	return m, false
}

// eligibleTargets ejects slow targets, up to slowShare of all, and returns the targets that may get a request. If a
// probe is due, that is only the target to probe. If all targets are ejected or excluded, it is an ejected one, if any.
func (h *poolShard) eligibleTargets(
	now time.Time, targets []*targetState, exclude []string, slowShare float64,
) []*targetState {
	var l, ejected []*targetState

	maxEjections := int(slowShare * float64(len(targets)))

	for _, m := range targets {
		if m.latency.ejected {
			maxEjections--
		}
	}

	for _, m := range targets {
		if m.latency.consecutiveSlow >= ejectionThreshold && !m.latency.ejected && maxEjections > 0 {
			m.latency.eject(now)

			maxEjections--
		}

		switch {
		case slices.Contains(exclude, m.target.Name()):
		case m.latency.ejected:
			ejected = append(ejected, m)
		default:
			l = append(l, m)
		}
	}

	for _, m := range ejected {
		if len(l) == 0 || m.latency.startProbe(now) {
			return []*targetState{m}
		}
	}

	return l
}

// pickIndex returns the index of the target that the request prefers because of an earlier attempt, or else of the
// target for the prefix of its prompt, or else the choice of the policy.
func (p *Pool) pickIndex(c []Candidate, r *filter.Request) int {
	if i := slices.IndexFunc(c, func(c Candidate) bool { return c.name == r.PreferredTarget() }); i >= 0 {
		return i
	}

	if i := pickByPrefix(c, r.Prompt()); i >= 0 {
		return i
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	return p.policy.Pick(p.random, c)
}

const (
	// prefixBytes is the length of the prefix that decides the target of a prompt. For shorter prompts, a cached prefix
	// saves too little.
	prefixBytes = 256
	// maxAffinityCostRatio is the maximum cost of the target of a prefix as a multiple of the mean cost.
	maxAffinityCostRatio = 1.25
)

// pickByPrefix returns the index of the target of all prompts with the same prefix, the first-ranked one by rendezvous
// hashing. It returns -1 if the prompt is too short or the cost of that target is too high.
func pickByPrefix(c []Candidate, prompt string) int {
	if len(prompt) < prefixBytes || len(c) < 2 {
		return -1
	}

	names := make([]string, len(c))
	sum := 0.0

	for i, v := range c {
		names[i] = v.name
		sum += v.cost()
	}

	i := slices.Index(names, shard.First(prompt[:prefixBytes], names))
	if c[i].cost() > maxAffinityCostRatio*sum/float64(len(c)) {
		return -1
	}

	return i
}

func (p *Pool) shard(service string) *poolShard {
	p.mu.Lock()
	defer p.mu.Unlock()

	h, ok := p.shards[service]
	if !ok {
		h = &poolShard{spill: retry.NewBudget()}
		p.shards[service] = h
	}

	return h
}

func (h *poolShard) hasRemote() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return len(h.remote) > 0
}

// hasOtherTarget reports whether any target but m is not excluded.
func (h *poolShard) hasOtherTarget(m *targetState, exclude []string, remote bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	targets := h.local
	if remote {
		targets = h.remote
	}

	return slices.ContainsFunc(targets, func(o *targetState) bool {
		return o != m && !slices.Contains(exclude, o.target.Name())
	})
}

func (h *poolShard) removeInFlight(m *targetState) {
	h.mu.Lock()
	defer h.mu.Unlock()

	m.inFlight--
}

// slot is the slot of a request at a target. It is the filter.Slot that Acquire returns.
type slot struct {
	pool    *Pool
	shard   *poolShard
	state   *targetState
	lease   SlotLease
	request *filter.Request
}

// Target returns the target.
func (s *slot) Target() filter.Target { return s.state.target }

// Preempted returns a channel that is closed when the lease is preempted.
func (s *slot) Preempted() <-chan struct{} { return s.lease.Preempted() }

// Release ends the lease and records the latencies of the target and the size of the work.
func (s *slot) Release(o filter.Observation) {
	s.lease.Release(sched.NewObservation(o.FirstToken(), o.PerToken(), o.Total(), o.Tokens(), o.OK()))

	r := s.request
	if o.IsComplete() {
		s.pool.sizes.Observe(r.ServiceName(), len(r.Prompt()), r.MaxTokens(), o.Tokens())
	}

	now := s.pool.clock()

	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()

	s.state.inFlight--

	switch {
	case !o.OK():
		s.state.latency.recordSlow()
	case o.Tokens() > 0:
		s.state.latency.observe(now, o.FirstToken(), o.PerToken(), s.shard.peerMedians(s.state))
	}
}

// ObserveLate records that the first token of the attempt that holds the slot takes longer than usual. It counts as a
// slow response towards the ejection of the target.
func (s *slot) ObserveLate() {
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()

	s.state.latency.recordSlow()
}

// peerMedians returns the medians of the local or of the remote targets, whichever m belongs to.
func (h *poolShard) peerMedians(m *targetState) medians {
	if slices.Contains(h.remote, m) {
		return mediansOf(h.remote)
	}

	return mediansOf(h.local)
}

// unlimitedLease is the lease of a target whose slots are not limited.
type unlimitedLease struct{}

// Release does nothing.
func (unlimitedLease) Release(sched.Observation) {}

// Preempted returns nil, as the lease is never preempted.
func (unlimitedLease) Preempted() <-chan struct{} { return nil }
