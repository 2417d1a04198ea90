package sched

import "time"

const (
	initialLimit = 16
	minLimit   = 2
	maxLimit   = 512

	// timeSmoothing is the weight of a new observation, about the last ten count.
	timeSmoothing = 0.2
	// slowFactor is how much slower than its best a target's tokens may come before the limit falls. A full batch of a
	// healthy engine is up to about twice as slow as a single stream.
	slowFactor = 3
	// queueFactor and queueSteps bound the smoothed time to the first token relative to its best and to the time between
	// tokens. A request that starts beside others waits for a step and their prefill; above the bound the target has
	// queued it, so the limit is above what the target runs at a time. Single times are no sign: with the bound on
	// those, limits fell to 9 at an engine that runs 16 streams.
	queueFactor = 2
	queueSteps  = 3
	// plainQueueFactor and wholeSlack take the place of these bounds for plain services, whose answers come in one piece. Their
	// times differ by call, so only a large rise is a sign.
	plainQueueFactor = 4
	plainQueueSlack  = 50 * time.Millisecond
	// cutInterval is the shortest time between two cuts, so that the effect of one is seen before the next.
	cutInterval = 200 * time.Millisecond
	slowCutFactor     = 0.7
	queueCutFactor    = 0.9
	// ceilingTTL is how long the limit stays below the value at which the target began to queue.
	ceilingTTL = 20 * time.Second
	// regrowthStep is the part of a slot that an observation adds below the last ceiling.
	regrowthStep = 0.2
	// bestDriftFactor lets the best times forget a target's faster past within minutes.
	bestDriftFactor = 1.0005
)

// Limit adapts the number of requests at a target to the times that it shows. The load report of a target lags and
// plays no part. It is not safe for concurrent use.
type Limit struct {
	value, ceiling       float64
	ceilingUntil, cutAt  time.Time
	firstToken, perToken           float64
	bestFirstToken, bestPerToken float64
	startup              bool
}

// NewLimit returns the limit of a target of which nothing is known.
func NewLimit() Limit { return Limit{value: initialLimit, startup: true} }

// Value returns the limit.
func (l *Limit) Value() int { return int(l.value) }

// EstimateRunTime returns the time that work of a number of tokens takes once it has a slot; 0 if unknown.
func (l *Limit) EstimateRunTime(tokens int) time.Duration {
	return time.Duration(l.firstToken + l.perToken*float64(max(0, tokens-1)))
}

// Observe takes the observation of a request that ended while inUse slots were in use.
func (l *Limit) Observe(now time.Time, o Observation, inUse int) {
	// Work that started before the last cut shows the queue that the cut removes.
	current := !now.Add(-o.total).Before(l.cutAt)

	if o.firstToken > 0 && current {
		l.firstToken, l.bestFirstToken = smoothWithBest(l.firstToken, l.bestFirstToken, float64(o.firstToken))
	}

	if o.perToken > 0 {
		l.perToken, l.bestPerToken = smoothWithBest(l.perToken, l.bestPerToken, float64(o.perToken))
	}

	switch {
	case !o.ok || l.perToken > slowFactor*l.bestPerToken:
		l.cut(now, slowCutFactor)
	case current && l.isQueueing() && float64(inUse) >= l.value/2:
		l.ceiling, l.ceilingUntil = l.value*queueCutFactor, now.Add(ceilingTTL)
		l.startup = false
		l.cut(now, queueCutFactor)
		l.firstToken = l.bestFirstToken
	case float64(inUse+1) >= l.value && o.firstToken > 0:
		l.grow(now)
	}
}

// isQueueing reports whether the target queues requests.
func (l *Limit) isQueueing() bool {
	if l.perToken == 0 {
		return l.firstToken > plainQueueFactor*l.bestFirstToken+float64(plainQueueSlack)
	}

	return l.firstToken > queueFactor*l.bestFirstToken+queueSteps*l.perToken
}

func (l *Limit) cut(now time.Time, factor float64) {
	if now.Sub(l.cutAt) < cutInterval {
		return
	}

	l.cutAt = now
	l.value = max(minLimit, l.value*factor)
}

// grow adds one for each observation until the target first queues. Later it goes back to the last ceiling fast, and
// above it by one for each round of observations.
func (l *Limit) grow(now time.Time) {
	step := 1 / l.value

	switch {
	case l.startup:
		step = 1
	case l.value < l.ceiling:
		step = regrowthStep
	}

	most := float64(maxLimit)
	if now.Before(l.ceilingUntil) {
		most = max(minLimit, l.ceiling)
	}

	l.value = max(l.value, min(most, l.value+step))
}

// smoothWithBest returns the smoothed value and the best value.
func smoothWithBest(mean, best, v float64) (float64, float64) {
	if mean == 0 {
		return v, v
	}

	mean += timeSmoothing * (v - mean)

	return mean, min(best*bestDriftFactor, mean)
}
