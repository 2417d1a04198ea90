// Package store keeps accepted work: it follows the partitions that it is asked about, replays them and
// appends records to them. Log and codec are interfaces, so that the same code runs over any log.
package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/appender"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/shard"
	"github.com/agategap/agategap/snapshot"
	"github.com/agategap/agategap/stream"
)

// Log is the append-only log.
type Log interface {
	// Append returns the record's offset, or ErrRefused or ErrLost of package stream.
	Append(ctx context.Context, name string, data []byte) (int64, error)
	// Read returns records from an offset on, waiting for the first one at most for wait.
	Read(ctx context.Context, name string, from int64, wait time.Duration) (stream.Page, error)
}

// GroupCodec encodes groups.
type GroupCodec interface {
	Encode(g journal.Group) ([]byte, error)
	Decode(b []byte) (journal.Group, error)
}

// Options are the settings of a store.
type Options struct {
	writer     string
	partitionCount int
	limits     appender.Limits
	clock      func() time.Time
	partCodec      PartCodec
	snapshotPolicy     snapshot.Policy
	isSnapshotWriter     func(partition int) bool
	idleTimeout       time.Duration
}

// defaultIdleTimeout is the time without use after which a partition may be closed. A caller often looks work up right after
// it waited for the partition, and must not find it empty then.
const defaultIdleTimeout = 10 * time.Second

// WithIdleTimeout returns options in which a partition may be closed after a time without use.
func (o Options) WithIdleTimeout(d time.Duration) Options {
	o.idleTimeout = d

	return o
}

// NewOptions returns options: the writer's identity, unique per process; the number of partitions, at least
// 1; limits of the appends to each partition; and the clock.
func NewOptions(writer string, partitions int, l appender.Limits, clock func() time.Time) Options {
	return Options{writer: writer, partitionCount: partitions, limits: l, clock: clock, isSnapshotWriter: func(int) bool { return true }, idleTimeout: defaultIdleTimeout}
}

// Store follows partitions of the journal.
type Store struct {
	log      Log
	codec    GroupCodec
	options  Options
	partitions    []*partition
	ctx      context.Context //nolint:containedctx // the life of the followers, not of a call
	stop     context.CancelFunc
	wg       sync.WaitGroup
	droppedCount  atomic.Int64
	rejectedCount atomic.Int64
	snapshotCount  atomic.Int64
	skippedCount  atomic.Int64
}

// New returns a store. Run it as an actor with Wait and Stop.
func New(l Log, c GroupCodec, o Options) *Store {
	ctx, stop := context.WithCancel(context.Background())
	s := &Store{log: l, codec: c, options: o, ctx: ctx, stop: stop}

	for i := range o.partitionCount {
		s.partitions = append(s.partitions, &partition{
			index:    i,
			journalStream:     fmt.Sprintf("journal/%d", i),
			snapshotStream: fmt.Sprintf("snapshot/%d", i),
			openCloseSem:     make(chan struct{}, 1),
			queue:    appender.New(o.writer, o.limits),
			waiters:  map[appender.Ticket]chan appender.Result{},
			changed:  make(chan struct{}),
			wake:     make(chan struct{}, 1),
		})
	}

	return s
}

// Wait blocks until Stop is called and all followers ended.
func (s *Store) Wait() error {
	<-s.ctx.Done()
	s.wg.Wait()

	return nil
}

// Stop ends the followers.
func (s *Store) Stop() { s.stop() }

// Partition returns the partition of work or of a job identifier.
func (s *Store) Partition(key string) int { return shard.Index(key, len(s.partitions)) }

// Open starts to follow a partition, if it is not followed yet.
func (s *Store) Open(p int) { s.openPartition(p) }

// Close stops to follow a partition and frees its state, unless records are queued for it or it was used lately. It
// reports whether the partition is closed. Any later use follows it again.
func (s *Store) Close(p int) bool {
	c := s.partitions[p]

	c.openCloseSem <- struct{}{}
	defer func() { <-c.openCloseSem }()

	if !c.close(s.options.clock().Add(-s.options.idleTimeout)) {
		return !c.isOpen()
	}

	c.loops.Wait()
	c.replica.Reset()

	return true
}

// FollowedPartitions returns the partitions that are followed.
func (s *Store) FollowedPartitions() []int {
	var f []int

	for i, c := range s.partitions {
		if c.isOpen() {
			f = append(f, i)
		}
	}

	return f
}

// Replica returns the replayed state of a partition, starting to follow it if needed.
func (s *Store) Replica(p int) *journal.Partition { return &s.openPartition(p).replica }

// Changed returns a channel that is closed at the next replayed entry of a partition.
func (s *Store) Changed(p int) <-chan struct{} { return s.openPartition(p).changeChannel() }

// Submit appends records to a partition as one unit, and returns once they are replayed here. When ctx ends
// first, records of which no copy can be in the log are withdrawn and the error has effect not_run; else it is
// unknown, and the records stay queued.
func (s *Store) Submit(ctx context.Context, p int, r ...journal.Record) error {
	return s.submit(ctx, 0, p, r)
}

// SubmitOrWithdraw is Submit for records that are of no use later. When ctx ends first they are given up, and it
// waits at most for settle until it is certain whether they took effect.
func (s *Store) SubmitOrWithdraw(ctx context.Context, settle time.Duration, p int, r ...journal.Record) error {
	return s.submit(ctx, settle, p, r)
}

