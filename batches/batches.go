// Package batches has the controllers of batch jobs: they accept and end jobs, publish results in the log, run the
// items, and hand running jobs over at shutdown. Package daemon starts them, and package platform passes them the calls
// of callers.
package batches

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/keyed"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/shard"
)

// Stream is the name of the keyed stream that holds the records of jobs.
const Stream = "keyed.batch"

// LogLimits are the limits of the keyed stream of jobs.
type LogLimits struct {
	partitions, maxRecordBytes, maxAppendBytes int
	jobRetention, expiryInterval               time.Duration
}

// NewLogLimits returns limits with the number of partitions, the sizes of the largest record and the largest append in
// bytes, and how long finished jobs are retained, counted from their acceptance.
func NewLogLimits(partitions, maxRecordBytes, maxAppendBytes int, jobRetention time.Duration) LogLimits {
	return LogLimits{partitions: partitions, maxRecordBytes: maxRecordBytes, maxAppendBytes: maxAppendBytes, jobRetention: jobRetention}
}

// WithExpiryInterval returns a copy with the shortest time between two searches for expired jobs in a partition; 0 means
// the default of 20 s.
func (s LogLimits) WithExpiryInterval(d time.Duration) LogLimits {
	s.expiryInterval = d

	return s
}

// Partitions returns the number of partitions.
func (s LogLimits) Partitions() int { return s.partitions }

// partition is a partition that this daemon follows: its replica, the consumer that fills it and the writer of changes.
type partition struct {
	number   int
	replica  *batch.Replica
	consumer *keyed.Consumer
	writer   *writer
	stop     context.CancelFunc
	stopped  chan struct{} // closed when all goroutines of the partition have returned
}

// Batches accepts, reads and ends the jobs of the partitions that this daemon follows. It is safe for concurrent use.
type Batches struct {
	log      keyed.Log
	limits   LogLimits
	clock    func() time.Time
	self     batch.Runner
	logger   zerolog.Logger
	shards   []partitionShard // by partition number
	assigned chan struct{}    // closed when the assigner has decided for the first time which partitions are followed
	wasReady atomic.Bool      // IsReady has returned true before
	changed  chan struct{}    // holds a value if a job has changed since the last receive
}

// partitionShard guards one partition with its own lock.
type partitionShard struct {
	mu       sync.Mutex
	followed *partition // nil while this daemon does not follow the partition
}

// New returns a controller that follows no partition yet; an Assigner starts that. self is this process, which runs the
// jobs that it accepts.
func New(l keyed.Log, s LogLimits, self batch.Runner, clock func() time.Time, z zerolog.Logger) *Batches {
	return &Batches{
		log: l, limits: s, clock: clock, self: self, logger: z, shards: make([]partitionShard, s.partitions),
		assigned: make(chan struct{}), changed: make(chan struct{}, 1),
	}
}

// IsReady reports whether calls about jobs can be served: all partitions that this daemon follows at its start are
// loaded, or cannot be loaded as the log is unavailable. It stays true from then on; while a later partition is being
// loaded, other daemons serve it.
func (b *Batches) IsReady() bool {
	if b.wasReady.Load() {
		return true
	}

	select {
	case <-b.assigned:
	default:
		return false
	}

	for _, p := range b.followedPartitions() {
		if !p.consumer.IsLoaded() && !p.consumer.IsDown() {
			return false
		}
	}

	b.wasReady.Store(true)

	return true
}

// Partition returns the number of the partition of a job.
func (b *Batches) Partition(job string) int { return shard.Index(job, len(b.shards)) }

// followedPartition returns a partition by number; nil if this daemon does not follow it.
func (b *Batches) followedPartition(n int) *partition {
	h := &b.shards[n]

	h.mu.Lock()
	defer h.mu.Unlock()

	return h.followed
}

// followedPartitions returns the partitions that this daemon follows, by number.
func (b *Batches) followedPartitions() []*partition {
	var l []*partition

	for n := range b.shards {
		if p := b.followedPartition(n); p != nil {
			l = append(l, p)
		}
	}

	return l
}

// IsFollowing reports whether this daemon follows the partition of a job.
func (b *Batches) IsFollowing(job string) bool { return b.followedPartition(b.Partition(job)) != nil }

