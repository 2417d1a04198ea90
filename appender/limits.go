package appender

import "time"

// Limits bound a group, the rate of appends and the queue. The zero value means the defaults.
type Limits struct {
	maxRecords int
	maxWeight  int
	interval   time.Duration
	burst      int
	maxQueue   int
}

const (
	defaultMaxRecords = 4096
	defaultMaxWeight  = 4 << 20
	// defaultMaxQueue bounds the bytes of new work that wait in memory while the log is down.
	defaultMaxQueue = 8 << 20

	// retryBase is the delay after the first failed append; it doubles up to retryMost, so that many writers leave
	// room for each other when the log's rate is used up.
	retryBase = 50 * time.Millisecond
	retryMost = 2 * time.Second
)

// NewLimits returns limits: records in a group, summed weight of a group in bytes, and the mean time between two
// appends of this partition (its share of the log's rate).
func NewLimits(maxRecords, maxWeight int, interval time.Duration) Limits {
	return Limits{maxRecords: maxRecords, maxWeight: maxWeight, interval: interval}
}

// WithBurst returns limits that allow n appends at once after a time without appends; at least 1.
func (l Limits) WithBurst(n int) Limits {
	l.burst = n

	return l
}

// WithQueue returns limits that bound the queued bytes of new work to n.
func (l Limits) WithQueue(n int) Limits {
	l.maxQueue = n

	return l
}

func (l Limits) records() int { return positive(l.maxRecords, defaultMaxRecords) }
func (l Limits) weight() int  { return positive(l.maxWeight, defaultMaxWeight) }
func (l Limits) queue() int   { return positive(l.maxQueue, defaultMaxQueue) }

func positive(v, otherwise int) int {
	if v > 0 {
		return v
	}

	return otherwise
}

// bucket paces appends: one an interval in the mean, and up to the burst at once.
type bucket struct {
	full time.Time // when the whole burst is available again
}

// at returns the time from which the next append is allowed.
func (b *bucket) at(l Limits) time.Time {
	return b.full.Add(-time.Duration(max(1, l.burst)-1) * l.interval)
}

func (b *bucket) take(now time.Time, l Limits) {
	b.full = later(b.full, now).Add(l.interval)
}
