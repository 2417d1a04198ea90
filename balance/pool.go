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
	Acquire(ctx context.Context, target string, d sched.Demand) (Permit, error)
	// Load returns the last known load of a target.
	Load(target string) sched.Load
}

// Permit is a granted slot.
type Permit interface {
	// Release gives the slot back. It is called once.
	Release(o sched.Observation)
	// Preempted is closed when the slot is wanted back.
	Preempted() <-chan struct{}
}

// Shares are the bounds that the configuration in force sets.
type Shares interface {
	// SlowShare returns the share of a service's targets that may be set aside as slow.
	SlowShare() float64
	// SpillShare returns the share of a service's requests that other failure domains may serve.
	SpillShare() float64
}

// member is a target of a pool.
type member struct {
	target   filter.Target
	inFlight int
	latency  latency
	busy     time.Time // until when online work is not asked for, as its deadline would not be met
}

// Pool has the targets of the services, one shard per service.
type Pool struct {
	policy  Policy
	granter Granter
	shares  Shares
	clock   func() time.Time
	holder  string
	sizes   sched.Sizes
	ids     atomic.Uint64

	mu     sync.Mutex
	shards map[string]*poolShard
	random *rand.Rand
}

type poolShard struct {
	mu      sync.Mutex
	members []*member // of this failure domain
	remote  []*member // of other failure domains
	spill   *retry.Budget
	line    line // of batch work
}

// New returns a pool with a policy and a random source that only the pool uses. Without a granter, every request gets
// a slot at once. holder is this process in the identifiers of its grants.
func New(p Policy, g Granter, s Shares, holder string, clock func() time.Time, r *rand.Rand) *Pool {
	return &Pool{policy: p, granter: g, shares: s, clock: clock, holder: holder, random: r, shards: map[string]*poolShard{}}
}

// Set replaces the targets of a service in this failure domain. Targets that stay keep their state.
func (p *Pool) Set(service string, t []filter.Target) {
	h := p.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.members = replaced(h.members, t)
}

// SetRemote replaces the targets of a service in other failure domains.
func (p *Pool) SetRemote(service string, t []filter.Target) {
	h := p.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.remote = replaced(h.remote, t)
}

// SetAside returns the targets of this failure domain, and whether each is set aside as slow.
func (p *Pool) SetAside() map[string]bool {
	a := map[string]bool{}

	for _, h := range p.all() {
		h.mu.Lock()
		for _, m := range h.members {
			a[m.target.Name()] = m.latency.aside
		}
		h.mu.Unlock()
	}

	return a
}

func (p *Pool) all() []*poolShard {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.Collect(maps.Values(p.shards))
}

func replaced(members []*member, t []filter.Target) []*member {
	old := map[string]*member{}
	for _, m := range members {
		old[m.target.Name()] = m
	}

	l := make([]*member, 0, len(t))

	for _, v := range t {
		m, ok := old[v.Name()]
		if !ok || m.target != v {
			m = &member{target: v}
		}

		l = append(l, m)
	}

	return l
}

const (
	// quickWait bounds the wait at the first choice of online work. It covers the preemption of batch work; a longer
	// queue is a reason to look at another target.
	quickWait = 50 * time.Millisecond
	// batchWait bounds the wait of batch work at one target, so that it follows free slots elsewhere.
	batchWait = time.Second
	// busyFor bounds the time without demands to a target that rejected one because of its deadline. At twice the
	// capacity most requests are rejected, and each demand costs messages that the rest needs.
	busyFor = 20 * time.Millisecond
	// choices is the number of targets that are asked for one request.
	choices = 2
)

