package batches

import (
	"context"
	"errors"
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
	// maxQueuedChanges bounds the queue of changes of a partition; further changes are refused.
	maxQueuedChanges = 256
	// maxGroupChanges bounds the changes in one append.
	maxGroupChanges = 64
	// minAppendRetryDelay and maxAppendRetryDelay bound the delay before the next append after the log failed one.
	minAppendRetryDelay = 20 * time.Millisecond
	maxAppendRetryDelay = 250 * time.Millisecond
	// syncTimeout bounds the read up to the end of the stream that follows a failed append.
	syncTimeout = 3 * time.Second
)

// change is a change of the partition that waits for the log. build returns its records for the present state of the
// replica, or none if nothing is left to do. Only the writer uses the other fields until it sends the outcome on done.
type change struct {
	ctx     context.Context //nolint:containedctx // of the caller that waits for the change
	build   func(e *batch.ResultEncoder) ([]stream.KeyedRecord, error)
	done    chan error
	inDoubt bool // an append with its records may have taken effect or still do so
}

// writer appends the changes of one partition to the log in groups. Each group is appended on the condition that the
// partition ends where the replica does.
type writer struct {
	log       keyed.Log
	number    int
	partition *partition
	limits    LogLimits
	logger    zerolog.Logger
	queue     chan *change
	stopped   chan struct{} // closed when run has returned and no further change is processed
	pending   atomic.Int64  // number of calls that wait for a change
}

func newWriter(l keyed.Log, number int, p *partition, s LogLimits, z zerolog.Logger) *writer {
	return &writer{
		log: l, number: number, partition: p, limits: s, logger: z,
		queue: make(chan *change, maxQueuedChanges), stopped: make(chan struct{}),
	}
}

// submit appends a job. If its records do not fit into one append, it appends chunks of items first; they have no effect
// before the record of the job.
func (w *writer) submit(ctx context.Context, s batch.Submission) error {
	r, err := s.Encode(w.limits.maxRecordBytes)
	if err != nil {
		return outcome.New(outcome.InvalidRequest, outcome.NotRun, "the job cannot be recorded").WithCause(err)
	}

	rest := slices.Concat(r.Chunks(), []stream.KeyedRecord{r.Job()})
	for appendSize(rest) > w.limits.maxAppendBytes {
		n := w.fittingRecords(rest)
		if err := w.appendJobRecords(ctx, s.ID(), rest[:n]); err != nil {
			return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log did not accept the items of the job").
				WithRetryAfter(time.Second).WithCause(err)
		}

		rest = rest[n:]
	}

	return w.appendJobRecords(ctx, s.ID(), rest)
}

// appendJobRecords appends records of a job unless the log has the record of the job itself. Chunks of items are appended
// as a change too, on the condition of an offset: the log may execute an append seconds after it was given up, and chunks
// that replace those of a completed job would make the job unreadable.
func (w *writer) appendJobRecords(ctx context.Context, id string, l []stream.KeyedRecord) error {
	return w.applyChange(ctx, func(*batch.ResultEncoder) ([]stream.KeyedRecord, error) {
		if w.partition.replica.HasJob(id) {
			return nil, nil
		}

		return l, nil
	})
}

// appendSize returns the encoded size of an append in bytes.
func appendSize(l []stream.KeyedRecord) int {
	const length = 5 // bytes for the lengths of a record and its key

	n := 0
	for _, k := range l {
		n += length + len(k.Key()) + len(k.Value())
	}

	return n
}

// fittingRecords returns how many of the first records fit into one append, at least 1.
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
	return w.applyChange(ctx, func(e *batch.ResultEncoder) ([]stream.KeyedRecord, error) { return e.Encode(id, v) })
}

func (w *writer) recordFailure(ctx context.Context, id, item string, attempts int) error {
	return w.applyChange(ctx, func(*batch.ResultEncoder) ([]stream.KeyedRecord, error) {
		return w.partition.replica.EncodeFailure(id, item, attempts)
	})
}

// saveProgress appends events of an item. Events that exceed half a record are not saved.
func (w *writer) saveProgress(ctx context.Context, id, item string, e batch.Events) error {
	return w.applyChange(ctx, func(*batch.ResultEncoder) ([]stream.KeyedRecord, error) {
		if e.Size() > w.limits.maxRecordBytes/2 { //nolint:mnd // half of the record is left for its key and encoding
			return nil, nil
		}

		return w.partition.replica.EncodeProgress(id, item, e)
	})
}

// applyChange queues a change and waits until it is in the log or has failed. An error with the effect NotRun means
// that it is not in the log and never will be.
func (w *writer) applyChange(ctx context.Context, build func(*batch.ResultEncoder) ([]stream.KeyedRecord, error)) error {
	w.pending.Add(1)
	defer w.pending.Add(-1)

	c := &change{ctx: ctx, build: build, done: make(chan error, 1)}

	select {
	case w.queue <- c:
	default:
		return outcome.New(outcome.Overloaded, outcome.NotRun, "too many changes of the partition wait for the log").WithRetryAfter(time.Second)
	}

	select {
	case err := <-c.done:
		return err
	case <-w.stopped:
	}

	// The writer does not process a change that is queued while it stops.
	select {
	case err := <-c.done:
		return err
	default:
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the writer of the partition stopped before it processed the change")
	}
}

