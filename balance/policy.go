package balance

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/agategap/agategap/sched"
)

// Candidate is a target as a policy sees it.
type Candidate struct {
	name     string
	inFlight int
	load     sched.Load
	weight   float64
	batch    bool
}

// NewCandidate returns a target with this daemon's requests at it.
func NewCandidate(name string, inFlight int) Candidate {
	return Candidate{name: name, inFlight: inFlight, weight: 1}
}

// WithLoad returns a copy with the load that its owner last reported.
func (c Candidate) WithLoad(l sched.Load) Candidate {
	c.load = l

	return c
}

// WithWeight returns a copy with a weight from 0 to 1; a slow target has less.
func (c Candidate) WithWeight(w float64) Candidate {
	c.weight = w

	return c
}

// Name returns the target's name.
func (c Candidate) Name() string { return c.name }

// InFlight returns the requests that this daemon has at the target.
func (c Candidate) InFlight() int { return c.inFlight }

// cost is what a request finds before it, relative to what the target can take. Online work does not count batch
// work, which yields to it.
func (c Candidate) cost() float64 {
	n := c.load.Online() + c.load.Waiting()
	if c.batch {
		n += c.load.Batch()
	}

	return float64(max(n, c.inFlight)+1) / float64(max(1, c.load.Limit())) / max(minWeight, c.weight)
}

// minWeight keeps a slow target among the candidates.
const minWeight = 0.01

// Policy chooses among candidates, of which there is at least one.
type Policy interface {
	Pick(r *rand.Rand, c []Candidate) int
}

// RoundRobin picks the targets in turn. The zero value is ready to use.
type RoundRobin struct {
	picks atomic.Uint64
}

// Pick returns the index of the choice.
func (p *RoundRobin) Pick(_ *rand.Rand, c []Candidate) int {
	return int(p.picks.Add(1) % uint64(len(c))) //nolint:gosec // below len(c)
}

// LeastLoaded picks the target with the fewest requests of this daemon. The zero value is ready to use.
type LeastLoaded struct{}

// Pick returns the index of the choice. Ties are broken at random, so that daemons do not pick the same target.
func (LeastLoaded) Pick(r *rand.Rand, c []Candidate) int {
	return pickLeast(r, c, func(c Candidate) float64 { return float64(c.inFlight) })
}

// PowerOfTwo picks the better of two random targets by this daemon's requests and the targets' weights. The zero
// value is ready to use.
type PowerOfTwo struct{}

// Pick returns the index of the choice.
func (PowerOfTwo) Pick(r *rand.Rand, c []Candidate) int {
	return pickSampled(r, c, 2, func(c Candidate) float64 { return float64(c.inFlight+1) / max(minWeight, c.weight) })
}

// Owner picks a target by the loads that the owners report and the targets' weights. The zero value is ready to use.
type Owner struct{}

// ownerSampleSize is the number of targets that are compared. The reports are some requests old, and a sample keeps daemons
// that have the same reports from picking the same target.
const ownerSampleSize = 3

// Pick returns the index of the choice.
func (Owner) Pick(r *rand.Rand, c []Candidate) int {
	return pickSampled(r, c, ownerSampleSize, Candidate.cost)
}

// pickSampled returns the cheapest of n random candidates.
func pickSampled(r *rand.Rand, c []Candidate, n int, cost func(c Candidate) float64) int {
	if len(c) <= n {
		return pickLeast(r, c, cost)
	}

	b := -1

	for _, i := range r.Perm(len(c))[:n] {
		if b < 0 || cost(c[i]) < cost(c[b]) {
			b = i
		}
	}

	return b
}

func pickLeast(r *rand.Rand, c []Candidate, cost func(c Candidate) float64) int {
	b, n := 0, 0

	for i, v := range c {
		switch x, y := cost(v), cost(c[b]); {
		case x < y:
			b, n = i, 1
		case x == y:
			n++
			if r.IntN(n) == 0 {
				b = i
			}
		}
	}

	return b
}

// Names of the policies in the settings.
const (
	PolicyRoundRobin  = "round_robin"
	PolicyLeastLoaded = "least_loaded"
	PolicyPowerOfTwo  = "power_of_two"
	PolicyOwner       = "owner"
)

// NewPolicy returns the policy of a name in the settings, or LeastLoaded.
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
