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
	// maxQueuedChanges bounds the changes that wait for the writer of a partition.
	maxQueuedChanges = 256
	// maxGroupChanges bounds the changes in one append.
	maxGroupChanges = 64
	// minAppendRetryDelay and pauseMost bound the delay after the log refused an append.
	minAppendRetryDelay = 20 * time.Millisecond
	maxAppendRetryDelay  = 250 * time.Millisecond
	// syncTimeout bounds a read after an append failed.
	syncTimeout = 3 * time.Second
)

// change is something to be appended. build returns its records, given what the replica knows; none when nothing is
// left to do. The writer is the only one that uses its other fields until done.
type change struct {
	ctx   context.Context //nolint:containedctx // of the caller who waits for the change
	build func(l *batch.ResultEncoder) ([]stream.KeyedRecord, error)
	done  chan error
	inDoubt  bool // an append with its records may take effect
}

// writer appends the changes of one partition in groups, each on the condition that the stream ends where the replica
// does.
type writer struct {
	log       keyed.Log
	number    int
	partition *partition
	limits     LogLimits
	logger    zerolog.Logger
	queue     chan *change
	stopped     chan struct{} // closed when no change is taken any more
	pending   atomic.Int64  // changes whose callers wait
}

func newWriter(l keyed.Log, number int, p *partition, s LogLimits, z zerolog.Logger) *writer {
	return &writer{log: l, number: number, partition: p, limits: s, logger: z, queue: make(chan *change, maxQueuedChanges), stopped: make(chan struct{})}
}

// submit appends a job. Items that do not fit into one append go before it, where they change nothing.
func (w *writer) submit(ctx context.Context, s batch.Submission) error {
	r, err := s.Encode(w.limits.maxRecordBytes)
	if err != nil {
		return outcome.New(outcome.InvalidRequest, outcome.NotRun, "the job cannot be recorded").WithCause(err)
	}

	last := slices.Concat(r.Chunks(), []stream.KeyedRecord{r.Job()})
	for appendSize(last) > w.limits.maxAppendBytes {
		n := w.fittingRecords(last)
		if _, err := w.log.Append(ctx, Stream, w.number, last[:n], stream.AnyOffset); err != nil {
			return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log did not take the items").
				WithRetryAfter(time.Second).WithCause(err)
		}

		last = last[n:]
	}

	return w.applyChange(ctx, func(*batch.ResultEncoder) ([]stream.KeyedRecord, error) {
		if w.partition.replica.HasJob(s.ID()) {
			return nil, nil
		}

		return last, nil
	})
}

func appendSize(l []stream.KeyedRecord) int {
	const length = 5 // of a record and of its key

	n := 0
	for _, k := range l {
		n += length + len(k.Key()) + len(k.Value())
	}

	return n
}

// fittingRecords returns the number of records that fit into one append, at least 1.
func (w *writer) fittingRecords(l []stream.KeyedRecord) int {
	n := 1
	for n < len(l) && appendSize(l[:n+1]) <= w.limits.maxAppendBytes {
		n++
	}

	return n
}

func (w *writer) end(ctx context.Context, id string) error {
	return w.applyChange(ctx, func(*batch.ResultEncoder) ([]stream.KeyedRecord, error) { return w.partition.replica.EncodeEnd(id) })
}

func (w *writer) publishResult(ctx context.Context, id string, v batch.Result) error {
	return w.applyChange(ctx, func(l *batch.ResultEncoder) ([]stream.KeyedRecord, error) { return l.Encode(id, v) })
}

func (w *writer) recordFailure(ctx context.Context, id, item string, runs int) error {
	return w.applyChange(ctx, func(*batch.ResultEncoder) ([]stream.KeyedRecord, error) { return w.partition.replica.EncodeFailure(id, item, runs) })
}

func (w *writer) saveProgress(ctx context.Context, id, item string, e batch.Events) error {
	return w.applyChange(ctx, func(*batch.ResultEncoder) ([]stream.KeyedRecord, error) {
		if e.Size() > w.limits.maxRecordBytes/2 { //nolint:mnd // leaves room for the key and the encoding
			return nil, nil
		}

		return w.partition.replica.EncodeProgress(id, item, e)
	})
}

// applyChange queues a change and waits until it is in the log. An error with the effect NotRun means that it is not in the
// log and never will be.
func (w *writer) applyChange(ctx context.Context, build func(*batch.ResultEncoder) ([]stream.KeyedRecord, error)) error {
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
	case <-w.stopped:
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
	defer close(w.stopped)

	var group []*change

	pause := time.Duration(0)

	for ctx.Err() == nil {
		group = w.collectGroup(ctx, group, pause)

		err := w.appendGroup(ctx, &group)

		switch {
		case err == nil, errors.Is(err, stream.ErrOffsetMismatch):
			pause = 0
		default:
			pause = min(maxAppendRetryDelay, max(minAppendRetryDelay, 2*pause)) //nolint:mnd // exponential
		}

		group = w.completeCancelled(group)
	}

	for _, c := range group {
		c.complete(unconfirmedError(c))
	}

	return nil
}

// collectGroup adds what is queued to the changes that are left of the group before, waiting for the first one.
func (w *writer) collectGroup(ctx context.Context, group []*change, pause time.Duration) []*change {
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

	for len(group) < maxGroupChanges {
		select {
		case c := <-w.queue:
			group = append(group, c)
		default:
			return group
		}
	}

	return group
}

