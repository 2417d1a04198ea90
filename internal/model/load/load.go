// Package load has the load patterns of the fleet model: how the rate of requests changes over time, and when the fleet
// is away. A pattern is a pure function of the time since its start.
package load

import (
	"slices"
	"time"
)

// Pattern is a named course of the load.
type Pattern struct {
	name      string
	length    time.Duration
	intensity func(t time.Duration) float64 // rate of online requests as a multiple of the mean
	jobs      func(t time.Duration) float64 // rate of batch items as a multiple of the mean
	outage    [2]time.Duration              // all daemons are away from the first time until the second
	lost      [2]time.Duration              // a share of the workers is away in this time
	lostShare float64
}

// Name returns the name of the pattern.
func (p Pattern) Name() string { return p.name }

// Length returns the time for which requests arrive.
func (p Pattern) Length() time.Duration { return p.length }

// Intensity returns the rate of online requests at t, as a multiple of their mean rate.
func (p Pattern) Intensity(t time.Duration) float64 { return p.intensity(t) }

// JobIntensity returns the rate of batch items at t, as a multiple of their mean rate.
func (p Pattern) JobIntensity(t time.Duration) float64 { return p.jobs(t) }

// IsDown reports whether all daemons are away at t.
func (p Pattern) IsDown(t time.Duration) bool { return t >= p.outage[0] && t < p.outage[1] }

// LostWorkers returns the share of the workers that is away at t.
func (p Pattern) LostWorkers(t time.Duration) float64 {
	if t >= p.lost[0] && t < p.lost[1] {
		return p.lostShare
	}

	return 0
}

// Changes returns the times at which the daemons or workers go away or return.
func (p Pattern) Changes() []time.Duration {
	return []time.Duration{p.outage[0], p.outage[1], p.lost[0], p.lost[1]}
}

const (
	lowStep, highStep           = 0.39, 1.91
	lowStepTime, highStepTime   = 3400 * time.Millisecond, 2400 * time.Millisecond
	patternLength               = 30 * time.Second
	disturbanceStart            = 10 * time.Second
	outageTime, lostWorkersTime = 1500 * time.Millisecond, 5 * time.Second
	burstTime                   = 4 * time.Second
	burstFactor, jobBurstFactor = 1.5, 6
	lostWorkersShare            = 0.2
)

func steady(time.Duration) float64 { return 1 }

// steps alternates between lowStep and highStep.
func steps(t time.Duration) float64 {
	if t%(lowStepTime+highStepTime) < lowStepTime {
		return lowStep
	}

	return highStep
}

func during(t, start, length time.Duration, factor float64) float64 {
	if t >= start && t < start+length {
		return factor
	}

	return 1
}

// Patterns returns all patterns, sorted by name.
func Patterns() []Pattern {
	base := Pattern{length: patternLength, intensity: steady, jobs: steady}

	named := func(name string, change func(p *Pattern)) Pattern {
		p := base
		p.name = name
		change(&p)

		return p
	}

	return []Pattern{
		named("burst", func(p *Pattern) {
			p.intensity = func(t time.Duration) float64 { return during(t, disturbanceStart, burstTime, burstFactor) }
		}),
		named("dark-workers", func(p *Pattern) {
			p.lost, p.lostShare = [2]time.Duration{disturbanceStart, disturbanceStart + lostWorkersTime}, lostWorkersShare
		}),
		named("herd-return", func(p *Pattern) {
			p.outage = [2]time.Duration{disturbanceStart, disturbanceStart + outageTime}
		}),
		named("job-burst", func(p *Pattern) {
			p.jobs = func(t time.Duration) float64 { return during(t, disturbanceStart, burstTime, jobBurstFactor) }
		}),
		named("steady", func(*Pattern) {}),
		named("steps", func(p *Pattern) { p.intensity = steps }),
	}
}

// Find returns the pattern with a name.
func Find(name string) (Pattern, bool) {
	l := Patterns()

	i := slices.IndexFunc(l, func(p Pattern) bool { return p.name == name })
	if i < 0 {
		return Pattern{}, false
	}

	return l[i], true
}
