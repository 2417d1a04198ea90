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
	Append(ctx context.Context, name string, part int, records []stream.Keyed, at int64) (int64, error)
	Tail(ctx context.Context, name string, part int, from int64, wait time.Duration) (stream.KeyedPage, error)
	Newest(ctx context.Context, name string, part int, after string) (stream.KeyedPage, error)
}

// Sink takes the records of a stream in order.
type Sink interface {
	// Reset replaces everything by the newest record of each key before an offset. The records have no order, and some
	// may be from behind the offset.
	Reset(l []stream.Keyed, end int64)
	// Apply adds a record. Its key is empty when the record cannot be read, its value when the key is dropped.
	Apply(k stream.Keyed)
}

// Health is told whether the log can be read.
type Health interface {
	SetLogDown(down bool, now time.Time)
}

const (
	// tailWait is how long a read waits for a record. A connection that went silent is noticed after it.
	tailWait = 2 * time.Second
	// syncWithin bounds a read that several callers share.
	syncWithin = 2 * time.Second
	// retryFirst and retryMost bound the delay after a failure.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Follower replays one partition of a stream into a sink. It is safe for concurrent use.
type Follower struct {
	log    Log
	name   string
	part   int
	sink   Sink
	health Health
	pause  func() time.Duration
	logger zerolog.Logger
	syncs  singleflight.Group

	mu     sync.Mutex
	next   int64
	loaded bool
	fresh  time.Time // start of the last read that reached the end
	pages  *listing  // pages of a listing that is not complete
	down   bool
	ready  chan struct{}
}

// New returns a follower of a partition. It knows nothing until Run has loaded it.
func New(l Log, name string, part int, s Sink, z zerolog.Logger) *Follower {
	return &Follower{log: l, name: name, part: part, sink: s, logger: z, ready: make(chan struct{})}
}

// WithHealth has h told whether the log can be read. It is to be called before Run.
func (f *Follower) WithHealth(h Health) *Follower {
	f.health = h

	return f
}

// WithPause has the follower wait after each read, so that a stream with many writers costs few
// reads. It is to be called before Run.
func (f *Follower) WithPause(pause func() time.Duration) *Follower {
	f.pause = pause

	return f
}

// Ready returns a channel that is closed once the partition is loaded.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Loaded reports whether the partition is loaded.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.loaded
}

// Down reports whether the last read failed.
func (f *Follower) Down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.down
}

// Next returns the offset behind the last record that was applied.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.next
}

// Fresh returns the time up to which all records are known to be applied.
func (f *Follower) Fresh() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.fresh
}

// Run follows the partition until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	delay := retryFirst

	for ctx.Err() == nil {
		err := f.step(ctx, tailWait)
		f.note(err)

		wait := delay

		if err == nil {
			delay, wait = retryFirst, 0

			if f.pause != nil {
				wait = f.pause()
			}
		} else {
			delay = min(retryMost, 2*delay) //nolint:mnd // exponential
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

// note reports a change of the log's availability.
func (f *Follower) note(err error) {
	down := err != nil && !errors.Is(err, stream.ErrDropped) && !errors.Is(err, context.Canceled)

	if f.health != nil {
		f.health.SetLogDown(down, time.Now())
	}

	f.mu.Lock()
	changed := f.down != down
	f.down = down
	next := f.next
	f.mu.Unlock()

	if !changed {
		return
	}

	e := f.logger.Info()
	if down {
		e = f.logger.Warn().Err(err)
	}

	e.Str("event", "log_reads").Bool("available", !down).Str("stream", f.name).Int("part", f.part).Int64("next", next).
		Msg("availability of the log changed")
}

// step loads the partition, or reads on.
func (f *Follower) step(ctx context.Context, wait time.Duration) error {
	if !f.Loaded() {
		return f.load(ctx)
	}

	err := f.read(ctx, wait)
	if errors.Is(err, stream.ErrDropped) {
		f.logger.Info().Str("event", "log_gap").Str("stream", f.name).Int("part", f.part).Int64("next", f.Next()).
			Msg("the log dropped records that were not read; loading the newest of each key")

		return f.load(ctx)
	}

	return err
}

// Sync reads up to the end of the stream as it is now.
func (f *Follower) Sync(ctx context.Context) error { return f.step(ctx, 0) }

// Within makes sure that all records that are older than some age are applied. Calls at the same time share a read.
func (f *Follower) Within(ctx context.Context, age time.Duration) error {
	since := time.Now().Add(-age)

	// A read that others wait for may have started too early.
	for f.Fresh().Before(since) {
		c := f.syncs.DoChan("", func() (any, error) {
			x, stop := context.WithTimeout(context.WithoutCancel(ctx), syncWithin)
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

// read applies what follows.
func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	from, start := f.Next(), time.Now()

	p, err := f.log.Tail(ctx, f.name, f.part, from, wait)
	if err != nil {
		return err
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	for _, k := range p.Records() {
		if k.Offset() == f.next {
			f.sink.Apply(k)
			f.next++
		}
	}

	if f.next >= p.End() && start.After(f.fresh) {
		f.fresh = start
	}

	return nil
}

// Appended applies records that this daemon has appended at an offset, if they are the next ones.
func (f *Follower) Appended(l []stream.Keyed, offset int64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for i, k := range l {
		if o := offset + int64(i); o == f.next {
			f.sink.Apply(k.At(o))
			f.next++
		}
	}
}

// listing is what was read of the newest records so far.
type listing struct {
	records []stream.Keyed
	end     int64 // as the first page named it; negative before
	after   string
	begun   time.Time
}

// resumeWithin is how old a listing that was interrupted may be. What follows its first page has to be retained until
// it is complete; platforms keep some tens of seconds at least.
const resumeWithin = 10 * time.Second

// resume returns a listing that was interrupted, or a new one. A listing that started over after each failure would never
// be complete while the log is slow.
func (f *Follower) resume() *listing {
	f.mu.Lock()
	defer f.mu.Unlock()

	g := f.pages
	f.pages = nil

	if g == nil || time.Since(g.begun) > resumeWithin {
		g = &listing{end: -1, begun: time.Now()}
	}

	return g
}

func (f *Follower) interrupt(g *listing) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.pages = g
}

// load reads the newest record of each key. Records behind the end that the first page names are read afterwards, so
// that pages need not be a snapshot.
func (f *Follower) load(ctx context.Context) error {
	g := f.resume()

	for {
		p, err := f.log.Newest(ctx, f.name, f.part, g.after)
		if err != nil {
			f.interrupt(g)

			return err
		}

		if g.end < 0 {
			g.end = p.End()
		}

		g.records = append(g.records, p.Records()...)

		if !p.More() || len(p.Records()) == 0 {
			break
		}

		g.after = p.Records()[len(p.Records())-1].Key()
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.loaded && g.end < f.next {
		return nil // another call has read on meanwhile
	}

	f.sink.Reset(g.records, g.end)
	f.next = g.end

	if g.begun.After(f.fresh) {
		f.fresh = g.begun
	}

	if !f.loaded {
		f.loaded = true

		close(f.ready)
	}

	return nil
}
