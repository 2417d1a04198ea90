// Package balance chooses targets from what this daemon has observed of them and what their owners report.
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

// Granter grants slots of a chosen target.
type Granter interface {
	// Acquire waits for a slot. The error is an *outcome.Error.
	Acquire(ctx context.Context, target string, d sched.SlotRequest) (SlotLease, error)
	// Load returns the last known load of a target.
	Load(target string) sched.Load
}

// SlotLease is a granted slot.
type SlotLease interface {
	// Release gives the slot back. It is called once.
	Release(o sched.Observation)
	// Preempted is closed when the slot is wanted back.
	Preempted() <-chan struct{}
}

// ShareLimits are the bounds that the configuration in force sets.
type ShareLimits interface {
	// SlowShare returns the share of a service's targets that may be set aside as slow.
	SlowShare() float64
	// SpillShare returns the share of a service's requests that other failure domains may serve.
	SpillShare() float64
}

// targetState is a target of a pool.
type targetState struct {
	target   filter.Target
	inFlight int
	latency  latency
	busyUntil     time.Time // until when online work is not asked for, as its deadline would not be met
}

// Pool has the targets of the services, one shard per service.
type Pool struct {
	policy  Policy
	granter Granter
	limits  ShareLimits
	clock   func() time.Time
	holder  string
	sizes   sched.Sizes
	lastID     atomic.Uint64

	mu     sync.Mutex
	shards map[string]*poolShard
	random *rand.Rand
}

type poolShard struct {
	mu      sync.Mutex
	local []*targetState // of this failure domain
	remote  []*targetState // of other failure domains
	spill   *retry.Budget
	batchSemaphore    batchSemaphore // of batch work
}

// New returns a pool with a policy and a random source that only the pool uses. Without a granter, every request gets
// a slot at once. holder is this process in the identifiers of its grants.
func New(p Policy, g Granter, s ShareLimits, holder string, clock func() time.Time, r *rand.Rand) *Pool {
	return &Pool{policy: p, granter: g, limits: s, clock: clock, holder: holder, random: r, shards: map[string]*poolShard{}}
}

// SetLocal replaces the targets of a service in this failure domain. Targets that stay keep their state.
func (p *Pool) SetLocal(service string, t []filter.Target) {
	h := p.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.local = replaceTargets(h.local, t)
}

// SetRemote replaces the targets of a service in other failure domains.
func (p *Pool) SetRemote(service string, t []filter.Target) {
	h := p.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.remote = replaceTargets(h.remote, t)
}

// Ejections returns the targets of this failure domain, and whether each is set aside as slow.
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

