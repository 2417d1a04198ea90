package batches

import (
	"sync"
	"time"
)

// runTimeEstimator estimates how long items run. The zero value knows nothing.
type runTimeEstimator struct {
	mu     sync.Mutex
	eventInterval    time.Duration // mean time between events
	eventCount float64       // mean number of events of an item
}

const (
	// intervalWeight and eventsWeight are the weights of one observation in the means. An item has some hundred events.
	intervalWeight    = 0.01
	eventCountWeight = 0.1
	// maxEventInterval leaves out the pauses between two runs of an item.
	maxEventInterval = 250 * time.Millisecond
)

// observeInterval records the time between two events.
func (p *runTimeEstimator) observeInterval(d time.Duration) {
	if d > maxEventInterval {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.eventInterval == 0 {
		p.eventInterval = d
	}

	p.eventInterval += time.Duration(intervalWeight * float64(d-p.eventInterval))
}

// observeEventCount records the number of events of an item.
func (p *runTimeEstimator) observeEventCount(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.eventCount == 0 {
		p.eventCount = float64(n)
	}

	p.eventCount += eventCountWeight * (float64(n) - p.eventCount)
}

// remaining returns how long an item runs that has had some of its events; 0 when nothing is known.
func (p *runTimeEstimator) remaining(had int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	return time.Duration(max(0, p.eventCount-float64(had)) * float64(p.eventInterval))
}
