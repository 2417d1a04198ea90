package job

import "time"

// Capacity adapts the number of batch items that a daemon runs at a time to what its targets take: it grows by one
// item per window of successes and is halved when targets have no room. It is not safe for concurrent use.
type Capacity struct {
	window    int
	most      int
	successes int
	halvedAt  time.Time
}

// halveInterval is the least time between two reductions, so that one shortage, which many items meet, counts once.
const halveInterval = time.Second

// NewCapacity returns a capacity that starts at first items and stays between 1 and most.
func NewCapacity(first, most int) *Capacity {
	return &Capacity{window: max(1, first), most: max(1, most)}
}

// Items returns the number of items to run at a time.
func (c *Capacity) Items() int { return c.window }

// Success notes an item that a target took.
func (c *Capacity) Success() {
	c.successes++

	if c.successes >= c.window {
		c.successes = 0
		c.window = min(c.window+1, c.most)
	}
}

// Refused notes an item that no target had room for.
func (c *Capacity) Refused(now time.Time) {
	if now.Sub(c.halvedAt) < halveInterval {
		return
	}

	c.halvedAt, c.successes = now, 0
	c.window = max(1, c.window/2) //nolint:mnd // multiplicative decrease
}