// appendGroup appends the records of a group. Changes that are in the log are finished and taken out of the group.
func (w *writer) appendGroup(ctx context.Context, group *[]*change) error {
	if !w.partition.consumer.IsLoaded() {
		return stream.ErrUnavailable
	}

	// The offset is read before the state, so that a record that arrives in between makes the append fail.
	at := w.partition.consumer.NextOffset()
	records, used := w.buildRecords(group)

	if len(records) == 0 {
		return nil
	}

	unsent := make([]*change, 0, len(used))

	for _, c := range used {
		if !c.inDoubt {
			unsent = append(unsent, c)
		}

		c.inDoubt = true
	}

	o, err := w.log.Append(ctx, Stream, w.number, records, at)

	switch {
	case err == nil:
		w.partition.consumer.ApplyAppended(records, o)
	case errors.Is(err, stream.ErrOffsetMismatch), errors.Is(err, stream.ErrUnconfirmed):
		w.resolveInDoubt(ctx, at, used, errors.Is(err, stream.ErrOffsetMismatch))
	case errors.Is(err, stream.ErrTooLarge):
		for _, c := range used {
			c.inDoubt = false
			c.complete(outcome.New(outcome.TooLarge, outcome.NotRun, "the log does not take the change").WithCause(err))
		}

		*group = removeChanges(*group, used)
	default:
		// This append did nothing. An earlier one whose answer was lost may still take effect.
		for _, c := range unsent {
			c.inDoubt = false
		}
	}

	if err != nil {
		e := w.logger.Info()
		if errors.Is(err, stream.ErrOffsetMismatch) {
			e = w.logger.Debug() // another daemon appended first, which says nothing about the log
		}

		e.Str("event", "append_failed").Err(err).Int("part", w.number).Int64("at", at).Int("changes", len(used)).
			Msg("an append to the log failed")

		return err
	}

	for _, c := range used {
		c.complete(nil)
	}

	*group = removeChanges(*group, used)

	return nil
}

// resolveInDoubt finds out what became of an append whose answer was lost, or which came too late. Once the stream ends
// elsewhere, no append on the condition of the old end can take effect any more.
func (w *writer) resolveInDoubt(ctx context.Context, at int64, used []*change, moved bool) {
	x, stop := context.WithTimeout(ctx, syncTimeout)
	defer stop()

	if err := w.partition.consumer.Sync(x); err != nil {
		return
	}

	if w.partition.consumer.NextOffset() > at || moved {
		for _, c := range used {
			c.inDoubt = false // whether it is in the log, build tells now
		}
	}
}

// buildRecords returns the records of a group that fit into one append, with their changes. Changes with nothing left to do
// are finished.
func (w *writer) buildRecords(group *[]*change) (records []stream.KeyedRecord, used []*change) {
	l := batch.NewResultEncoder(w.partition.replica, w.limits.maxRecordBytes)

	var done []*change

	for _, c := range *group {
		r, err := c.build(l)

		switch {
		case err != nil:
			c.complete(outcome.New(outcome.InvalidRequest, outcome.NotRun, "the change cannot be recorded").WithCause(err))

			done = append(done, c)
		case len(r) == 0:
			c.complete(nil)

			done = append(done, c)
		case len(records) > 0 && appendSize(records)+appendSize(r) > w.limits.maxAppendBytes:
			*group = removeChanges(*group, done)

			return records, used
		default:
			records = append(records, r...)
			used = append(used, c)
		}
	}

	*group = removeChanges(*group, done)

	return records, used
}

// completeCancelled finishes changes whose callers no longer wait.
func (w *writer) completeCancelled(group []*change) []*change {
	rest := group[:0]

	for _, c := range group {
		if c.ctx.Err() == nil {
			rest = append(rest, c)

			continue
		}

		c.complete(unconfirmedError(c))
	}

	return rest
}

// unconfirmedError returns the error of a change that was given up.
func unconfirmedError(c *change) error {
	if c.inDoubt {
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the log did not confirm the change")
	}

	return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log did not take the change").WithRetryAfter(time.Second)
}

func (c *change) complete(err error) { c.done <- err }

func removeChanges(l, gone []*change) []*change {
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
	// expiryInterval is the time between two searches for jobs that nobody may read any more. Each daemon searches at a
	// time of its own, so that most find nothing left.
	expiryInterval = 20 * time.Second
	// expiryTimeout bounds one append of a search.
	expiryTimeout = 5 * time.Second
)

// expireJobs drops the records of jobs that nobody may read any more, until ctx ends.
func (w *writer) expireJobs(ctx context.Context) error {
	for {
		select {
		case <-time.After(expiryInterval + rand.N(expiryInterval)): //nolint:gosec // spreads the searches
		case <-ctx.Done():
			return nil
		}

		l := w.partition.replica.EncodeExpiry(time.Now(), w.limits.jobRetention)
		if len(l) == 0 || !w.partition.consumer.IsLoaded() {
			continue
		}

		x, stop := context.WithTimeout(ctx, expiryTimeout)
		_, err := w.log.Append(x, Stream, w.number, l[:w.fittingRecords(l)], stream.AnyOffset)

		stop()

		w.logger.Info().Str("event", "jobs_expired").Int("part", w.number).Int("records", len(l)).Err(err).
			Msg("records of old jobs were dropped")
	}
}