// run appends changes until ctx ends. It always returns nil.
func (w *writer) run(ctx context.Context) error {
	defer close(w.stopped)

	var group []*change

	delay := time.Duration(0)

	for ctx.Err() == nil {
		group = w.collectGroup(ctx, group, delay)

		err := w.appendGroup(ctx, &group)

		switch {
		case err == nil, errors.Is(err, stream.ErrOffsetMismatch):
			delay = 0
		default:
			delay = min(maxAppendRetryDelay, max(minAppendRetryDelay, 2*delay)) //nolint:mnd // exponential
		}

		group = w.completeCancelled(group)
	}

	for _, c := range group {
		c.complete(unconfirmedError(c))
	}

	return nil
}

// collectGroup waits for delay and adds the queued changes to those that are left of the last group, up to
// maxGroupChanges. If there are none, it waits for the first one.
func (w *writer) collectGroup(ctx context.Context, group []*change, delay time.Duration) []*change {
	if delay > 0 {
		select {
		case <-time.After(delay):
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

// appendGroup appends the records of a group, as far as they fit. It completes the changes that are decided and removes
// them from the group.
func (w *writer) appendGroup(ctx context.Context, group *[]*change) error {
	if !w.partition.consumer.IsLoaded() {
		return stream.ErrUnavailable
	}

	// The offset is read before the state, so that the append fails if a record is applied in between.
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
		*group = removeChanges(*group, w.resolveInDoubt(ctx, at, used, errors.Is(err, stream.ErrOffsetMismatch)))
	default:
		// This append had no effect. Changes that were in doubt before it stay so, as an earlier append may still take
		// effect.
		for _, c := range unsent {
			c.inDoubt = false
		}
	}

	if errors.Is(err, stream.ErrTooLarge) {
		for _, c := range used {
			c.reject(outcome.New(outcome.TooLarge, outcome.NotRun, "the change is too large for the log").WithCause(err))
		}

		*group = removeChanges(*group, used)
	}

	if err != nil {
		e := w.logger.Info()
		if errors.Is(err, stream.ErrOffsetMismatch) {
			e = w.logger.Debug() // another daemon appended first; the log works
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

// resolveInDoubt reads up to the end of the partition after an append at offset at was not confirmed, or failed because
// the partition ends elsewhere, which is a mismatch. Once it ends elsewhere, an append on the condition of that offset
// can no longer take effect, and the replica tells which changes are in the log. resolveInDoubt completes and returns
// those; the others are no longer in doubt. All changes stay in doubt if the partition cannot be read up to its end, as
// a read may return only some records of an append.
func (w *writer) resolveInDoubt(ctx context.Context, at int64, used []*change, mismatch bool) []*change {
	x, stop := context.WithTimeout(ctx, syncTimeout)
	defer stop()

	err := w.partition.consumer.EnsureFresh(x, 0)
	next := w.partition.consumer.NextOffset()

	if err != nil || next <= at && !mismatch {
		w.logger.Info().Str("event", "append_in_doubt").Err(err).Int("part", w.number).Int64("at", at).Int64("next", next).
			Int("changes", len(used)).Msg("an append that the log did not confirm may still take effect")

		return nil
	}

	var applied []*change

	for _, c := range used {
		// An encoder of its own, as one encoder returns the records of an item's result only once.
		r, err := c.build(batch.NewResultEncoder(w.partition.replica, w.limits.maxRecordBytes))
		if err == nil && len(r) == 0 {
			c.complete(nil)

			applied = append(applied, c)

			continue
		}

		c.inDoubt = false
	}

	if !mismatch {
		w.logger.Info().Str("event", "append_resolved").Int("part", w.number).Int64("at", at).Int64("next", next).
			Int("changes", len(used)).Int("in_log", len(applied)).Msg("read which changes of an unconfirmed append are in the log")
	}

	return applied
}

// buildRecords returns the records of a group that fit into one append, and the changes that they are of. It completes
// the changes that have nothing left to do or cannot be recorded, and removes them from the group.
func (w *writer) buildRecords(group *[]*change) (records []stream.KeyedRecord, used []*change) {
	e := batch.NewResultEncoder(w.partition.replica, w.limits.maxRecordBytes)

	var done []*change

	for _, c := range *group {
		r, err := c.build(e)

		switch {
		case err != nil:
			c.reject(outcome.New(outcome.InvalidRequest, outcome.NotRun, "the change cannot be recorded").WithCause(err))

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

// completeCancelled completes the changes whose callers no longer wait, and returns the others.
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

// unconfirmedError returns the error of a change that was not confirmed by the log before its caller or the writer
// stopped.
func unconfirmedError(c *change) error {
	if c.inDoubt {
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the log did not confirm the change")
	}

	return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log did not accept the change").WithRetryAfter(time.Second)
}

// reject completes a change that the log cannot take, with err unless an earlier append of the change is in doubt.
func (c *change) reject(err error) {
	if c.inDoubt {
		err = unconfirmedError(c)
	}

	c.complete(err)
}

func (c *change) complete(err error) { c.done <- err }

// removeChanges returns l without the changes in removed. It reuses the array of l.
func removeChanges(l, removed []*change) []*change {
	m := make(map[*change]bool, len(removed))
	for _, c := range removed {
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
