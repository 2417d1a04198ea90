package balance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/balance"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/sched"
)

type fixedLimits struct{ slow, spill float64 }

func (s fixedLimits) SlowShare() float64  { return s.slow }
func (s fixedLimits) SpillShare() float64 { return s.spill }

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newTargets(prefix string, n int) []filter.Target {
	var l []filter.Target
	for i := range n {
		l = append(l, filter.NewTarget(fmt.Sprintf("%s-%d", prefix, i), "127.0.0.1:1"))
	}

	return l
}

func newRequest(prompt string) *filter.Request {
	return filter.NewRequest(filter.Input{Service: "m", Prompt: prompt})
}

const ms = time.Millisecond

func fastObservation(complete bool) filter.Observation {
	return filter.NewObservation(5*ms, 2*ms, 45*ms, 20, true).WithComplete(complete)
}

func slowObservation() filter.Observation {
	return filter.NewObservation(50*ms, 20*ms, 450*ms, 20, true)
}

// Guards against a policy that returns an invalid index, and against least_loaded picking a target with more load.
func TestPoliciesPickValidCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c []balance.Candidate

		for i := range rapid.IntRange(1, 30).Draw(t, "candidates") {
			c = append(c, balance.NewCandidate(fmt.Sprint(i), rapid.IntRange(0, 50).Draw(t, "in_flight")).
				WithLoad(sched.NewLoad(rapid.IntRange(0, 50).Draw(t, "online"), 0, 0, 16)).
				WithWeight(rapid.Float64Range(0, 1).Draw(t, "weight")))
		}

		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for _, p := range []string{"round_robin", "least_loaded", "power_of_two", "owner"} {
			if i := balance.NewPolicy(p).Pick(r, c); i < 0 || i >= len(c) {
				t.Fatalf("%s picked %d of %d", p, i, len(c))
			}
		}

		i := balance.NewPolicy("least_loaded").Pick(r, c)
		for _, v := range c {
			if v.InFlight() < c[i].InFlight() {
				t.Fatal("least_loaded picked a target with more requests than another")
			}
		}
	})
}

// Guards against a slow target that keeps its share of requests, and against more ejected targets than allowed.
func TestSlowTargetsAreEjectedWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "targets")
		slowCount := rapid.IntRange(0, n).Draw(t, "slow")
		share := rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "slow_share")
		c := &clock{now: time.Unix(1000, 0)}
		p := balance.New(&balance.RoundRobin{}, nil, fixedLimits{slow: share}, "vm", c.Now, newRandom())
		p.SetLocal("m", newTargets("t", n))

		names := map[string]bool{}

		for i := range 40 * n {
			s, err := p.Acquire(context.Background(), newRequest(""), nil)
			if err != nil {
				t.Fatal(err)
			}

			var k int

			_, _ = fmt.Sscanf(s.Target().Name(), "t-%d", &k)

			if k < slowCount && i > n {
				s.Release(slowObservation())
			} else {
				s.Release(fastObservation(true))
			}

			if i > 30*n {
				names[s.Target().Name()] = true
			}
		}

		for v, ejected := range p.Ejections() {
			if names[v] && ejected {
				t.Fatalf("target %s is reported as ejected but got requests", v)
			}
		}

		if ejected := n - len(names); ejected > int(share*float64(n)) {
			t.Fatalf("%d of %d targets are ejected at a share of %g", ejected, n, share)
		}

		if minEjected := min(slowCount, int(share*float64(n))); 2*slowCount < n && n-len(names) < minEjected {
			t.Fatalf("%d targets are ejected; %d of %d are slow", n-len(names), slowCount, n)
		}
	})
}

// Guards against a target that stays ejected after it is fast again.
func TestProbeReadmitsTarget(t *testing.T) {
	Convey("Given an ejected target", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		p := balance.New(&balance.RoundRobin{}, nil, fixedLimits{slow: 0.3}, "vm", c.Now, newRandom())
		p.SetLocal("m", newTargets("t", 5))

		run := func(n int, slowNow bool) map[string]int {
			m := map[string]int{}

			for range n {
				s, err := p.Acquire(context.Background(), newRequest(""), nil)
				So(err, ShouldBeNil)

				m[s.Target().Name()]++

				if slowNow && s.Target().Name() == "t-0" {
					s.Release(slowObservation())
				} else {
					s.Release(fastObservation(true))
				}
			}

			return m
		}

		run(20, false)
		run(50, true)
		So(run(50, true)["t-0"], ShouldEqual, 0)

		c.now = c.now.Add(600 * ms)
		So(run(50, true)["t-0"], ShouldEqual, 1)
		So(run(50, true)["t-0"], ShouldEqual, 0)

		c.now = c.now.Add(5 * time.Second)
		So(run(50, false)["t-0"], ShouldBeGreaterThanOrEqualTo, 9)
	})
}