// hasLoaded reports whether this daemon follows the partition of a job and has loaded it.
func (b *Batches) hasLoaded(job string) bool {
	p := b.followedPartition(b.Partition(job))

	return p != nil && p.consumer.IsLoaded()
}

// loadedPartition returns the partition of a job once it is loaded. It fails with NotReady if this daemon does not
// follow the partition or ctx ends before.
func (b *Batches) loadedPartition(ctx context.Context, job string) (*partition, error) {
	select {
	case <-b.assigned:
	case <-ctx.Done():
		return nil, notReadyError()
	}

	p := b.followedPartition(b.Partition(job))
	if p == nil {
		return nil, outcome.New(outcome.NotReady, outcome.NotRun, "this daemon does not follow the job's partition").
			WithRetryAfter(time.Second)
	}

	return p, p.waitLoaded(ctx)
}

func notReadyError() error {
	return outcome.New(outcome.NotReady, outcome.NotRun, "the batch jobs are not loaded yet").WithRetryAfter(time.Second)
}

// waitLoaded waits until the partition is loaded or ctx ends.
func (p *partition) waitLoaded(ctx context.Context) error {
	select {
	case <-p.consumer.Ready():
		return nil
	case <-ctx.Done():
		return notReadyError()
	}
}

// Submit accepts a job. Submitting an accepted job again has no effect and succeeds. An error with the effect NotRun
// guarantees that no part of the job runs because of this call.
func (b *Batches) Submit(ctx context.Context, s batch.Submission) error {
	p, err := b.loadedPartition(ctx, s.ID())
	if err != nil {
		return err
	}

	if p.replica.HasJob(s.ID()) {
		return nil
	}

	err = p.writer.submit(ctx, s.WithRunner(b.self))
	b.logChange("job_submitted", s.ID(), err)

	return err
}

// maxReplicaAge is the greatest age of a replica that may report that a job has no further results. The caller may have
// read a result at another daemon whose replica was ahead of this one.
const maxReplicaAge = 300 * time.Millisecond

const (
	// maxPartialPageAge is the greatest age of a replica that lists some results of a job but not all. A daemon whose
	// reads of the log hang would otherwise leave out results that callers have read at other daemons.
	maxPartialPageAge = time.Second
	// partialPageTimeout bounds the wait for newer records before such a page is returned as it is.
	partialPageTimeout = 500 * time.Millisecond
)

// findJob returns the partition of a job that its replica knows. If the replica does not know the job, it reads up to
// the end of the log first.
func (b *Batches) findJob(ctx context.Context, id string) (*partition, error) {
	p, err := b.loadedPartition(ctx, id)
	if err != nil {
		return nil, err
	}

	if p.replica.HasJob(id) {
		return p, nil
	}

	// Another daemon may have accepted the job a moment ago.
	if err := p.ensureFresh(ctx, 0); err != nil {
		return nil, err
	}

	if p.replica.HasJob(id) {
		return p, nil
	}

	return nil, outcome.New(outcome.NotFound, outcome.NotRun, "no such job")
}

// ensureFresh makes sure that the replica has all records that are older than maxAge, which other daemons may have
// shown to callers.
func (p *partition) ensureFresh(ctx context.Context, maxAge time.Duration) error {
	if err := p.consumer.EnsureFresh(ctx, maxAge); err != nil {
		return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log cannot be read for new records of the job").
			WithRetryAfter(time.Second).WithCause(err)
	}

	return nil
}

// Page is a range of the published results of a job.
type Page struct {
	results      []batch.Result
	itemCount    int
	nextPosition int
}

// Results returns the results in order of position.
func (p Page) Results() []batch.Result { return p.results }

// ItemCount returns the number of items of the job.
func (p Page) ItemCount() int { return p.itemCount }

// NextPosition returns the position after the last result of the page.
func (p Page) NextPosition() int { return p.nextPosition }

