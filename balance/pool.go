// Package balance chooses targets from what this daemon has observed of them.
package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
)

// Candidate is a target as a policy sees it.
type Candidate struct {
	name     string
	inFlight int
}

// Name returns the target's name.
func (c Candidate) Name() string { return c.name }

// InFlight returns the requests that this daemon has at the target.
func (c Candidate) InFlight() int { return c.inFlight }

// Policy chooses among candidates, of which there is at least one.
type Policy interface {
	Pick(r *rand.Rand, c []Candidate) int
}

// LeastLoaded picks the target with the fewest requests of this daemon. The zero value is ready to use.
type LeastLoaded struct{}

// Pick returns the index of the choice. Ties are broken at random, so that daemons do not pick the same target.
func (LeastLoaded) Pick(r *rand.Rand, c []Candidate) int {
	b, n := 0, 0

	for i, v := range c {
		switch {
		case v.inFlight < c[b].inFlight:
			b, n = i, 1
		case v.inFlight == c[b].inFlight:
			n++
			if r.IntN(n) == 0 {
				b = i
			}
		}
	}

	return b
}

// member is a target of a pool.
type member struct {
	target   filter.Target
	inFlight int
}

// Pool has the targets of the services, one shard per service. The zero value has none.
type Pool struct {
	mu     sync.Mutex
	shards map[string]*poolShard
	policy Policy
	random *rand.Rand
}

type poolShard struct {
	mu      sync.Mutex
	members []*member
}

// New returns a pool with a policy and a random source that only the pool uses.
func New(p Policy, r *rand.Rand) *Pool {
	return &Pool{policy: p, random: r, shards: map[string]*poolShard{}}
}

// Set replaces the targets of a service. Targets that stay keep their counts.
func (p *Pool) Set(service string, t []filter.Target) {
	h := p.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	old := map[string]*member{}
	for _, m := range h.members {
		old[m.target.Name()] = m
	}

	h.members = h.members[:0:0]

	for _, v := range t {
		m, ok := old[v.Name()]
		if !ok || m.target != v {
			m = &member{target: v}
		}

		h.members = append(h.members, m)
	}
}

// Acquire returns a slot of a target that is not excluded.
func (p *Pool) Acquire(_ context.Context, r *filter.Request, exclude []string) (filter.Slot, error) {
	h := p.shard(r.TargetService())

	h.mu.Lock()
	defer h.mu.Unlock()

	var c []Candidate

	var l []*member

	for _, m := range h.members {
		if !slices.Contains(exclude, m.target.Name()) {
			c = append(c, Candidate{name: m.target.Name(), inFlight: m.inFlight})
			l = append(l, m)
		}
	}

	if len(c) == 0 {
		return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "service %q has no target that can take the request", r.ServiceName()).
			WithRetryAfter(time.Second)
	}

	m := l[p.pick(c)]
	m.inFlight++

	return &slot{shard: h, member: m}, nil
}

func (p *Pool) pick(c []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.policy.Pick(p.random, c)
}

func (p *Pool) shard(service string) *poolShard {
	p.mu.Lock()
	defer p.mu.Unlock()

	h, ok := p.shards[service]
	if !ok {
		h = &poolShard{}
		p.shards[service] = h
	}

	return h
}

// slot is a request's place at a target.
type slot struct {
	shard  *poolShard
	member *member
}

// Target returns the target.
func (s *slot) Target() filter.Target { return s.member.target }

// Preempted returns a channel that is never closed: this pool does not preempt.
func (s *slot) Preempted() <-chan struct{} { return nil }

// Release gives the slot back.
func (s *slot) Release(filter.Observation) {
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()

	s.member.inFlight--
}
