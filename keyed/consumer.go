// Package keyed replays keyed streams of the platform's log, which keep the newest record of each key, into sinks, and
// relays calls to the log through other daemons while the log does not serve this one. Package daemon wires it to the
// streams of jobs, registrations, daemons and configuration.
package keyed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/agategap/agategap/stream"
)

// Log is the access to keyed streams, which are divided into partitions.
type Log interface {
	// Append appends records, all or none, and returns the offset of the first. Unless at is stream.AnyOffset, it fails
	// with stream.ErrOffsetMismatch if the partition does not end at offset at.
	Append(ctx context.Context, name string, part int, records []stream.KeyedRecord, at int64) (int64, error)
	// Tail returns the records from offset from on. If there are none, it waits for the first one for up to wait.
	Tail(ctx context.Context, name string, part int, from int64, wait time.Duration) (stream.KeyedPage, error)
	// Newest returns a page of the newest records of all keys, in order of keys, starting with the first key
	// greater than after. An empty key returns the first page.
	Newest(ctx context.Context, name string, part int, after string) (stream.KeyedPage, error)
}

// Sink receives the records of a partition in order of offset.
type Sink interface {
	// Reset replaces the state by the newest record of each key before offset end. The records are in no order.
	Reset(l []stream.KeyedRecord, end int64)
	// Apply applies the next record. Its key is empty if the record cannot be read, its value if the key is dropped.
	Apply(k stream.KeyedRecord)
}

// Health is told after each read by Run whether the log is available.
type Health interface {
	SetLogDown(down bool, now time.Time)
}

const (
	// maxTailWait is how long a read waits for a record. An unresponsive connection is noticed after this time.
	maxTailWait = 2 * time.Second
	// syncTimeout bounds a read that several calls of EnsureFresh share.
	syncTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before the next read after a failed one.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Consumer replays one partition of a stream into a sink. It is safe for concurrent use.
type Consumer struct {
	log       Log
	name      string
	partition int
	sink      Sink
	health    Health
	readDelay func() time.Duration
	logger    zerolog.Logger
	syncs     singleflight.Group

	mu         sync.Mutex
	nextOffset int64
	loaded     bool
	syncedAt   time.Time    // latest start of a read that reached the end
	partial    *partialLoad // interrupted load; nil for none
	down       bool
	ready      chan struct{}
}

// New returns a consumer of a partition of the stream name. The partition is not loaded until Run or Sync is called.
func New(l Log, name string, partition int, s Sink, z zerolog.Logger) *Consumer {
	return &Consumer{log: l, name: name, partition: partition, sink: s, logger: z, ready: make(chan struct{})}
}

// WithHealth makes Run tell h whether the log can be read, and returns c. It must be called before Run.
func (c *Consumer) WithHealth(h Health) *Consumer {
	c.health = h

	return c
}

// WithReadDelay sets a delay after each successful read in Run, so that a stream with many writers does not cause a
// read for each record, and returns c. It must be called before Run.
func (c *Consumer) WithReadDelay(delay func() time.Duration) *Consumer {
	c.readDelay = delay

	return c
}

// Ready returns a channel that is closed once the partition is loaded.
func (c *Consumer) Ready() <-chan struct{} { return c.ready }

// IsLoaded reports whether the partition is loaded.
func (c *Consumer) IsLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.loaded
}

// IsDown reports whether the last read by Run failed because the log is unavailable.
func (c *Consumer) IsDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.down
}

// NextOffset returns the offset after the last record that was applied.
func (c *Consumer) NextOffset() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.nextOffset
}

// SyncedAt returns the time up to which all appended records are known to be applied.
func (c *Consumer) SyncedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.syncedAt
}

// Run loads the partition and applies its new records until ctx ends. It always returns nil.
func (c *Consumer) Run(ctx context.Context) error {
	delay := minRetryDelay

	for ctx.Err() == nil {
		err := c.loadOrRead(ctx, maxTailWait)
		c.recordAvailability(err)

		wait := delay

		if err == nil {
			delay, wait = minRetryDelay, 0

			if c.readDelay != nil {
				wait = c.readDelay()
			}
		} else {
			delay = min(maxRetryDelay, 2*delay) //nolint:mnd // exponential
		}

		if wait == 0 {
			continue
		}

		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}

	return nil
}

// recordAvailability records whether the log is available after a read that returned err, and logs a change. Truncated
// history and cancellation do not make it unavailable.
func (c *Consumer) recordAvailability(err error) {
	down := err != nil && !errors.Is(err, stream.ErrTruncated) && !errors.Is(err, context.Canceled)

	if c.health != nil {
		c.health.SetLogDown(down, time.Now())
	}

	c.mu.Lock()
	changed := c.down != down
	c.down = down
	next := c.nextOffset
	c.mu.Unlock()

	if !changed {
		return
	}

	e := c.logger.Info()
	if down {
		e = c.logger.Warn().Err(err)
	}

	e.Str("event", "log_reads").Bool("available", !down).Str("stream", c.name).Int("part", c.partition).Int64("next", next).
		Msg("availability of the log for reads changed")
}

// loadOrRead loads the partition if it is not loaded or its unread records were truncated, and otherwise reads new
// records.
func (c *Consumer) loadOrRead(ctx context.Context, wait time.Duration) error {
	if !c.IsLoaded() {
		return c.load(ctx)
	}

	err := c.readTail(ctx, wait)
	if errors.Is(err, stream.ErrTruncated) {
		c.logger.Info().Str("event", "log_gap").Str("stream", c.name).Int("part", c.partition).Int64("next", c.NextOffset()).
			Msg("unread records of the log were truncated; loading the newest record of each key")

		return c.load(ctx)
	}

	return err
}

// Sync applies the records up to the present end of the partition. If the partition is not loaded, Sync only loads it;
// another call then applies the records that were appended during the load.
func (c *Consumer) Sync(ctx context.Context) error { return c.loadOrRead(ctx, 0) }

// EnsureFresh makes sure that all records older than maxAge are applied. Concurrent calls share a read.
func (c *Consumer) EnsureFresh(ctx context.Context, maxAge time.Duration) error {
	since := time.Now().Add(-maxAge)

	// A shared read may have started before this call, so that more than one may be needed.
	for c.SyncedAt().Before(since) {
		done := c.syncs.DoChan("", func() (any, error) {
			x, stop := context.WithTimeout(context.WithoutCancel(ctx), syncTimeout)
			defer stop()

			return nil, c.Sync(x)
		})

		select {
		case r := <-done:
			if r.Err != nil {
				return r.Err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}

	return nil
}

// readTail reads the records from the next offset on and applies them. If there are none, it waits for up to wait.
func (c *Consumer) readTail(ctx context.Context, wait time.Duration) error {
	from, start := c.NextOffset(), time.Now()

	p, err := c.log.Tail(ctx, c.name, c.partition, from, wait)
	if err != nil {
		return err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	for _, k := range p.Records() {
		if k.Offset() == c.nextOffset {
			c.sink.Apply(k)
			c.nextOffset++
		}
	}

	if c.nextOffset >= p.End() && start.After(c.syncedAt) {
		c.syncedAt = start
	}

	return nil
}

// ApplyAppended applies the records that this daemon has appended at an offset, unless a reader has applied them
// already or records before them are missing.
func (c *Consumer) ApplyAppended(l []stream.KeyedRecord, offset int64) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for i, k := range l {
		if o := offset + int64(i); o == c.nextOffset {
			c.sink.Apply(k.WithOffset(o))
			c.nextOffset++
		}
	}
}
