package balance

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/agategap/agategap/sched"
)

// Candidate has what a policy knows of a target.
type Candidate struct {
	name     string
	inFlight int
	load     sched.Load
	weight   float64
	batch    bool
}

// NewCandidate returns a candidate with the number of requests that this daemon has in flight there. Its weight is 1.
func NewCandidate(name string, inFlight int) Candidate {
	return Candidate{name: name, inFlight: inFlight, weight: 1}
}

// WithLoad returns a copy with the load that its owner last reported.
func (c Candidate) WithLoad(l sched.Load) Candidate {
	c.load = l

	return c
}

// WithWeight returns a copy with a weight from 0 to 1. The slower a target is, the lower is its weight.
func (c Candidate) WithWeight(w float64) Candidate {
	c.weight = w

	return c
}

// Name returns the target's name.
func (c Candidate) Name() string { return c.name }

// InFlight returns the number of requests that this daemon has in flight at the target.
func (c Candidate) InFlight() int { return c.inFlight }

// cost returns the load of the target relative to its limit and weight. For online work it leaves out batch work, which
// is preempted.
func (c Candidate) cost() float64 {
	n := c.load.Online() + c.load.Waiting()
	if c.batch {
		n += c.load.Batch()
	}

	return float64(max(n, c.inFlight)+1) / float64(max(1, c.load.Limit())) / max(minWeight, c.weight)
}

// minWeight is the least weight in a cost, so that a slow target stays among the candidates.
const minWeight = 0.01

// Policy picks one of the candidates, of which there is at least one, and returns its index.
type Policy interface {
	Pick(r *rand.Rand, c []Candidate) int
}

// RoundRobin picks the targets in turn. The zero value is ready to use, and it is safe for concurrent use.
type RoundRobin struct {
	picks atomic.Uint64
}

// Pick returns the index of the choice.
func (p *RoundRobin) Pick(_ *rand.Rand, c []Candidate) int {
	return int(p.picks.Add(1) % uint64(len(c))) //nolint:gosec // below len(c)
}

// LeastLoaded picks the target with the fewest requests of this daemon. The zero value is ready to use.
type LeastLoaded struct{}

// Pick returns the index of the choice. Ties are broken at random, so that daemons do not all pick the same target.
func (LeastLoaded) Pick(r *rand.Rand, c []Candidate) int {
	return pickLeast(r, c, func(c Candidate) float64 { return float64(c.inFlight) })
}

// PowerOfTwo picks the better of two random targets by their weights and the requests of this daemon in flight. The
// zero value is ready to use.
type PowerOfTwo struct{}

// Pick returns the index of the choice.
func (PowerOfTwo) Pick(r *rand.Rand, c []Candidate) int {
	return pickSampled(r, c, 2, func(c Candidate) float64 { return float64(c.inFlight+1) / max(minWeight, c.weight) })
}

// Owner picks a target by its cost, which depends on its weight and on the load that its slot owner reports. The zero
// value is ready to use.
type Owner struct{}

// ownerSampleSize is the number of random targets that Owner compares. The reported loads are some requests old, and a
// sample keeps daemons with the same reports from all picking the same target.
const ownerSampleSize = 3

// Pick returns the index of the choice.
func (Owner) Pick(r *rand.Rand, c []Candidate) int {
	return pickSampled(r, c, ownerSampleSize, Candidate.cost)
}

// pickSampled returns the index of the cheapest of n random candidates.
func pickSampled(r *rand.Rand, c []Candidate, n int, cost func(c Candidate) float64) int {
	if len(c) <= n {
		return pickLeast(r, c, cost)
	}

	best := -1

	for _, i := range r.Perm(len(c))[:n] {
		if best < 0 || cost(c[i]) < cost(c[best]) {
			best = i
		}
	}

	return best
}

// pickLeast returns the index of the cheapest candidate. Ties are broken at random.
func pickLeast(r *rand.Rand, c []Candidate, cost func(c Candidate) float64) int {
	best, ties := 0, 0

	for i, v := range c {
		switch x, y := cost(v), cost(c[best]); {
		case x < y:
			best, ties = i, 1
		case x == y:
			ties++
			if r.IntN(ties) == 0 {
				best = i
			}
		}
	}

	return best
}

// The names of the policies in the settings.
const (
	PolicyRoundRobin  = "round_robin"
	PolicyLeastLoaded = "least_loaded"
	PolicyPowerOfTwo  = "power_of_two"
	PolicyOwner       = "owner"
)

// NewPolicy returns the policy with a name from the settings, or LeastLoaded if the name is unknown.
func NewPolicy(name string) Policy {
	switch name {
	case PolicyRoundRobin:
		return &RoundRobin{}
	case PolicyPowerOfTwo:
		return PowerOfTwo{}
	case PolicyOwner:
		return Owner{}
	default:
		return LeastLoaded{}
	}
}
