package job

import "time"

// Capacity adapts the number of batch items that a daemon runs at a time to what its targets take: it grows by one
// item per window of successes and is halved when targets have no room. It is not safe for concurrent use.
type Capacity struct {
	limit    int
	maxLimit      int
	successes int
	halvedAt  time.Time
}

// minHalvingInterval is the least time between two reductions, so that one shortage, which many items meet, counts once.
const minHalvingInterval = time.Second

// NewCapacity returns a capacity that starts at first items and stays between 1 and most.
func NewCapacity(first, most int) *Capacity {
	return &Capacity{limit: max(1, first), maxLimit: max(1, most)}
}

// Limit returns the number of items to run at a time.
func (c *Capacity) Limit() int { return c.limit }

// RecordSuccess notes an item that a target took.
func (c *Capacity) RecordSuccess() {
	c.successes++

	if c.successes >= c.limit {
		c.successes = 0
		c.limit = min(c.limit+1, c.maxLimit)
	}
}

// RecordRefusal notes an item that no target had room for.
func (c *Capacity) RecordRefusal(now time.Time) {
	if now.Sub(c.halvedAt) < minHalvingInterval {
		return
	}

	c.halvedAt, c.successes = now, 0
	c.limit = max(1, c.limit/2) //nolint:mnd // multiplicative decrease
}
