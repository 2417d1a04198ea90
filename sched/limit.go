package sched

import "time"

const (
	initialLimit = 16 // limit for a target without observations
	minLimit     = 2
	maxLimit     = 512

	// timeSmoothing is the weight of a new observation in the moving averages, which cover about the last ten.
	timeSmoothing = 0.2
	// slowFactor bounds the time between tokens relative to the best one of the target; above it the limit falls. With a
	// full batch, a healthy engine takes up to about twice the time of a single stream.
	slowFactor = 3
	// A target queues requests, so that the limit exceeds what it can run concurrently, if its time to the first token
	// exceeds queueFactor times the best one plus queueSteps times the time between tokens. Shorter times are normal: a
	// request that starts along with others waits for a decoding step and their prefill. The bound applies to the moving
	// average, as with single times the limit fell to 9 for an engine that runs 16 streams.
	queueFactor = 2
	queueSteps  = 3
	// plainQueueFactor and plainQueueSlack replace this bound for plain services, which send their responses in one
	// piece: plainQueueFactor times the best time plus plainQueueSlack. Their times vary between calls, so only a large
	// rise means that the target queues.
	plainQueueFactor = 4
	plainQueueSlack  = 50 * time.Millisecond
	// cutInterval is the minimum time between two cuts of the limit, so that the effect of one shows before the next.
	cutInterval = 200 * time.Millisecond
	// slowCutFactor multiplies the limit in a cut because the target failed or slowed down, queueCutFactor in a cut
	// because it queues requests.
	slowCutFactor  = 0.7
	queueCutFactor = 0.9
	// ceilingTTL is how long the limit stays below the value at which the target has queued requests.
	ceilingTTL = 20 * time.Second
	// regrowthStep is what each observation adds to the limit while it is below the last ceiling.
	regrowthStep = 0.2
	// bestDriftFactor raises the best times with each observation, so that times from when the target was faster expire
	// within minutes.
	bestDriftFactor = 1.0005
)

// Limit adapts the maximum number of concurrent requests at a target to its observed latencies. It ignores the load
// that a target reports, as that report lags. It is not safe for concurrent use.
type Limit struct {
	value, ceiling               float64
	ceilingUntil, cutAt          time.Time
	firstToken, perToken         float64 // moving averages in nanoseconds; 0 before the first observation
	bestFirstToken, bestPerToken float64
	startup                      bool // the target has not queued requests yet
}

// NewLimit returns the initial limit for a target without observations.
func NewLimit() Limit { return Limit{value: initialLimit, startup: true} }

// Value returns the maximum number of concurrent requests.
func (l *Limit) Value() int { return int(l.value) }

// EstimateRunTime returns the run time of work with a number of tokens; 0 if there are no observations.
func (l *Limit) EstimateRunTime(tokens int) time.Duration {
	return time.Duration(l.firstToken + l.perToken*float64(max(0, tokens-1)))
}

// Observe updates the limit after the end of a request. inUse is the number of slots in use, its own included.
func (l *Limit) Observe(now time.Time, o Observation, inUse int) {
	// The first token of work that started before the last cut was delayed by the queue that the cut removes.
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

// isQueueing reports whether the smoothed time to the first token shows that the target queues requests.
func (l *Limit) isQueueing() bool {
	if l.perToken == 0 {
		return l.firstToken > plainQueueFactor*l.bestFirstToken+float64(plainQueueSlack)
	}

	return l.firstToken > queueFactor*l.bestFirstToken+queueSteps*l.perToken
}

// cut reduces the limit by a factor, unless the last cut was less than cutInterval ago.
func (l *Limit) cut(now time.Time, factor float64) {
	if now.Sub(l.cutAt) < cutInterval {
		return
	}

	l.cutAt = now
	l.value = max(minLimit, l.value*factor)
}

// grow raises the limit: by 1 with each observation until the target first queues, later by regrowthStep up to the last
// ceiling, and above it by 1 for as many observations as the limit has slots.
func (l *Limit) grow(now time.Time) {
	step := 1 / l.value

	switch {
	case l.startup:
		step = 1
	case l.value < l.ceiling:
		step = regrowthStep
	}

	upper := float64(maxLimit)
	if now.Before(l.ceilingUntil) {
		upper = max(minLimit, l.ceiling)
	}

	l.value = max(l.value, min(upper, l.value+step))
}

// smoothWithBest returns the moving average and the best value after the new value v. A zero mean is unknown.
func smoothWithBest(mean, best, v float64) (float64, float64) {
	if mean == 0 {
		return v, v
	}

	mean += timeSmoothing * (v - mean)

	return mean, min(best*bestDriftFactor, mean)
}
