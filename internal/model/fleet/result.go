package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agategap/agategap/internal/model/load"
)

// Result counts what became of the callers and items of a run.
type Result struct {
	OnTime      int // first event within the objective of the first attempt
	OnReturn    int // refused at once, and first event within the objective of the next attempt
	Late        int // served later
	Failed      int // not served
	Refusals    int // attempts that were refused
	ItemsOnTime int // batch items
	ItemsLate   int
	// Reference is the number of callers that a fleet which knows all run times and arrivals in advance would serve within
	// the objective of the first attempt, if no batch work ran.
	Reference int

	events int
}

// Callers returns the number of callers.
func (r Result) Callers() int { return r.OnTime + r.OnReturn + r.Late + r.Failed }

// Served returns the share of the callers that were served.
func (r Result) Served() float64 { return float64(r.Callers()-r.Failed) / float64(max(1, r.Callers())) }

// ServedOnTime returns the share of the callers that were served within the objective, relative to Reference. Callers
// that were refused at once and served on their return count half.
func (r Result) ServedOnTime() float64 {
	const returnWeight = 0.5

	return (float64(r.OnTime) + returnWeight*float64(r.OnReturn)) / float64(max(1, r.Reference))
}

// reference plays the arrivals of a pattern against slots of known run times: each caller gets the slot that is free
// first, and one that cannot be on time is never started.
func reference(s Settings, p load.Pattern, seed uint64) int {
	m := &model{settings: s, pattern: p, random: rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // a simulation

	var arrivals []time.Duration

	m.arrivals(p.Intensity, s.Load/s.RunTime.Seconds(), func() {})

	for _, e := range m.events {
		arrivals = append(arrivals, e.time)
	}

	slices.Sort(arrivals)

	free := make([]time.Duration, s.Workers*s.Slots)
	n := 0

	for _, t := range arrivals {
		// The last slots are those of the workers that are away.
		l := free[:len(free)-int(p.LostWorkers(t)*float64(s.Workers)+0.5)*s.Slots] //nolint:mnd // rounds

		i := 0
		for k := range l {
			if l[k] < l[i] {
				i = k
			}
		}

		start := max(t, l[i])
		if p.IsDown(start) || start-t > s.Objective-startTime {
			continue
		}

		l[i] = start + m.runTime()
		n++
	}

	return n
}
