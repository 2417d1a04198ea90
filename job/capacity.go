package job

import "time"

// Capacity limits the number of batch items that a daemon runs at a time, adapted to the free capacity of its targets:
// the limit grows by one after as many successes as the limit, and is halved when targets have no room (additive
// increase, multiplicative decrease). It is not safe for concurrent use.
type Capacity struct {
	limit     int
	maxLimit  int
	successes int
	halvedAt  time.Time
}

// minHalvingInterval is the minimum time between two reductions, so that a shortage reduces the limit once, although
// many items meet it.
const minHalvingInterval = time.Second

// NewCapacity returns a capacity whose limit starts at initialLimit, which must not be above maxLimit, and stays
// between 1 and maxLimit.
func NewCapacity(initialLimit, maxLimit int) *Capacity {
	return &Capacity{limit: max(1, initialLimit), maxLimit: max(1, maxLimit)}
}

// Limit returns the maximum number of items to run at a time.
func (c *Capacity) Limit() int { return c.limit }

// RecordSuccess counts an item that a target has run.
func (c *Capacity) RecordSuccess() {
	c.successes++

	if c.successes >= c.limit {
		c.successes = 0
		c.limit = min(c.limit+1, c.maxLimit)
	}
}

// RecordRefusal halves the limit because no target had room for an item, at most once per minHalvingInterval.
func (c *Capacity) RecordRefusal(now time.Time) {
	if now.Sub(c.halvedAt) < minHalvingInterval {
		return
	}

	c.halvedAt, c.successes = now, 0
	c.limit = max(1, c.limit/2) //nolint:mnd // multiplicative decrease
}
