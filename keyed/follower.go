// Package keyed follows streams of the platform's log that keep the newest record of each key, and reaches the log
// through other daemons while it turns this one away.
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

// Log has the keyed streams.
type Log interface {
	Append(ctx context.Context, name string, part int, records []stream.KeyedRecord, at int64) (int64, error)
	Tail(ctx context.Context, name string, part int, from int64, wait time.Duration) (stream.KeyedPage, error)
	Newest(ctx context.Context, name string, part int, after string) (stream.KeyedPage, error)
}

// Sink takes the records of a stream in order.
type Sink interface {
	// Reset replaces everything by the newest record of each key before an offset. The records have no order, and some
	// may be from behind the offset.
	Reset(l []stream.KeyedRecord, end int64)
	// Apply adds a record. Its key is empty when the record cannot be read, its value when the key is dropped.
	Apply(k stream.KeyedRecord)
}

// Health is told whether the log can be read.
type Health interface {
	SetLogDown(down bool, now time.Time)
}

const (
	// maxTailWait is how long a read waits for a record. A connection that went silent is noticed after it.
	maxTailWait = 2 * time.Second
	// syncTimeout bounds a read that several callers share.
	syncTimeout = 2 * time.Second
	// minRetryDelay and retryMost bound the delay after a failure.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay  = 400 * time.Millisecond
)

// Consumer replays one partition of a stream into a sink. It is safe for concurrent use.
type Consumer struct {
	log    Log
	name   string
	partition   int
	sink   Sink
	health Health
	readDelay  func() time.Duration
	logger zerolog.Logger
	syncs  singleflight.Group

	mu     sync.Mutex
	nextOffset   int64
	loaded bool
	syncedAt  time.Time // start of the last read that reached the end
	partial  *partialLoad  // pages of a listing that is not complete
	down   bool
	ready  chan struct{}
}

// New returns a follower of a partition. It knows nothing until Run has loaded it.
func New(l Log, name string, part int, s Sink, z zerolog.Logger) *Consumer {
	return &Consumer{log: l, name: name, partition: part, sink: s, logger: z, ready: make(chan struct{})}
}

// WithHealth has h told whether the log can be read. It is to be called before Run.
func (f *Consumer) WithHealth(h Health) *Consumer {
	f.health = h

	return f
}

// WithReadDelay has the follower wait after each read, so that a stream with many writers costs few
// reads. It is to be called before Run.
func (f *Consumer) WithReadDelay(pause func() time.Duration) *Consumer {
	f.readDelay = pause

	return f
}

// Ready returns a channel that is closed once the partition is loaded.
func (f *Consumer) Ready() <-chan struct{} { return f.ready }

// IsLoaded reports whether the partition is loaded.
func (f *Consumer) IsLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.loaded
}

// IsDown reports whether the last read failed.
func (f *Consumer) IsDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.down
}

// NextOffset returns the offset behind the last record that was applied.
func (f *Consumer) NextOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.nextOffset
}

// SyncedAt returns the time up to which all records are known to be applied.
func (f *Consumer) SyncedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.syncedAt
}

