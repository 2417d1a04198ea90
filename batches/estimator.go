package batches

import (
	"sync"
	"time"
)

// runTimeEstimator estimates the run time of items from the interval between their events and from their number of
// events. The zero value estimates 0. It is safe for concurrent use.
type runTimeEstimator struct {
	mu            sync.Mutex
	eventInterval time.Duration // moving average of the time between two events
	eventCount    float64       // moving average of the number of events of an item
}

const (
	// intervalWeight and eventCountWeight are the weights of one observation in the moving averages. The weight of an
	// interval is smaller, as an item has several hundred events.
	intervalWeight   = 0.01
	eventCountWeight = 0.1
	// maxEventInterval is the longest interval that is observed. Longer ones are taken as pauses between two attempts of
	// an item.
	maxEventInterval = 250 * time.Millisecond
)

// observeInterval adds the time between two events.
func (e *runTimeEstimator) observeInterval(d time.Duration) {
	if d > maxEventInterval {
		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	if e.eventInterval == 0 {
		e.eventInterval = d
	}

	e.eventInterval += time.Duration(intervalWeight * float64(d-e.eventInterval))
}

// observeEventCount adds the number of events of a completed item.
func (e *runTimeEstimator) observeEventCount(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.eventCount == 0 {
		e.eventCount = float64(n)
	}

	e.eventCount += eventCountWeight * (float64(n) - e.eventCount)
}

// remaining returns the estimated run time that is left for an item after its first eventsSoFar events; 0 before any
// observation.
func (e *runTimeEstimator) remaining(eventsSoFar int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()

	return time.Duration(max(0, e.eventCount-float64(eventsSoFar)) * float64(e.eventInterval))
}