// Acquire returns a slot of a target that is not excluded. Another failure domain's target is used only when those of
// this one cannot meet the deadline, and within the spill share.
func (p *Pool) Acquire(ctx context.Context, r *filter.Request, exclude []string) (filter.Slot, error) {
	h := p.shard(r.TargetService())
	h.spill.AddRequest(p.shares.SpillShare())

	if r.Class() == filter.Batch && p.granter != nil {
		if err := h.line.enter(ctx, r); err != nil {
			return nil, err
		}
		defer h.line.leave()
	}

	s, err := p.acquire(ctx, h, r, exclude, false)
	if err == nil || r.Class() == filter.Batch || ctx.Err() != nil || !filter.NoSlot(err) {
		return s, err
	}

	if !h.hasRemote() || !h.spill.TryAcquire() {
		return nil, err
	}

	if s, e := p.acquire(ctx, h, r, exclude, true); e == nil {
		return s, nil
	}

	return nil, err
}

// acquire asks for a slot at one target after the other. Only the last one is waited for.
func (p *Pool) acquire(ctx context.Context, h *poolShard, r *filter.Request, exclude []string, remote bool) (filter.Slot, error) {
	err := error(errNoTarget(r.TargetService()))

	for n := range choices {
		m, busy := p.choose(h, r, exclude, remote)
		if m == nil {
			if busy {
				err = errBusy(r.ServiceName())
			}

			return nil, err
		}

		v, e := p.grant(ctx, m, p.demand(r, n))
		if e == nil {
			return &slot{pool: p, shard: h, member: m, permit: v, request: r}, nil
		}

		h.release(m)
		p.markBusy(h, m, r, n, e)

		err = e
		if ctx.Err() != nil || !outcome.Is(e, outcome.Overloaded) {
			break
		}

		if h.others(m, exclude, remote) {
			exclude = append(slices.Clone(exclude), m.target.Name())
		}
	}

	return nil, err
}

// markBusy remembers a target that rejected online work because of its deadline.
func (p *Pool) markBusy(h *poolShard, m *member, r *filter.Request, n int, err error) {
	if r.Class() != filter.Online || n < choices-1 || !outcome.Is(err, outcome.Overloaded) {
		return
	}

	t := p.clock().Add(min(busyFor, outcome.From(err).RetryAfter()))

	h.mu.Lock()
	defer h.mu.Unlock()

	m.busy = t
}

func errNoTarget(service string) *outcome.Error {
	return outcome.New(outcome.NoTarget, outcome.NotRun, "service %q has no target that can take the request", service).
		WithRetryAfter(time.Second)
}

func errBusy(service string) *outcome.Error {
	return outcome.New(outcome.Overloaded, outcome.NotRun, "no target of service %q can meet the deadline", service).
		WithRetryAfter(time.Second)
}

func (p *Pool) grant(ctx context.Context, m *member, d sched.Demand) (Permit, error) {
	if p.granter == nil {
		return noPermit{}, nil
	}

	return p.granter.Acquire(ctx, m.target.Name(), d)
}

// demand returns the demand of a request at its choice number n.
func (p *Pool) demand(r *filter.Request, n int) sched.Demand {
	c, w := sched.Online, quickWait
	last := n == choices-1

	switch {
	case r.Class() == filter.Batch && (last || r.Prefer() != ""):
		c, w = sched.Batch, batchWait
	case r.Class() == filter.Batch:
		c, w = sched.Batch, -1
	case last:
		w = 0
	}

	id := sched.GrantID(p.holder + "/" + strconv.FormatUint(p.ids.Add(1), 10))
	t, long := p.sizes.Predict(r.ServiceName(), len(r.Prompt()), r.MaxTokens())

	return sched.NewDemand(id, p.holder, r.Account().Name(), c, r.Deadline()).WithSize(t, long).WithMaxWait(w).
		WithKeep(!r.Service().Idempotent())
}

