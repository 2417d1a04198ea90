// Package batches has the controllers of batch jobs: it accepts, lists and ends them in the log, and runs their items.
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

// Stream is the name of the keyed stream that has the records of jobs.
const Stream = "keyed.batch"

// LogLimits are the bounds of the log.
type LogLimits struct {
	partitions, maxRecordBytes, maxAppendBytes int
	jobRetention                     time.Duration
}

// NewLogLimits returns the number of partitions, the largest record and the largest append in bytes, and how long finished
// jobs are kept after their submission.
func NewLogLimits(partitions, record, call int, keep time.Duration) LogLimits {
	return LogLimits{partitions: partitions, maxRecordBytes: record, maxAppendBytes: call, jobRetention: keep}
}

// Partitions returns the number of partitions.
func (s LogLimits) Partitions() int { return s.partitions }

// partition is this daemon's copy of one partition of the stream, with what it appends to it.
type partition struct {
	number   int
	replica  *batch.Replica
	consumer *keyed.Consumer
	writer   *writer
	stop     context.CancelFunc
	stopped    chan struct{} // closed when nothing of the copy runs any more
}

// Batches accepts, reads and ends the jobs of the partitions that this daemon follows.
type Batches struct {
	log  keyed.Log
	limits   LogLimits
	clock   func() time.Time
	self    batch.Runner
	logger  zerolog.Logger
	shards  []partitionShard
	assigned chan struct{} // closed once it is decided which partitions are followed
	wasReady   atomic.Bool   // Ready was true once
	changed chan struct{} // has a value when a job changed
}

// partitionShard has the copy of one partition.
type partitionShard struct {
	mu   sync.Mutex
	followed *partition // nil while the partition is not followed here
}

// New returns the controller. self is this process, which runs the jobs that it accepts.
func New(l keyed.Log, s LogLimits, self batch.Runner, clock func() time.Time, z zerolog.Logger) *Batches {
	return &Batches{
		log: l, limits: s, clock: clock, self: self, logger: z, shards: make([]partitionShard, s.partitions),
		assigned: make(chan struct{}), changed: make(chan struct{}, 1),
	}
}

// IsReady reports whether calls about jobs can be served: all partitions that this daemon followed at its start are loaded, or
// cannot be as the log is not available. Partitions that are loaded later are served by other daemons meanwhile.
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

// Partition returns the partition of a job.
func (b *Batches) Partition(job string) int { return shard.Index(job, len(b.shards)) }

// followedPartition returns this daemon's copy of a partition; nil when it does not follow it.
func (b *Batches) followedPartition(n int) *partition {
	h := &b.shards[n]

	h.mu.Lock()
	defer h.mu.Unlock()

	return h.followed
}

// followedPartitions returns this daemon's copies of partitions.
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

// hasLoaded reports whether this daemon has loaded the partition of a job.
func (b *Batches) hasLoaded(job string) bool {
	p := b.followedPartition(b.Partition(job))

	return p != nil && p.consumer.IsLoaded()
}

// loadedPartition returns the loaded copy of a job's partition.
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
	return outcome.New(outcome.NotReady, outcome.NotRun, "the jobs are not loaded yet").WithRetryAfter(time.Second)
}

// waitLoaded waits until a partition is loaded.
func (p *partition) waitLoaded(ctx context.Context) error {
	select {
	case <-p.consumer.Ready():
		return nil
	case <-ctx.Done():
		return notReadyError()
	}
}

// Submit accepts a job. A job that was accepted before is accepted again without effect. An error with the effect
// NotRun promises that no part of the job runs.
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

// maxReplicaAge is the age up to which a replica is believed about results that it does not have. A reader may have seen
// one at another daemon that heard of it earlier.
const maxReplicaAge = 300 * time.Millisecond

// findJob returns the partition of a job that the replica knows, after reading up to the end of the log if it does not.
func (b *Batches) findJob(ctx context.Context, id string) (*partition, error) {
	p, err := b.loadedPartition(ctx, id)
	if err != nil {
		return nil, err
	}

	if p.replica.HasJob(id) {
		return p, nil
	}

	// A job can be asked for at once after its acceptance by another daemon.
	if err := p.ensureFresh(ctx, 0); err != nil {
		return nil, err
	}

	if p.replica.HasJob(id) {
		return p, nil
	}

	return nil, outcome.New(outcome.NotFound, outcome.NotRun, "no such job")
}

