package batches

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/keyed"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/stream"
)

const (
	// mostQueued bounds the changes that wait for the writer of a partition.
	mostQueued = 256
	// mostGroup bounds the changes in one append.
	mostGroup = 64
	// pauseFirst and pauseMost bound the delay after the log refused an append.
	pauseFirst = 20 * time.Millisecond
	pauseMost  = 250 * time.Millisecond
	// syncWithin bounds a read after an append failed.
	syncWithin = 3 * time.Second
)

// change is something to be appended. build returns its records, given what the replica knows; none when nothing is
// left to do. The writer is the only one that uses its other fields until done.
type change struct {
	ctx   context.Context //nolint:containedctx // of the caller who waits for the change
	build func(l *batch.Listing) ([]stream.Keyed, error)
	done  chan error
	sent  bool // an append with its records may take effect
}

// writer appends the changes of one partition in groups, each on the condition that the stream ends where the replica
// does.
type writer struct {
	log       keyed.Log
	number    int
	partition *partition
	sizes     Sizes
	logger    zerolog.Logger
	queue     chan *change
	ended     chan struct{} // closed when no change is taken any more
	pending   atomic.Int64  // changes whose callers wait
}

func newWriter(l keyed.Log, number int, p *partition, s Sizes, z zerolog.Logger) *writer {
	return &writer{log: l, number: number, partition: p, sizes: s, logger: z, queue: make(chan *change, mostQueued), ended: make(chan struct{})}
}

// submit appends a job. Items that do not fit into one append go before it, where they change nothing.
func (w *writer) submit(ctx context.Context, s batch.Submission) error {
	r, err := s.Encode(w.sizes.record)
	if err != nil {
		return outcome.New(outcome.InvalidRequest, outcome.NotRun, "the job cannot be recorded").WithCause(err)
	}

	last := slices.Concat(r.Chunks(), []stream.Keyed{r.Job()})
	for size(last) > w.sizes.call {
		n := w.fit(last)
		if _, err := w.log.Append(ctx, Stream, w.number, last[:n], stream.Anywhere); err != nil {
			return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log did not take the items").
				WithRetryAfter(time.Second).WithCause(err)
		}

		last = last[n:]
	}

	return w.change(ctx, func(*batch.Listing) ([]stream.Keyed, error) {
		if w.partition.replica.Has(s.ID()) {
			return nil, nil
		}

		return last, nil
	})
}

func size(l []stream.Keyed) int {
	const length = 5 // of a record and of its key

	n := 0
	for _, k := range l {
		n += length + len(k.Key()) + len(k.Value())
	}

	return n
}

// fit returns the number of records that fit into one append, at least 1.
func (w *writer) fit(l []stream.Keyed) int {
	n := 1
	for n < len(l) && size(l[:n+1]) <= w.sizes.call {
		n++
	}

	return n
}

func (w *writer) end(ctx context.Context, id string) error {
	return w.change(ctx, func(*batch.Listing) ([]stream.Keyed, error) { return w.partition.replica.End(id) })
}

func (w *writer) list(ctx context.Context, id string, v batch.Result) error {
	return w.change(ctx, func(l *batch.Listing) ([]stream.Keyed, error) { return l.Add(id, v) })
}

func (w *writer) fail(ctx context.Context, id, item string, runs int) error {
	return w.change(ctx, func(*batch.Listing) ([]stream.Keyed, error) { return w.partition.replica.Fail(id, item, runs) })
}

func (w *writer) save(ctx context.Context, id, item string, e batch.Events) error {
	return w.change(ctx, func(*batch.Listing) ([]stream.Keyed, error) {
		if e.Size() > w.sizes.record/2 { //nolint:mnd // leaves room for the key and the encoding
			return nil, nil
		}

		return w.partition.replica.Save(id, item, e)
	})
}

// change queues a change and waits until it is in the log. An error with the effect NotRun means that it is not in the
// log and never will be.
func (w *writer) change(ctx context.Context, build func(*batch.Listing) ([]stream.Keyed, error)) error {
	w.pending.Add(1)
	defer w.pending.Add(-1)

	c := &change{ctx: ctx, build: build, done: make(chan error, 1)}

	select {
	case w.queue <- c:
	default:
		return outcome.New(outcome.Overloaded, outcome.NotRun, "too many changes wait for the log").WithRetryAfter(time.Second)
	}

	select {
	case err := <-c.done:
		return err
	case <-w.ended:
	}

	// A change that was queued while the writer ended is not seen by it.
	select {
	case err := <-c.done:
		return err
	default:
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the writer of the partition ended")
	}
}

// run appends until ctx ends.
func (w *writer) run(ctx context.Context) error {
	defer close(w.ended)

	var group []*change

	pause := time.Duration(0)

	for ctx.Err() == nil {
		group = w.collect(ctx, group, pause)

		err := w.append(ctx, &group)

		switch {
		case err == nil, errors.Is(err, stream.ErrMoved):
			pause = 0
		default:
			pause = min(pauseMost, max(pauseFirst, 2*pause)) //nolint:mnd // exponential
		}

		group = w.expire(group)
	}

	for _, c := range group {
		c.finish(lost(c))
	}

	return nil
}

