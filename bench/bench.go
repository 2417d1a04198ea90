// Package bench measures the real daemon code on loopback against the stand-ins. Every figure is a ratio to a
// baseline of the same run.
package bench

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Policies has the balancing policies, ours last.
var Policies = []string{"round_robin", "least_loaded", "power_of_two", "owner"}

// Size is a system to measure.
type Size struct {
	name    string
	service string
	domains []string
	daemons int
	workers int
}

// Sizes has the sizes of today's users.
var Sizes = []Size{
	{
		name: "lintas", service: "signwriter", daemons: 12, workers: 10,
		domains: []string{"kv-shah-alam", "kv-petaling", "kv-cheras"},
	},
	{
		name: "faellesvagt", service: "vagtsprog", daemons: 12, workers: 20,
		domains: []string{"dk-hovedstad", "dk-sjaelland", "dk-fyn", "dk-jylland"},
	},
}

// Name returns the size's name.
func (s Size) Name() string { return s.name }

// Options are the choices of a run.
type Options struct {
	size   Size
	policy string
	seed   uint64
	phaseTime  time.Duration
}

// NewOptions returns options. phase is the measured time of each phase; 0 means the scenario's own.
func NewOptions(s Size, policy string, seed uint64, phase time.Duration) Options {
	return Options{size: s, policy: policy, seed: seed, phaseTime: phase}
}

func (o Options) phaseTimeOr(d time.Duration) time.Duration {
	if o.phaseTime > 0 {
		return o.phaseTime
	}

	return d
}

// Figure is one measured value; its name has the unit.
type Figure struct {
	name  string
	value float64
}

// NewFigure returns a value.
func NewFigure(name string, value float64) Figure { return Figure{name: name, value: value} }

// Name returns the name in snake case with the unit.
func (f Figure) Name() string { return f.name }

// Value returns the value.
func (f Figure) Value() float64 { return f.value }

// Result is one measure of a scenario against its bound.
type Result struct {
	scenario, measure string
	options           Options
	figures           []Figure
	ratio, bound      float64
	atMost            bool
	latencies         map[string]*hdrhistogram.Histogram
}

// NewResult returns a measure. The ratio must be at most the bound, or at least the bound.
func NewResult(scenario, measure string, o Options, ratio, bound float64, atMost bool, f ...Figure) Result {
	return Result{scenario: scenario, measure: measure, options: o, ratio: ratio, bound: bound, atMost: atMost, figures: f}
}

// Met reports whether the bound is met.
func (r Result) Met() bool {
	if r.atMost {
		return r.ratio <= r.bound
	}

	return r.ratio >= r.bound
}

// withLatencies adds the latency distributions of the phases, for plots.
func (r Result) withLatencies(l map[string]*hdrhistogram.Histogram) Result {
	r.latencies = l

	return r
}

// Scenario is a measurement.
type Scenario func(ctx context.Context, o Options) ([]Result, error)

var scenarios = map[string]Scenario{
	"batch-harm":   measureBatchHarm,
	"head-of-line": measureHeadOfLine,
	"slow-targets": measureSlowTargets,
	"overload":     measureOverload,
	"control":      measureControl,
	"restart":      measureRestart,
	"config":       measureConfig,
	"journal":      measureJournal,
}

// DependsOnPolicy reports whether the balancing policy makes a difference to a scenario.
func DependsOnPolicy(name string) bool {
	return slices.Contains([]string{"batch-harm", "head-of-line", "slow-targets", "overload"}, name)
}

// Names returns the names of the scenarios.
func Names() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Run measures a scenario.
func Run(ctx context.Context, name string, o Options) ([]Result, error) {
	s, ok := scenarios[name]
	if !ok {
		return nil, fmt.Errorf("scenario %q does not exist; the scenarios are %v", name, Names())
	}

	return s(ctx, o)
}
