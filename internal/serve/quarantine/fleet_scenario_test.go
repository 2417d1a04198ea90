package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"
)

// fault is an impairment of the fleet.
type fault struct {
	at   time.Duration
	kind string // one, half, all and series crash targets; restart, handover and handovers concern daemons
}

func (v fault) String() string { return fmt.Sprintf("%s at %s", v.kind, v.at) }

// scenario has the sizes and the faults of a run of the model. What it leaves open is drawn from its seed.
type scenario struct {
	seed             uint64
	daemons, targets int
	slots            int // of each target
	items, jobs      int
	requests         int // online requests a second
	routes, callers  int
	furtherParts     int
	crashingParts    int
	crashingPercent  int  // share of the prompts that have a part that crashes targets
	hasJobParts      bool // the items of a job have a part that no other prompt has
	detectsSlowly    bool // daemons see some crashes late
	hasPause         bool // the second half of the jobs, requests and faults comes after all parts have ceased to count as sound
	faults           []fault
}

const (
	arrivalPeriod = 15 * time.Second
	faultPeriod   = 25 * time.Second
	runPeriod     = 45 * time.Second
	pausePeriod   = 75 * time.Second
)

// drawScenario draws a scenario. The kinds are those of its faults.
func drawScenario(t *rapid.T, kinds ...string) scenario {
	s := scenario{
		seed:            rapid.Uint64().Draw(t, "seed"),
		daemons:         rapid.IntRange(1, 12).Draw(t, "daemons"),
		targets:         rapid.IntRange(3, 18).Draw(t, "targets"),
		slots:           rapid.IntRange(1, 8).Draw(t, "slots"),
		items:           rapid.IntRange(1, 300).Draw(t, "items"),
		jobs:            rapid.IntRange(1, 6).Draw(t, "jobs"),
		requests:        rapid.IntRange(0, 15).Draw(t, "requests"),
		routes:          rapid.IntRange(1, 2).Draw(t, "routes"),
		callers:         rapid.IntRange(1, 4).Draw(t, "callers"),
		furtherParts:    rapid.IntRange(0, 6).Draw(t, "furtherParts"),
		crashingParts:   rapid.IntRange(0, 2).Draw(t, "crashingParts"),
		crashingPercent: rapid.IntRange(1, 40).Draw(t, "crashingPercent"),
		hasJobParts:     rapid.Bool().Draw(t, "jobParts"),
		detectsSlowly:   rapid.Bool().Draw(t, "detectsSlowly"),
		hasPause:        rapid.IntRange(0, 4).Draw(t, "pause") == 4,
	}
	n := rapid.IntRange(0, 10).Draw(t, "faults")

	for i := range n {
		at := time.Duration(rapid.IntRange(0, int(faultPeriod/(100*time.Millisecond))).Draw(t, fmt.Sprint("at", i))) * 100 * time.Millisecond
		if s.hasPause && i%2 == 1 {
			at += pausePeriod
		}

		s.faults = append(s.faults, fault{at: at, kind: rapid.SampledFrom(kinds).Draw(t, fmt.Sprint("kind", i))})
	}

	return s
}

func (s scenario) end() time.Duration {
	if s.hasPause {
		return runPeriod + pausePeriod
	}

	return runPeriod
}

// newTasks returns the items and requests of a scenario, in the order of their arrival at random daemons.
func (s scenario) newTasks(r *rand.Rand) []*task {
	var l []*task

	for j := range s.jobs {
		at := between(r, 0, arrivalPeriod)
		if s.hasPause && j%2 == 1 {
			at += pausePeriod
		}

		route, caller := r.IntN(s.routes), r.IntN(s.callers)

		for i := j; i < s.items; i += s.jobs {
			t := &task{id: fmt.Sprintf("item%d", i), batch: true, arrived: at, length: 20 + r.IntN(60), parts: s.sharedParts(r, route, caller)}
			if s.hasJobParts {
				t.parts = append(t.parts, fmt.Sprint("job", j))
			}

			l = append(l, t)
		}
	}

	for i := range s.requests * int(arrivalPeriod/time.Second) {
		at := between(r, 0, arrivalPeriod)
		if s.hasPause && i%2 == 1 {
			at += pausePeriod
		}

		l = append(l, &task{
			id: fmt.Sprintf("request%d", i), arrived: at, length: 5 + r.IntN(40),
			parts: s.sharedParts(r, r.IntN(s.routes), r.IntN(s.callers)),
		})
	}

	for _, t := range l {
		if s.crashingParts > 0 && r.IntN(100) < s.crashingPercent {
			t.crashing = fmt.Sprint("crashing", r.IntN(s.crashingParts))
			i := 1 + r.IntN(len(t.parts))
			t.parts = append(t.parts[:i:i], append([]string{t.crashing}, t.parts[i:]...)...)
		}

		t.parts = append(t.parts, "own-"+t.id)
		t.daemon = r.IntN(s.daemons)
	}

	return l
}

// sharedParts returns the shared parts of a prompt, of which none crashes targets.
func (s scenario) sharedParts(r *rand.Rand, route, caller int) []string {
	l := []string{fmt.Sprint("route", route), fmt.Sprint("caller", caller)}

	for i := range s.furtherParts {
		if r.IntN(3) == 0 {
			l = append(l, fmt.Sprint("part", i))
		}
	}

	return l
}

// between returns a random duration from low up to high.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