// ensureFresh makes sure that the replica has what other daemons may have shown some time ago.
func (p *partition) ensureFresh(ctx context.Context, age time.Duration) error {
	if err := p.consumer.EnsureFresh(ctx, age); err != nil {
		return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log cannot be asked for what is new").
			WithRetryAfter(time.Second).WithCause(err)
	}

	return nil
}

// Page is a part of the results of a job.
type Page struct {
	results []batch.Result
	itemCount   int
	nextPosition    int
}

// Results returns the results in order of position.
func (p Page) Results() []batch.Result { return p.results }

// ItemCount returns the number of items of the job.
func (p Page) ItemCount() int { return p.itemCount }

// NextPosition returns the position behind the last result.
func (p Page) NextPosition() int { return p.nextPosition }

// Results returns the results of a job from a position on, with at most some bytes of text but at least one result if
// there is one. When there is none it waits for the first one, at most for wait.
func (b *Batches) Results(ctx context.Context, id string, after, most int, wait time.Duration) (Page, error) {
	p, err := b.findJob(ctx, id)
	if err != nil {
		return Page{}, err
	}

	end := time.NewTimer(wait)
	defer end.Stop()

	for synced, waiting := false, true; ; {
		l, v, ok := p.replica.Results(id, after, most)
		if !ok {
			return Page{}, outcome.New(outcome.NotFound, outcome.NotRun, "no such job")
		}

		if len(l) == 0 && after < v.ItemCount() && !synced {
			if err := p.ensureFresh(ctx, maxReplicaAge); err != nil {
				return Page{}, err
			}

			synced = true

			continue
		}

		if len(l) > 0 || !waiting || v.IsFinished() {
			return Page{results: l, itemCount: v.ItemCount(), nextPosition: after + len(l)}, nil
		}

		select {
		case <-v.Changed():
		case <-end.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// Body returns the body of an item that is not listed yet.
func (b *Batches) Body(ctx context.Context, id, item string) ([]byte, error) {
	p, err := b.findJob(ctx, id)
	if err != nil {
		return nil, err
	}

	body, _, found := p.replica.Body(id, item)
	if !found {
		return nil, outcome.New(outcome.NotFound, outcome.NotRun, "the job has no such item that is not listed")
	}

	return body, nil
}

// End ends a job. Items that are not listed need not run any more.
func (b *Batches) End(ctx context.Context, id string) error {
	p, err := b.findJob(ctx, id)
	if err != nil {
		return err
	}

	err = p.writer.end(ctx, id)
	b.logChange("job_ended", id, err)

	return err
}

// PublishResult lists the result of an item. It is not listed again when it is listed already.
func (b *Batches) PublishResult(ctx context.Context, id string, v batch.Result) error {
	p, err := b.loadedPartition(ctx, id)
	if err != nil {
		return err
	}

	return p.writer.publishResult(ctx, id, v)
}

// RecordFailure records the number of failed runs of an item.
func (b *Batches) RecordFailure(ctx context.Context, id, item string, runs int) error {
	p, err := b.loadedPartition(ctx, id)
	if err != nil {
		return err
	}

	return p.writer.recordFailure(ctx, id, item, runs)
}

// SaveProgress records events of an item that is running, so that another daemon can go on behind them.
func (b *Batches) SaveProgress(ctx context.Context, id, item string, e batch.Events) error {
	p, err := b.loadedPartition(ctx, id)
	if err != nil {
		return err
	}

	return p.writer.saveProgress(ctx, id, item, e)
}

// SavedProgress returns the number of the last event of an item that the log has, and the run that it is of.
func (b *Batches) SavedProgress(id, item string) (last int, chain uint64) {
	if p := b.followedPartition(b.Partition(id)); p != nil {
		return p.replica.SavedProgress(id, item)
	}

	return 0, 0
}

// IsItemClosed reports whether an item can get no result any more.
func (b *Batches) IsItemClosed(id, item string) bool {
	p := b.followedPartition(b.Partition(id))

	return p != nil && p.replica.IsItemClosed(id, item)
}

func (b *Batches) logChange(event, id string, err error) {
	e := b.logger.Info()
	if err != nil {
		e = b.logger.Warn().Err(err).Str("effect", string(outcome.From(err).Effect()))
	}

	e.Str("event", event).Str("job", id).Msg("a change of a batch job was decided")
}

// Count returns the number of jobs and of results.
func (b *Batches) Count() (jobs, results int) {
	for _, p := range b.followedPartitions() {
		j, r := p.replica.Count()
		jobs, results = jobs+j, results+r
	}

	return jobs, results
}
