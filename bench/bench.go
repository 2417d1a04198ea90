// Package bench measures daemons on loopback against the stand-ins of the platform, the engines and the services. Where
// a scenario has a baseline, its result is a ratio to a baseline of the same run. The bench command uses it.
package bench

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Policies lists the balancing policies to compare. The last one, owner, is the default of the daemon; scenarios that
// do not depend on the policy run with it.
var Policies = []string{"round_robin", "least_loaded", "power_of_two", "owner"}

// Size describes a system to measure: the service of its engines, its failure domains, and the number of daemons and
// engine workers in all of them together.
type Size struct {
	name    string
	service string
	domains []string
	daemons int
	workers int
}

// Sizes lists the sizes of the present users.
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

// Name returns the name of the size, as in the -size flag.
func (s Size) Name() string { return s.name }

// Options are the parameters of a run.
type Options struct {
	size      Size
	policy    string
	seed      uint64
	phaseTime time.Duration
}

// NewOptions returns options. phaseTime is the measured time of each phase; 0 selects the default of the scenario.
func NewOptions(s Size, policy string, seed uint64, phaseTime time.Duration) Options {
	return Options{size: s, policy: policy, seed: seed, phaseTime: phaseTime}
}

func (o Options) phaseTimeOr(d time.Duration) time.Duration {
	if o.phaseTime > 0 {
		return o.phaseTime
	}

	return d
}

// Figure is one measured value.
type Figure struct {
	name  string
	value float64
}

// NewFigure returns a figure. Its name ends with the unit, if there is one.
func NewFigure(name string, value float64) Figure { return Figure{name: name, value: value} }

// Name returns the name in snake case, with the unit.
func (f Figure) Name() string { return f.name }

// Value returns the value.
func (f Figure) Value() float64 { return f.value }

// Result is one measure of a scenario, compared with its bound.
type Result struct {
	scenario, measure string
	options           Options
	figures           []Figure
	ratio, bound      float64
	atMost            bool
	latencies         map[string]*hdrhistogram.Histogram
}

// NewResult returns a result. Its bound is met if the ratio is at most the bound, or at least the bound if atMost is
// false.
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

// withLatencies returns the result with the latency distributions of the phases, which the HTML report plots.
func (r Result) withLatencies(l map[string]*hdrhistogram.Histogram) Result {
	r.latencies = l

	return r
}

// Scenario runs a system under a load and returns the measures.
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

// DependsOnPolicy reports whether the results of a scenario depend on the balancing policy.
func DependsOnPolicy(name string) bool {
	return slices.Contains([]string{"batch-harm", "head-of-line", "slow-targets", "overload"}, name)
}

// ScenarioNames returns the names of the scenarios.
func ScenarioNames() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Run runs a scenario. An unknown name is an error.
func Run(ctx context.Context, name string, o Options) ([]Result, error) {
	s, ok := scenarios[name]
	if !ok {
		return nil, fmt.Errorf("scenario %q does not exist; the scenarios are %v", name, ScenarioNames())
	}

	return s(ctx, o)
}
