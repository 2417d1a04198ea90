// Package store keeps accepted work and jobs in the log. It follows partitions of the journal, which means that it
// replays their log streams into local replicas, appends records to them and writes their snapshots. The log and the
// codecs are interfaces, so that the package works with any log. Package controller uses it.
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

// Log is the append-only log. Its methods must be safe for concurrent use. name is the name of a log stream.
type Log interface {
	// Append appends an entry to a stream and returns its offset. Errors that wrap ErrTooLarge or ErrRefused of package
	// stream mean that the entry is not in the log; after any other error it may be.
	Append(ctx context.Context, name string, data []byte) (int64, error)
	// Read returns the entries of a stream from an offset on. If there are none yet, it waits for one for at most wait.
	// If the log has removed the entry at that offset, the error wraps stream.ErrTruncated, and the page has no entries
	// but the oldest and the next offset.
	Read(ctx context.Context, name string, from int64, wait time.Duration) (stream.Page, error)
}

// GroupCodec encodes the groups of a journal stream.
type GroupCodec interface {
	Encode(g journal.Group) ([]byte, error)
	Decode(b []byte) (journal.Group, error)
}

// Options has the settings of a store. NewOptions returns the defaults.
type Options struct {
	writer           string
	partitionCount   int
	limits           appender.Limits
	clock            func() time.Time
	partCodec        PartCodec
	snapshotPolicy   snapshot.Policy
	isSnapshotWriter func(partition int) bool
	idleTimeout      time.Duration
}

// defaultIdleTimeout is the time without use after which a partition may be closed. It covers callers that look work up
// right after they waited for the partition, and that would find it empty if it was closed in between.
const defaultIdleTimeout = 10 * time.Second

// WithIdleTimeout returns options with the time without use after which a partition may be closed; 10 s by default.
func (o Options) WithIdleTimeout(d time.Duration) Options {
	o.idleTimeout = d

	return o
}

// NewOptions returns the options of a store for partitionCount partitions, at least 1. writer identifies the store in
// the log and must be unique per process. The limits apply to each partition.
func NewOptions(writer string, partitionCount int, l appender.Limits, clock func() time.Time) Options {
	return Options{
		writer: writer, partitionCount: partitionCount, limits: l, clock: clock,
		isSnapshotWriter: func(int) bool { return true }, idleTimeout: defaultIdleTimeout,
	}
}

// Store follows partitions of the journal and appends to them. It is safe for concurrent use: each partition is a shard
// with its own lock.
type Store struct {
	log           Log
	codec         GroupCodec
	options       Options
	partitions    []*partition
	ctx           context.Context //nolint:containedctx // lifetime of the loops of the partitions, not of a call
	stop          context.CancelFunc
	wg            sync.WaitGroup
	droppedCount  atomic.Int64
	rejectedCount atomic.Int64
	snapshotCount atomic.Int64
	skippedCount  atomic.Int64
}

// New returns a store that follows no partition yet. Wait and Stop are the two functions of an actor of a run group.
func New(l Log, c GroupCodec, o Options) *Store {
	ctx, stop := context.WithCancel(context.Background())
	s := &Store{log: l, codec: c, options: o, ctx: ctx, stop: stop}

	for i := range o.partitionCount {
		s.partitions = append(s.partitions, &partition{
			index:          i,
			journalStream:  fmt.Sprintf("journal/%d", i),
			snapshotStream: fmt.Sprintf("snapshot/%d", i),
			openCloseSem:   make(chan struct{}, 1),
			queue:          appender.New(o.writer, o.limits),
			waiters:        map[appender.Ticket]chan appender.Result{},
			changed:        make(chan struct{}),
			wake:           make(chan struct{}, 1),
		})
	}

	return s
}

// Wait blocks until Stop was called and the loops of all partitions have ended.
func (s *Store) Wait() error {
	<-s.ctx.Done()
	s.wg.Wait()

	return nil
}

// Stop ends the loops of all partitions without waiting for them.
func (s *Store) Stop() { s.stop() }

// Partition returns the index of the partition of a work key or a job identifier.
func (s *Store) Partition(key string) int { return shard.Index(key, len(s.partitions)) }

// Open starts following a partition if it is not followed yet.
func (s *Store) Open(index int) { s.openPartition(index) }

// Close stops following a partition and frees its replica, unless records are pending for it or it was in use within
// the idle timeout. It reports whether the partition is closed. Any later use opens it again.
func (s *Store) Close(index int) bool {
	p := s.partitions[index]

	p.openCloseSem <- struct{}{}
	defer func() { <-p.openCloseSem }()

	if !p.close(s.options.clock().Add(-s.options.idleTimeout)) {
		return !p.isOpen()
	}

	p.loops.Wait()
	p.replica.Reset()

	return true
}

// FollowedPartitions returns the indexes of the followed partitions.
func (s *Store) FollowedPartitions() []int {
	var f []int

	for i, p := range s.partitions {
		if p.isOpen() {
			f = append(f, i)
		}
	}

	return f
}

// Replica returns the replayed state of a partition. It opens the partition if needed; the replica is then empty at
// first.
func (s *Store) Replica(index int) *journal.Partition { return &s.openPartition(index).replica }

// Changed returns a channel that is closed when the next entry of a partition is replayed. Other events may close it as
// well.
func (s *Store) Changed(index int) <-chan struct{} { return s.openPartition(index).changeChannel() }

// Submit appends records to a partition in one group and returns once they are replayed here. If ctx ends first,
// records of which no copy can be in the log are withdrawn, and the error has effect not_run. Otherwise the effect is
// unknown, and the records stay in the queue. The error is Overloaded if the queue has no room for the records, and
// TooLarge if the log never accepts them; both have effect not_run.
func (s *Store) Submit(ctx context.Context, index int, r ...journal.Record) error {
	return s.submit(ctx, 0, index, r)
}