// choose picks a target and counts the request there. Without one, it reports whether that is for want of free slots.
func (p *Pool) choose(h *poolShard, r *filter.Request, exclude []string, remote bool) (m *member, busy bool) {
	now := p.clock()

	h.mu.Lock()
	defer h.mu.Unlock()

	members := h.members
	if remote {
		members = h.remote
	}

	u := usualOf(members)
	l := h.eligible(now, members, exclude, p.shares.SlowShare())
	n := len(l)

	if r.Class() == filter.Online {
		l = slices.DeleteFunc(l, func(m *member) bool { return now.Before(m.busy) })
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

	m = l[p.pick(c, r)]
	m.inFlight++

	return m, false
}

// eligible returns the targets that may get a request, or the one that gets a probe.
func (h *poolShard) eligible(now time.Time, members []*member, exclude []string, share float64) []*member {
	var l, aside []*member

	most := int(share * float64(len(members)))

	for _, m := range members {
		if m.latency.aside {
			most--
		}
	}

	for _, m := range members {
		if m.latency.slow >= slowInRow && !m.latency.aside && most > 0 {
			m.latency.setAside(now)

			most--
		}

		switch {
		case slices.Contains(exclude, m.target.Name()):
		case m.latency.aside:
			aside = append(aside, m)
		default:
			l = append(l, m)
		}
	}

	for _, m := range aside {
		if len(l) == 0 || m.latency.due(now) {
			return []*member{m}
		}
	}

	return l
}

// pick returns the index of the target of an earlier attempt, of the prompt's prefix, or of the policy's choice.
func (p *Pool) pick(c []Candidate, r *filter.Request) int {
	if i := slices.IndexFunc(c, func(c Candidate) bool { return c.name == r.Prefer() }); i >= 0 {
		return i
	}

	if i := affine(c, r.Prompt()); i >= 0 {
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
	// affinityBound is how far above the mean the cost of the preferred target may be.
	affinityBound = 1.25
)

// affine returns the target that prompts with the same prefix prefer, unless it is more loaded than the others; or -1.
func affine(c []Candidate, prompt string) int {
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
	if c[i].cost() > affinityBound*sum/float64(len(c)) {
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

// others reports whether a target is left when m is excluded too.
func (h *poolShard) others(m *member, exclude []string, remote bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	members := h.members
	if remote {
		members = h.remote
	}

	return slices.ContainsFunc(members, func(o *member) bool { return o != m && !slices.Contains(exclude, o.target.Name()) })
}

func (h *poolShard) release(m *member) {
	h.mu.Lock()
	defer h.mu.Unlock()

	m.inFlight--
}

// slot is a request's place at a target.
type slot struct {
	pool    *Pool
	shard   *poolShard
	member  *member
	permit  Permit
	request *filter.Request
}

// Target returns the target.
func (s *slot) Target() filter.Target { return s.member.target }

// Preempted is closed when the slot is wanted back.
func (s *slot) Preempted() <-chan struct{} { return s.permit.Preempted() }

// Release gives the slot back.
func (s *slot) Release(o filter.Observation) {
	s.permit.Release(sched.NewObservation(o.FirstToken(), o.PerToken(), o.Total(), o.Tokens(), o.OK()))

	r := s.request
	if o.Whole() {
		s.pool.sizes.Observe(r.ServiceName(), len(r.Prompt()), r.MaxTokens(), o.Tokens())
	}

	now := s.pool.clock()

	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()

	s.member.inFlight--

	switch {
	case !o.OK():
		s.member.latency.late()
	case o.Tokens() > 0:
		s.member.latency.observe(now, o.FirstToken(), o.PerToken(), s.shard.peers(s.member))
	}
}

// Late takes note of a first token that is overdue.
func (s *slot) Late() {
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()

	s.member.latency.late()
}

// peers returns the medians of the targets that m is compared with.
func (h *poolShard) peers(m *member) usual {
	if slices.Contains(h.remote, m) {
		return usualOf(h.remote)
	}

	return usualOf(h.members)
}

// noPermit is the slot of a target without limit.
type noPermit struct{}

// Release does nothing.
func (noPermit) Release(sched.Observation) {}

// Preempted returns a channel that is never closed.
func (noPermit) Preempted() <-chan struct{} { return nil }