// Results returns the published results of a job from position from on, with at most maxBytes of text but at least one
// result if there is any. If there is none, it waits for the first one for up to wait.
func (b *Batches) Results(ctx context.Context, id string, from, maxBytes int, wait time.Duration) (Page, error) {
	p, err := b.findJob(ctx, id)
	if err != nil {
		return Page{}, err
	}

	timer := time.NewTimer(wait)
	defer timer.Stop()

	for synced, waiting := false, true; ; {
		l, v, ok := p.replica.Results(id, from, maxBytes)
		if !ok {
			return Page{}, outcome.New(outcome.NotFound, outcome.NotRun, "no such job")
		}

		if len(l) == 0 && from < v.ItemCount() && !synced {
			if err := p.ensureFresh(ctx, maxReplicaAge); err != nil {
				return Page{}, err
			}

			synced = true

			continue
		}

		if len(l) > 0 && from+len(l) < v.ItemCount() && !synced {
			x, stop := context.WithTimeout(ctx, partialPageTimeout)
			err := p.ensureFresh(x, maxPartialPageAge)

			stop()

			synced = true

			if err == nil {
				continue
			}
		}

		if len(l) > 0 || !waiting || v.IsFinished() {
			return Page{results: l, itemCount: v.ItemCount(), nextPosition: from + len(l)}, nil
		}

		select {
		case <-v.Changed():
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// Body returns the body of an item without a published result.
func (b *Batches) Body(ctx context.Context, id, item string) ([]byte, error) {
	p, err := b.findJob(ctx, id)
	if err != nil {
		return nil, err
	}

	body, _, found := p.replica.Body(id, item)
	if !found {
		return nil, outcome.New(outcome.NotFound, outcome.NotRun, "the job has no such item without a result")
	}

	return body, nil
}

// End ends a job. Items without a published result will not get one. Ending a job again has no effect.
func (b *Batches) End(ctx context.Context, id string) error {
	p, err := b.findJob(ctx, id)
	if err != nil {
		return err
	}

	err = p.writer.end(ctx, id)
	b.logChange("job_ended", id, err)

	return err
}

// PublishResult publishes the result of an item. It has no effect if the item can no longer get a result.
func (b *Batches) PublishResult(ctx context.Context, id string, v batch.Result) error {
	p, err := b.loadedPartition(ctx, id)
	if err != nil {
		return err
	}

	return p.writer.publishResult(ctx, id, v)
}

// RecordFailure records the number of failed attempts of an item in the log.
func (b *Batches) RecordFailure(ctx context.Context, id, item string, attempts int) error {
	p, err := b.loadedPartition(ctx, id)
	if err != nil {
		return err
	}

	return p.writer.recordFailure(ctx, id, item, attempts)
}

// SaveProgress saves events of a running item in the log, so that another daemon can continue after them.
func (b *Batches) SaveProgress(ctx context.Context, id, item string, e batch.Events) error {
	p, err := b.loadedPartition(ctx, id)
	if err != nil {
		return err
	}

	return p.writer.saveProgress(ctx, id, item, e)
}

// SavedProgress returns the number of the last event of an item in the log and the run that generated it; zeros if
// there is none or this daemon does not follow the partition.
func (b *Batches) SavedProgress(id, item string) (lastEvent int, runID uint64) {
	if p := b.followedPartition(b.Partition(id)); p != nil {
		return p.replica.SavedProgress(id, item)
	}

	return 0, 0
}

// IsItemClosed reports whether an item can no longer get a result. It is false if this daemon does not follow the
// partition.
func (b *Batches) IsItemClosed(id, item string) bool {
	p := b.followedPartition(b.Partition(id))

	return p != nil && p.replica.IsItemClosed(id, item)
}

// logChange logs an attempt to submit or end a job.
func (b *Batches) logChange(event, id string, err error) {
	e := b.logger.Info()
	if err != nil {
		e = b.logger.Warn().Err(err).Str("effect", string(outcome.From(err).Effect()))
	}

	e.Str("event", event).Str("job", id).Msg("attempted to submit or end a batch job")
}

// Count returns the number of jobs and of published results in the partitions that this daemon follows.
func (b *Batches) Count() (jobs, results int) {
	for _, p := range b.followedPartitions() {
		j, r := p.replica.Count()
		jobs, results = jobs+j, results+r
	}

	return jobs, results
}
