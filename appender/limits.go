package appender

import "time"

// Limits bounds the size of groups, the rate of appends and the queue. In the zero value the sizes have their defaults
// and the rate is not limited.
type Limits struct {
	maxGroupRecords int
	maxGroupBytes   int
	appendInterval  time.Duration
	burst           int
	maxQueueBytes   int
}

const (
	defaultMaxGroupRecords = 4096
	defaultMaxGroupBytes   = 4 << 20
	// defaultMaxQueueBytes bounds the new work that is queued in memory while the log is down.
	defaultMaxQueueBytes = 8 << 20

	// minRetryDelay is the delay after the first failed append. It doubles with each further failure up to
	// maxRetryDelay, so that many writers can share the log when its append rate is used up.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// NewLimits returns limits of the records in a group and of its estimated size in bytes, 0 for the defaults.
// appendInterval is the mean time between two appends to the partition, from its share of the log's append rate; 0 for
// no limit.
func NewLimits(maxGroupRecords, maxGroupBytes int, appendInterval time.Duration) Limits {
	return Limits{maxGroupRecords: maxGroupRecords, maxGroupBytes: maxGroupBytes, appendInterval: appendInterval}
}

// WithBurst returns limits that allow n appends at once after a period without appends. Values below 1 mean 1.
func (l Limits) WithBurst(n int) Limits {
	l.burst = n

	return l
}

// WithMaxQueueBytes returns limits that bound the new work in the queue to n bytes, and the queue as a whole to twice
// as much.
func (l Limits) WithMaxQueueBytes(n int) Limits {
	l.maxQueueBytes = n

	return l
}

func (l Limits) groupRecords() int { return positiveOr(l.maxGroupRecords, defaultMaxGroupRecords) }
func (l Limits) groupBytes() int   { return positiveOr(l.maxGroupBytes, defaultMaxGroupBytes) }
func (l Limits) queueBytes() int   { return positiveOr(l.maxQueueBytes, defaultMaxQueueBytes) }

func positiveOr(v, fallback int) int {
	if v > 0 {
		return v
	}

	return fallback
}

// tokenBucket limits the rate of appends to one per interval on average, with bursts. The zero value is full.
type tokenBucket struct {
	fullAt time.Time // time from which the whole burst is available
}

// nextAt returns the time from which the next append is allowed.
func (b *tokenBucket) nextAt(l Limits) time.Time {
	return b.fullAt.Add(-time.Duration(max(1, l.burst)-1) * l.appendInterval)
}

func (b *tokenBucket) consume(now time.Time, l Limits) {
	b.fullAt = maxTime(b.fullAt, now).Add(l.appendInterval)
}