// Run follows the partition until ctx ends.
func (f *Consumer) Run(ctx context.Context) error {
	delay := minRetryDelay

	for ctx.Err() == nil {
		err := f.loadOrRead(ctx, maxTailWait)
		f.recordAvailability(err)

		wait := delay

		if err == nil {
			delay, wait = minRetryDelay, 0

			if f.readDelay != nil {
				wait = f.readDelay()
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

// recordAvailability reports a change of the log's availability.
func (f *Consumer) recordAvailability(err error) {
	down := err != nil && !errors.Is(err, stream.ErrTruncated) && !errors.Is(err, context.Canceled)

	if f.health != nil {
		f.health.SetLogDown(down, time.Now())
	}

	f.mu.Lock()
	changed := f.down != down
	f.down = down
	next := f.nextOffset
	f.mu.Unlock()

	if !changed {
		return
	}

	e := f.logger.Info()
	if down {
		e = f.logger.Warn().Err(err)
	}

	e.Str("event", "log_reads").Bool("available", !down).Str("stream", f.name).Int("part", f.partition).Int64("next", next).
		Msg("availability of the log changed")
}

// loadOrRead loads the partition, or reads on.
func (f *Consumer) loadOrRead(ctx context.Context, wait time.Duration) error {
	if !f.IsLoaded() {
		return f.load(ctx)
	}

	err := f.readTail(ctx, wait)
	if errors.Is(err, stream.ErrTruncated) {
		f.logger.Info().Str("event", "log_gap").Str("stream", f.name).Int("part", f.partition).Int64("next", f.NextOffset()).
			Msg("the log dropped records that were not read; loading the newest of each key")

		return f.load(ctx)
	}

	return err
}

// Sync reads up to the end of the stream as it is now.
func (f *Consumer) Sync(ctx context.Context) error { return f.loadOrRead(ctx, 0) }

// EnsureFresh makes sure that all records that are older than some age are applied. Calls at the same time share a read.
func (f *Consumer) EnsureFresh(ctx context.Context, age time.Duration) error {
	since := time.Now().Add(-age)

	// A read that others wait for may have started too early.
	for f.SyncedAt().Before(since) {
		c := f.syncs.DoChan("", func() (any, error) {
			x, stop := context.WithTimeout(context.WithoutCancel(ctx), syncTimeout)
			defer stop()

			return nil, f.Sync(x)
		})

		select {
		case r := <-c:
			if r.Err != nil {
				return r.Err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}

	return nil
}

// readTail applies what follows.
func (f *Consumer) readTail(ctx context.Context, wait time.Duration) error {
	from, start := f.NextOffset(), time.Now()

	p, err := f.log.Tail(ctx, f.name, f.partition, from, wait)
	if err != nil {
		return err
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	for _, k := range p.Records() {
		if k.Offset() == f.nextOffset {
			f.sink.Apply(k)
			f.nextOffset++
		}
	}

	if f.nextOffset >= p.End() && start.After(f.syncedAt) {
		f.syncedAt = start
	}

	return nil
}

// ApplyAppended applies records that this daemon has appended at an offset, if they are the next ones.
func (f *Consumer) ApplyAppended(l []stream.KeyedRecord, offset int64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for i, k := range l {
		if o := offset + int64(i); o == f.nextOffset {
			f.sink.Apply(k.WithOffset(o))
			f.nextOffset++
		}
	}
}

// partialLoad is what was read of the newest records so far.
type partialLoad struct {
	records []stream.KeyedRecord
	end     int64 // as the first page named it; negative before
	lastKey   string
	startedAt   time.Time
}

// maxPartialLoadAge is how old a listing that was interrupted may be. What follows its first page has to be retained until
// it is complete; platforms keep some tens of seconds at least.
const maxPartialLoadAge = 10 * time.Second

// takePartialLoad returns a listing that was interrupted, or a new one. A listing that started over after each failure would never
// be complete while the log is slow.
func (f *Consumer) takePartialLoad() *partialLoad {
	f.mu.Lock()
	defer f.mu.Unlock()

	g := f.partial
	f.partial = nil

	if g == nil || time.Since(g.startedAt) > maxPartialLoadAge {
		g = &partialLoad{end: -1, startedAt: time.Now()}
	}

	return g
}

func (f *Consumer) keepPartialLoad(g *partialLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.partial = g
}

// load reads the newest record of each key. Records behind the end that the first page names are read afterwards, so
// that pages need not be a snapshot.
func (f *Consumer) load(ctx context.Context) error {
	g := f.takePartialLoad()

	for {
		p, err := f.log.Newest(ctx, f.name, f.partition, g.lastKey)
		if err != nil {
			f.keepPartialLoad(g)

			return err
		}

		if g.end < 0 {
			g.end = p.End()
		}

		g.records = append(g.records, p.Records()...)

		if !p.HasMore() || len(p.Records()) == 0 {
			break
		}

		g.lastKey = p.Records()[len(p.Records())-1].Key()
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.loaded && g.end < f.nextOffset {
		return nil // another call has read on meanwhile
	}

	f.sink.Reset(g.records, g.end)
	f.nextOffset = g.end

	if g.startedAt.After(f.syncedAt) {
		f.syncedAt = g.startedAt
	}

	if !f.loaded {
		f.loaded = true

		close(f.ready)
	}

	return nil
}