// Guards against prompts with the same prefix that go to different targets, and against a popular prefix that overloads
// its target.
func TestPrefixAffinityIsBounded(t *testing.T) {
	Convey("Given requests with the same long prefix", t, func() {
		p := balance.New(balance.LeastLoaded{}, nil, fixedLimits{}, "vm", time.Now, newRandom())
		p.SetLocal("m", newTargets("t", 5))

		prompt := strings.Repeat("You write signs. ", 30)

		Convey("they go to one target", func() {
			names := map[string]bool{}

			for i := range 20 {
				s, err := p.Acquire(context.Background(), newRequest(prompt+fmt.Sprint(i)), nil)
				So(err, ShouldBeNil)

				names[s.Target().Name()] = true
				s.Release(fastObservation(true))
			}

			So(names, ShouldHaveLength, 1)
		})
		Convey("they spread over all targets when many run concurrently", func() {
			n := map[string]int{}

			for i := range 100 {
				s, err := p.Acquire(context.Background(), newRequest(prompt+fmt.Sprint(i)), nil)
				So(err, ShouldBeNil)

				n[s.Target().Name()]++
			}

			for _, v := range n {
				So(v, ShouldBeLessThanOrEqualTo, 27)
			}
		})
	})
}

// fullGranter rejects requests for the targets of this failure domain and grants all others.
type fullGranter struct{}

type fakeLease struct{}

func (fakeLease) Release(sched.Observation)  {}
func (fakeLease) Preempted() <-chan struct{} { return nil }

func (fullGranter) Load(string) sched.Load { return sched.Load{} }

func (fullGranter) Acquire(_ context.Context, target string, _ sched.SlotRequest) (balance.SlotLease, error) {
	if strings.HasPrefix(target, "far") {
		return fakeLease{}, nil
	}

	return nil, outcome.New(outcome.Overloaded, outcome.NotRun, "busy").WithRetryAfter(time.Second)
}

// Guards against a failure domain that sends more than the spill share of its requests to others when its slots are
// used up.
func TestSpillIsBounded(t *testing.T) {
	Convey("Given a failure domain without free slots and another one with free slots", t, func() {
		p := balance.New(balance.Owner{}, fullGranter{}, fixedLimits{spill: 0.2}, "vm", time.Now, newRandom())
		p.SetLocal("m", newTargets("near", 3))
		p.SetRemote("m", newTargets("far", 3))

		n := 0

		for range 1000 {
			s, err := p.Acquire(context.Background(), newRequest(""), nil)
			if err == nil {
				n++
				s.Release(fastObservation(true))

				continue
			}

			So(outcome.From(err).RetryAfter(), ShouldBeGreaterThan, 0)
		}

		So(n, ShouldBeBetweenOrEqual, 190, 210)

		Convey("batch work stays in its failure domain", func() {
			r := filter.NewBatchRequest(filter.Input{Service: "m"}, filter.Account{}, filter.Service{}, time.Time{})
			_, err := p.Acquire(context.Background(), r, nil)
			So(outcome.Is(err, outcome.Overloaded), ShouldBeTrue)
		})
	})
}

func ExamplePool() {
	p := balance.New(balance.LeastLoaded{}, nil, fixedLimits{}, "vm-1", time.Now, newRandom())
	p.SetLocal("signwriter", []filter.Target{filter.NewTarget("worker-1", "10.0.0.1:8000")})

	s, err := p.Acquire(context.Background(), filter.NewRequest(filter.Input{Service: "signwriter"}), nil)
	fmt.Println(s.Target().Name(), err)
	s.Release(filter.NewObservation(5*ms, 2*ms, 45*ms, 20, true))
	// Output: worker-1 <nil>
}
