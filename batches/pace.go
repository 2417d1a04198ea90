package batches

import (
	"sync"
	"time"
)

// pace estimates how long items run. The zero value knows nothing.
type pace struct {
	mu     sync.Mutex
	gap    time.Duration // mean time between events
	events float64       // mean number of events of an item
}

const (
	// gapWeight and eventsWeight are the weights of one observation in the means. An item has some hundred events.
	gapWeight    = 0.01
	eventsWeight = 0.1
	// mostGap leaves out the pauses between two runs of an item.
	mostGap = 250 * time.Millisecond
)

// event records the time between two events.
func (p *pace) event(d time.Duration) {
	if d > mostGap {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.gap == 0 {
		p.gap = d
	}

	p.gap += time.Duration(gapWeight * float64(d-p.gap))
}

// ended records the number of events of an item.
func (p *pace) ended(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.events == 0 {
		p.events = float64(n)
	}

	p.events += eventsWeight * (float64(n) - p.events)
}

// needs returns how long an item runs that has had some of its events; 0 when nothing is known.
func (p *pace) needs(had int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	return time.Duration(max(0, p.events-float64(had)) * float64(p.gap))
}