func replaceTargets(members []*targetState, t []filter.Target) []*targetState {
	old := map[string]*targetState{}
	for _, m := range members {
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
	// maxFirstWait bounds the wait at the first choice of online work. It covers the preemption of batch work; a longer
	// queue is a reason to look at another target.
	maxFirstWait = 50 * time.Millisecond
	// maxBatchWait bounds the wait of batch work at one target, so that it follows free slots elsewhere.
	maxBatchWait = time.Second
	// busyTTL bounds the time without demands to a target that rejected one because of its deadline. At twice the
	// capacity most requests are rejected, and each demand costs messages that the rest needs.
	busyTTL = 20 * time.Millisecond
	// maxTargetAttempts is the number of targets that are asked for one request.
	maxTargetAttempts = 2
)

// Acquire returns a slot of a target that is not excluded. Another failure domain's target is used only when those of
// this one cannot meet the deadline, and within the spill share.
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

// acquireSlot asks for a slot at one target after the other. Only the last one is waited for.
func (p *Pool) acquireSlot(ctx context.Context, h *poolShard, r *filter.Request, exclude []string, remote bool) (filter.Slot, error) {
	err := error(errNoTarget(r.TargetService()))

	for n := range maxTargetAttempts {
		m, busy := p.chooseTarget(h, r, exclude, remote)
		if m == nil {
			if busy {
				err = errBusy(r.ServiceName())
			}

			return nil, err
		}

		v, e := p.requestLease(ctx, m, p.slotRequest(r, n))
		if e == nil {
			return &slot{pool: p, shard: h, target: m, lease: v, request: r}, nil
		}

		h.removeInFlight(m)
		p.markBusy(h, m, r, n, e)

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

// markBusy remembers a target that rejected online work because of its deadline.
func (p *Pool) markBusy(h *poolShard, m *targetState, r *filter.Request, n int, err error) {
	if r.Class() != filter.Online || n < maxTargetAttempts-1 || !outcome.Is(err, outcome.Overloaded) {
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

func (p *Pool) requestLease(ctx context.Context, m *targetState, d sched.SlotRequest) (SlotLease, error) {
	if p.granter == nil {
		return unlimitedLease{}, nil
	}

	return p.granter.Acquire(ctx, m.target.Name(), d)
}

// slotRequest returns the demand of a request at its choice number n.
func (p *Pool) slotRequest(r *filter.Request, n int) sched.SlotRequest {
	c, w := sched.Online, maxFirstWait
	last := n == maxTargetAttempts-1

	switch {
	case r.Class() == filter.Batch && (last || r.PreferredTarget() != ""):
		c, w = sched.Batch, maxBatchWait
	case r.Class() == filter.Batch:
		c, w = sched.Batch, -1
	case last:
		w = 0
	}

	id := sched.LeaseID(p.holder + "/" + strconv.FormatUint(p.lastID.Add(1), 10))
	t, long := p.sizes.Predict(r.ServiceName(), len(r.Prompt()), r.MaxTokens())

	return sched.NewSlotRequest(id, p.holder, r.Account().Name(), c, r.Deadline()).WithSize(t, long).WithMaxWait(w).
		WithNonPreemptible(!r.Service().Idempotent())
}

// chooseTarget picks a target and counts the request there. Without one, it reports whether that is for want of free slots.
func (p *Pool) chooseTarget(h *poolShard, r *filter.Request, exclude []string, remote bool) (m *targetState, busy bool) {
	now := p.clock()

	h.mu.Lock()
	defer h.mu.Unlock()

	members := h.local
	if remote {
		members = h.remote
	}

	u := mediansOf(members)
	l := h.eligibleTargets(now, members, exclude, p.limits.SlowShare())
	n := len(l)

	if r.Class() == filter.Online {
		l = slices.DeleteFunc(l, func(m *targetState) bool { return now.Before(m.busyUntil) })
	}

	if len(l) == 0 {
		return nil, n > 0
	}

	c := make([]Candidate, len(l))
	for i, m := range l {
		c[i] = Candidate{name: m.target.Name(), inFlight: m.inFlight, weight: m.latency.weight(u), batch: r.Class() == filter.Batch}
		if p.granter != nil {
			c[i].load = p.granter.Load(c[i].name)
		}
	}

	m = l[p.pickIndex(c, r)]
	m.inFlight++

	return m, false
}

// eligibleTargets returns the targets that may get a request, or the one that gets a probe.
func (h *poolShard) eligibleTargets(now time.Time, members []*targetState, exclude []string, share float64) []*targetState {
	var l, aside []*targetState

	most := int(share * float64(len(members)))

	for _, m := range members {
		if m.latency.ejected {
			most--
		}
	}

	for _, m := range members {
		if m.latency.slowInRow >= ejectionThreshold && !m.latency.ejected && most > 0 {
			m.latency.eject(now)

			most--
		}

		switch {
		case slices.Contains(exclude, m.target.Name()):
		case m.latency.ejected:
			aside = append(aside, m)
		default:
			l = append(l, m)
		}
	}

	for _, m := range aside {
		if len(l) == 0 || m.latency.startProbe(now) {
			return []*targetState{m}
		}
	}

	return l
}

// pickIndex returns the index of the target of an earlier attempt, of the prompt's prefix, or of the policy's choice.
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
	// prefixBytes is the length of a prompt's prefix that decides the preferred target. Shorter prompts have no
	// prefix worth a cache.
	prefixBytes = 256
	// maxAffinityCost is how far above the mean the cost of the preferred target may be.
	maxAffinityCost = 1.25
)

// pickByPrefix returns the target that prompts with the same prefix prefer, unless it is more loaded than the others; or -1.
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
	if c[i].cost() > maxAffinityCost*sum/float64(len(c)) {
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

// hasOtherTarget reports whether a target is left when m is excluded too.
func (h *poolShard) hasOtherTarget(m *targetState, exclude []string, remote bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	members := h.local
	if remote {
		members = h.remote
	}

	return slices.ContainsFunc(members, func(o *targetState) bool { return o != m && !slices.Contains(exclude, o.target.Name()) })
}

func (h *poolShard) removeInFlight(m *targetState) {
	h.mu.Lock()
	defer h.mu.Unlock()

	m.inFlight--
}

// slot is a request's place at a target.
type slot struct {
	pool    *Pool
	shard   *poolShard
	target  *targetState
	lease  SlotLease
	request *filter.Request
}

// Target returns the target.
func (s *slot) Target() filter.Target { return s.target.target }

// Preempted is closed when the slot is wanted back.
func (s *slot) Preempted() <-chan struct{} { return s.lease.Preempted() }

// Release gives the slot back.
func (s *slot) Release(o filter.Observation) {
	s.lease.Release(sched.NewObservation(o.FirstToken(), o.PerToken(), o.Total(), o.Tokens(), o.OK()))

	r := s.request
	if o.IsComplete() {
		s.pool.sizes.Observe(r.ServiceName(), len(r.Prompt()), r.MaxTokens(), o.Tokens())
	}

	now := s.pool.clock()

	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()

	s.target.inFlight--

	switch {
	case !o.OK():
		s.target.latency.recordSlow()
	case o.Tokens() > 0:
		s.target.latency.observe(now, o.FirstToken(), o.PerToken(), s.shard.peerMedians(s.target))
	}
}

// Late takes note of a first token that is overdue.
func (s *slot) Late() {
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()

	s.target.latency.recordSlow()
}

// peerMedians returns the medians of the targets that m is compared with.
func (h *poolShard) peerMedians(m *targetState) medians {
	if slices.Contains(h.remote, m) {
		return mediansOf(h.remote)
	}

	return mediansOf(h.local)
}

// unlimitedLease is the slot of a target without limit.
type unlimitedLease struct{}

// Release does nothing.
func (unlimitedLease) Release(sched.Observation) {}

// Preempted returns a channel that is never closed.
func (unlimitedLease) Preempted() <-chan struct{} { return nil }