// SubmitOrWithdraw is like Submit for records that are not needed after ctx has ended. It then abandons them and waits
// for at most withdrawTimeout until it is known whether they took effect.
func (s *Store) SubmitOrWithdraw(ctx context.Context, withdrawTimeout time.Duration, index int, r ...journal.Record) error {
	return s.submit(ctx, withdrawTimeout, index, r)
}

func (s *Store) submit(ctx context.Context, withdrawTimeout time.Duration, index int, r []journal.Record) error {
	p := s.acquirePartition(index)
	defer func() { p.release(s.options.clock()) }()

	t, done, ok := p.enqueueNew(r)
	if !ok {
		return outcome.New(outcome.Overloaded, outcome.NotRun, "too many records wait for the log").
			WithRetryAfter(retryAfter)
	}

	select {
	case v := <-done:
		return submissionError(v.State())
	case <-ctx.Done():
	}

	if p.cancelSubmission(t, withdrawTimeout > 0) == appender.Withdrawn {
		return submissionError(appender.Withdrawn)
	}

	select {
	case v := <-done:
		return submissionError(v.State())
	case <-time.After(withdrawTimeout):
		return submissionError(appender.Unknown)
	}
}

// submissionError returns the error for the final state of a ticket; nil for Confirmed.
func submissionError(s appender.State) error {
	switch s {
	case appender.Confirmed:
		return nil
	case appender.Withdrawn:
		return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the request could not be recorded in time").
			WithRetryAfter(retryAfter)
	case appender.Rejected:
		return outcome.New(outcome.TooLarge, outcome.NotRun, "the log does not accept a record of this size")
	default:
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the log has not confirmed the record; look the result up by its key").
			WithRetryAfter(retryAfter)
	}
}

// Enqueue queues records of accepted work without waiting. They stay in the queue until the log accepts them. If they
// would bring the queue above twice its limit for new work, they are dropped and counted; TryEnqueue reports that.
func (s *Store) Enqueue(index int, r ...journal.Record) { s.TryEnqueue(index, r...) }

// TryEnqueue is like Enqueue and reports whether the records were queued. Work whose completion is dropped stays
// accepted, so that the writer of its partition finds it later.
func (s *Store) TryEnqueue(index int, r ...journal.Record) bool {
	p := s.acquirePartition(index)
	defer func() { p.release(s.options.clock()) }()

	ok := p.enqueueAccepted(r)
	if !ok {
		s.droppedCount.Add(1)
	}

	return ok
}

// DroppedCount returns the number of calls of Enqueue and TryEnqueue whose records were dropped because the queue was
// full.
func (s *Store) DroppedCount() int64 { return s.droppedCount.Load() }

// RejectedCount returns the number of submissions that ended because the log will never accept them.
func (s *Store) RejectedCount() int64 { return s.rejectedCount.Load() }

// SkippedCount returns the number of replayed entries that could not be decoded and have no effect here.
func (s *Store) SkippedCount() int64 { return s.skippedCount.Load() }

// Flush waits until no submission is pending in any partition. The error is LogUnavailable if ctx ends first.
func (s *Store) Flush(ctx context.Context) error {
	for _, p := range s.partitions {
		for {
			ch := p.changeChannel()
			if p.isQueueEmpty() {
				break
			}

			select {
			case <-ch:
			case <-ctx.Done():
				return outcome.New(outcome.LogUnavailable, outcome.Unknown, "some records are still pending")
			}
		}
	}

	return nil
}

// Sync waits until every entry that the log had for a partition at the time of the call is replayed here. The error is
// LogUnavailable if the log cannot be read or ctx ends first.
func (s *Store) Sync(ctx context.Context, index int) error {
	p := s.acquirePartition(index)
	defer func() { p.release(s.options.clock()) }()

	page, err := s.log.Read(ctx, p.journalStream, p.replica.Offset()+1, 0)
	if err != nil && !errors.Is(err, stream.ErrTruncated) {
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the log is not available").
			WithRetryAfter(retryAfter).WithCause(err)
	}

	return p.awaitOffset(ctx, page.NextOffset()-1)
}

// Work returns the work under a key as far as it is replayed, and false if there is none. It opens the partition if
// needed.
func (s *Store) Work(k journal.Key) (journal.Work, bool) {
	return s.openPartition(s.Partition(k.String())).replica.Lookup(k)
}

// Await waits until the work under a key has ended, and returns it. The error is NotFound with effect not_run if the
// work was released in the meantime, and NotFound with effect unknown if there is no work or its retention may have
// ended in the meantime. If ctx ends first, the error is InProgress.
func (s *Store) Await(ctx context.Context, k journal.Key) (journal.Work, error) {
	index := s.Partition(k.String())

	p := s.acquirePartition(index)
	defer func() { p.release(s.options.clock()) }()

	w, ok := p.replica.Lookup(k)
	if !ok {
		if err := s.Sync(ctx, index); err != nil {
			return w, err
		}
	}

	var lastSeen time.Time

	for {
		ch, at := p.changeChannel(), p.replica.LogTime()

		n, ok := p.replica.Lookup(k)
		if !ok {
			return w, notFoundError(w, lastSeen, p.replica.LogTime())
		}

		w, lastSeen = n, at
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

// ViewJob calls f with a job while the replica is locked, and reports whether the job exists. The rules for f are those
// of journal.Partition.ViewJob.
func (s *Store) ViewJob(id string, f func(j *job.Job)) bool {
	return s.Replica(s.Partition(id)).ViewJob(id, f)
}

// retryAfter is how long errors tell callers to wait before they retry.
const retryAfter = 2 * time.Second

// estimatedSize returns the estimated size of encoded records, in bytes.
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