func (s *Store) submit(ctx context.Context, settle time.Duration, p int, r []journal.Record) error {
	c := s.acquirePartition(p)
	defer func() { c.release(s.options.clock()) }()

	t, done, ok := c.enqueueNew(r)
	if !ok {
		return outcome.New(outcome.Overloaded, outcome.NotRun, "too many records wait for the log").
			WithRetryAfter(retryAfter)
	}

	select {
	case v := <-done:
		return submissionError(v.State())
	case <-ctx.Done():
	}

	if c.cancelSubmission(t, settle > 0) == appender.Withdrawn {
		return submissionError(appender.Withdrawn)
	}

	select {
	case v := <-done:
		return submissionError(v.State())
	case <-time.After(settle):
		return submissionError(appender.Unknown)
	}
}

// submissionError returns the error for a ticket's last state.
func submissionError(s appender.State) error {
	switch s {
	case appender.Confirmed:
		return nil
	case appender.Withdrawn:
		return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the request could not be recorded in time").
			WithRetryAfter(retryAfter)
	case appender.Rejected:
		return outcome.New(outcome.TooLarge, outcome.NotRun, "the log does not take a record of this size")
	default:
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the log has not confirmed the record; look the result up by its key").
			WithRetryAfter(retryAfter)
	}
}

// Enqueue queues records without waiting. They stay queued until the log takes them. They are dropped, and counted,
// when twice the bound of the queue is reached; Offer reports that.
func (s *Store) Enqueue(p int, r ...journal.Record) { s.TryEnqueue(p, r...) }

// TryEnqueue queues records without waiting and reports whether there was room. Records that are not queued belong to
// work that stays accepted, so that it is found to have no completion later.
func (s *Store) TryEnqueue(p int, r ...journal.Record) bool {
	c := s.acquirePartition(p)
	defer func() { c.release(s.options.clock()) }()

	ok := c.enqueueAccepted(r)
	if !ok {
		s.droppedCount.Add(1)
	}

	return ok
}

// DroppedCount returns the number of submissions by Enqueue and Offer for which there was no room.
func (s *Store) DroppedCount() int64 { return s.droppedCount.Load() }

// RejectedCount returns the number of submissions that the log can never take.
func (s *Store) RejectedCount() int64 { return s.rejectedCount.Load() }

// SkippedCount returns the number of entries that could not be decoded and have no effect here.
func (s *Store) SkippedCount() int64 { return s.skippedCount.Load() }

// Flush waits until nothing is queued.
func (s *Store) Flush(ctx context.Context) error {
	for _, c := range s.partitions {
		for {
			ch := c.changeChannel()
			if c.isQueueEmpty() {
				break
			}

			select {
			case <-ch:
			case <-ctx.Done():
				return outcome.New(outcome.LogUnavailable, outcome.Unknown, "records still wait for the log")
			}
		}
	}

	return nil
}

// Sync waits until everything that the log held when it was called is replayed here.
func (s *Store) Sync(ctx context.Context, p int) error {
	c := s.acquirePartition(p)
	defer func() { c.release(s.options.clock()) }()

	g, err := s.log.Read(ctx, c.journalStream, c.replica.Offset()+1, 0)
	if err != nil && !errors.Is(err, stream.ErrTruncated) {
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the log is not available").
			WithRetryAfter(retryAfter).WithCause(err)
	}

	return c.awaitOffset(ctx, g.NextOffset()-1)
}

// Work returns the work recorded under a key, as replayed so far.
func (s *Store) Work(k journal.Key) (journal.Work, bool) {
	return s.openPartition(s.Partition(k.String())).replica.Lookup(k)
}

// Await waits until the work under a key has ended. Work that was released meanwhile is NotFound with effect
// not_run; work that is not there, or whose retention may have ended meanwhile, is NotFound with effect unknown.
func (s *Store) Await(ctx context.Context, k journal.Key) (journal.Work, error) {
	p := s.Partition(k.String())

	c := s.acquirePartition(p)
	defer func() { c.release(s.options.clock()) }()

	w, ok := c.replica.Lookup(k)
	if !ok {
		if err := s.Sync(ctx, p); err != nil {
			return w, err
		}
	}

	var seen time.Time

	for {
		ch, at := c.changeChannel(), c.replica.LogTime()

		n, ok := c.replica.Lookup(k)
		if !ok {
			return w, notFoundError(w, seen, c.replica.LogTime())
		}

		w, seen = n, at
		if w.IsEnded() {
			return w, nil
		}

		select {
		case <-ch:
		case <-ctx.Done():
			return w, outcome.New(outcome.InProgress, outcome.Unknown, "the work is accepted and has not ended").
				WithRetryAfter(time.Second)
		}
	}
}

// ViewJob calls f with a job while its partition is locked, and reports whether there is one.
func (s *Store) ViewJob(id string, f func(j *job.Job)) bool {
	return s.Replica(s.Partition(id)).ViewJob(id, f)
}

const retryAfter = 2 * time.Second

// estimatedSize estimates the encoded size of records, in bytes.
func estimatedSize(r []journal.Record) int {
	const overhead = 128

	n := 0

	for _, v := range r {
		n += overhead

		switch {
		case v.Accept != nil:
			n += len(v.Accept.Body)
		case v.Complete != nil:
			n += len(v.Complete.Body) + len(v.Complete.Text)
		case v.Items != nil:
			for _, i := range v.Items.Items {
				n += len(i.Body) + len(i.CustomID)
			}
		case v.Progress != nil:
			for _, i := range v.Progress.Results {
				n += len(i.Body) + len(i.Reason)
			}
		}
	}

	return n
}