// collect adds what is queued to the changes that are left of the group before, waiting for the first one.
func (w *writer) collect(ctx context.Context, group []*change, pause time.Duration) []*change {
	if pause > 0 {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}

	if len(group) == 0 {
		select {
		case c := <-w.queue:
			group = append(group, c)
		case <-ctx.Done():
			return group
		}
	}

	for len(group) < mostGroup {
		select {
		case c := <-w.queue:
			group = append(group, c)
		default:
			return group
		}
	}

	return group
}

// append appends the records of a group. Changes that are in the log are finished and taken out of the group.
func (w *writer) append(ctx context.Context, group *[]*change) error {
	if !w.partition.follower.Loaded() {
		return stream.ErrUnavailable
	}

	// The offset is read before the state, so that a record that arrives in between makes the append fail.
	at := w.partition.follower.Next()
	records, used := w.build(group)

	if len(records) == 0 {
		return nil
	}

	unsent := make([]*change, 0, len(used))

	for _, c := range used {
		if !c.sent {
			unsent = append(unsent, c)
		}

		c.sent = true
	}

	o, err := w.log.Append(ctx, Stream, w.number, records, at)

	switch {
	case err == nil:
		w.partition.follower.Appended(records, o)
	case errors.Is(err, stream.ErrMoved), errors.Is(err, stream.ErrLost):
		w.settle(ctx, at, used, errors.Is(err, stream.ErrMoved))
	case errors.Is(err, stream.ErrTooLarge):
		for _, c := range used {
			c.sent = false
			c.finish(outcome.New(outcome.TooLarge, outcome.NotRun, "the log does not take the change").WithCause(err))
		}

		*group = remove(*group, used)
	default:
		// This append did nothing. An earlier one whose answer was lost may still take effect.
		for _, c := range unsent {
			c.sent = false
		}
	}

	if err != nil {
		e := w.logger.Info()
		if errors.Is(err, stream.ErrMoved) {
			e = w.logger.Debug() // another daemon appended first, which says nothing about the log
		}

		e.Str("event", "append_failed").Err(err).Int("part", w.number).Int64("at", at).Int("changes", len(used)).
			Msg("an append to the log failed")

		return err
	}

	for _, c := range used {
		c.finish(nil)
	}

	*group = remove(*group, used)

	return nil
}

// settle finds out what became of an append whose answer was lost, or which came too late. Once the stream ends
// elsewhere, no append on the condition of the old end can take effect any more.
func (w *writer) settle(ctx context.Context, at int64, used []*change, moved bool) {
	x, stop := context.WithTimeout(ctx, syncWithin)
	defer stop()

	if err := w.partition.follower.Sync(x); err != nil {
		return
	}

	if w.partition.follower.Next() > at || moved {
		for _, c := range used {
			c.sent = false // whether it is in the log, build tells now
		}
	}
}

// build returns the records of a group that fit into one append, with their changes. Changes with nothing left to do
// are finished.
func (w *writer) build(group *[]*change) (records []stream.Keyed, used []*change) {
	l := batch.NewListing(w.partition.replica, w.sizes.record)

	var done []*change

	for _, c := range *group {
		r, err := c.build(l)

		switch {
		case err != nil:
			c.finish(outcome.New(outcome.InvalidRequest, outcome.NotRun, "the change cannot be recorded").WithCause(err))

			done = append(done, c)
		case len(r) == 0:
			c.finish(nil)

			done = append(done, c)
		case len(records) > 0 && size(records)+size(r) > w.sizes.call:
			*group = remove(*group, done)

			return records, used
		default:
			records = append(records, r...)
			used = append(used, c)
		}
	}

	*group = remove(*group, done)

	return records, used
}

// expire finishes changes whose callers no longer wait.
func (w *writer) expire(group []*change) []*change {
	rest := group[:0]

	for _, c := range group {
		if c.ctx.Err() == nil {
			rest = append(rest, c)

			continue
		}

		c.finish(lost(c))
	}

	return rest
}

// lost returns the error of a change that was given up.
func lost(c *change) error {
	if c.sent {
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the log did not confirm the change")
	}

	return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log did not take the change").WithRetryAfter(time.Second)
}

func (c *change) finish(err error) { c.done <- err }

func remove(l, gone []*change) []*change {
	m := make(map[*change]bool, len(gone))
	for _, c := range gone {
		m[c] = true
	}

	rest := l[:0]

	for _, c := range l {
		if !m[c] {
			rest = append(rest, c)
		}
	}

	return rest
}

const (
	// sweepEvery is the time between two searches for jobs that nobody may read any more. Each daemon searches at a
	// time of its own, so that most find nothing left.
	sweepEvery = 20 * time.Second
	// sweepWithin bounds one append of a search.
	sweepWithin = 5 * time.Second
)

// sweep drops the records of jobs that nobody may read any more, until ctx ends.
func (w *writer) sweep(ctx context.Context) error {
	for {
		select {
		case <-time.After(sweepEvery + rand.N(sweepEvery)): //nolint:gosec // spreads the searches
		case <-ctx.Done():
			return nil
		}

		l := w.partition.replica.Expired(time.Now(), w.sizes.keep)
		if len(l) == 0 || !w.partition.follower.Loaded() {
			continue
		}

		x, stop := context.WithTimeout(ctx, sweepWithin)
		_, err := w.log.Append(x, Stream, w.number, l[:w.fit(l)], stream.Anywhere)

		stop()

		w.logger.Info().Str("event", "jobs_expired").Int("part", w.number).Int("records", len(l)).Err(err).
			Msg("records of old jobs were dropped")
	}
}
