package appender

import "time"

// Limits bound a group, the rate of appends and the queue. The zero value means the defaults.
type Limits struct {
	maxGroupRecords int
	maxGroupBytes  int
	appendInterval   time.Duration
	burst      int
	maxQueueBytes   int
}

const (
	defaultMaxGroupRecords = 4096
	defaultMaxGroupBytes  = 4 << 20
	// defaultMaxQueueBytes bounds the bytes of new work that wait in memory while the log is down.
	defaultMaxQueueBytes = 8 << 20

	// minRetryDelay is the delay after the first failed append; it doubles up to retryMost, so that many writers leave
	// room for each other when the log's rate is used up.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// NewLimits returns limits: records in a group, summed weight of a group in bytes, and the mean time between two
// appends of this partition (its share of the log's rate).
func NewLimits(maxRecords, maxWeight int, interval time.Duration) Limits {
	return Limits{maxGroupRecords: maxRecords, maxGroupBytes: maxWeight, appendInterval: interval}
}

// WithBurst returns limits that allow n appends at once after a time without appends; at least 1.
func (l Limits) WithBurst(n int) Limits {
	l.burst = n

	return l
}

// WithMaxQueueBytes returns limits that bound the queued bytes of new work to n.
func (l Limits) WithMaxQueueBytes(n int) Limits {
	l.maxQueueBytes = n

	return l
}

func (l Limits) groupRecords() int { return positiveOr(l.maxGroupRecords, defaultMaxGroupRecords) }
func (l Limits) groupBytes() int  { return positiveOr(l.maxGroupBytes, defaultMaxGroupBytes) }
func (l Limits) queueBytes() int   { return positiveOr(l.maxQueueBytes, defaultMaxQueueBytes) }

func positiveOr(v, otherwise int) int {
	if v > 0 {
		return v
	}

	return otherwise
}

// tokenBucket paces appends: one an interval in the mean, and up to the burst at once.
type tokenBucket struct {
	fullAt time.Time // when the whole burst is available again
}

// nextAt returns the time from which the next append is allowed.
func (b *tokenBucket) nextAt(l Limits) time.Time {
	return b.fullAt.Add(-time.Duration(max(1, l.burst)-1) * l.appendInterval)
}

func (b *tokenBucket) consume(now time.Time, l Limits) {
	b.fullAt = maxTime(b.fullAt, now).Add(l.appendInterval)
}
