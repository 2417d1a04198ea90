package batches

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/keyed"
)

// Assignment decides which partitions this daemon is to follow.
type Assignment interface {
	ShouldFollow(partition int, now time.Time) bool
}

// PartitionUsage reports whether this daemon still needs a partition that it follows.
type PartitionUsage interface {
	IsPartitionInUse(partition int) bool
}

// Announcer tells other daemons which partitions this one follows.
type Announcer interface {
	AnnouncePartitions(partitions []int)
}

const (
	// assignInterval is the time between two checks of the assignment.
	assignInterval = 200 * time.Millisecond
	// dropGracePeriod is how long a partition has to be assigned to other daemons before this one stops following it.
	// It outlasts short network failures, as a partition is costly to load again.
	dropGracePeriod = 5 * time.Second
)

// Assigner starts and stops following partitions as their assignment to the daemons changes.
type Assigner struct {
	batches    *Batches
	assignment Assignment
	usage      PartitionUsage
	announcer  Announcer
	logger     zerolog.Logger
}

// NewAssigner returns an assigner for the partitions of b. If a is nil, this daemon follows all partitions and does not
// use u. A partition that is in use according to u is not dropped. n is told which partitions are followed, unless it
// is nil.
func NewAssigner(b *Batches, a Assignment, u PartitionUsage, n Announcer, z zerolog.Logger) *Assigner {
	return &Assigner{batches: b, assignment: a, usage: u, announcer: n, logger: z}
}

// Run follows the assigned partitions until ctx ends, and returns when their goroutines have stopped.
func (a *Assigner) Run(ctx context.Context) error {
	unassignedSince := map[int]time.Time{} // by number of a followed partition that is assigned to other daemons only

	for ctx.Err() == nil {
		a.reconcile(ctx, unassignedSince, time.Now())
		a.announce()

		select {
		case <-a.batches.assigned:
		default:
			close(a.batches.assigned)
		}

		select {
		case <-time.After(assignInterval):
		case <-ctx.Done():
		}
	}

	for _, p := range a.batches.followedPartitions() {
		<-p.stopped
	}

	return nil
}

func (a *Assigner) announce() {
	if a.announcer == nil {
		return
	}

	var l []int
	for _, p := range a.batches.followedPartitions() {
		l = append(l, p.number)
	}

	a.announcer.AnnouncePartitions(l)
}

// reconcile starts following the partitions that are newly assigned, and stops following those that have been assigned
// to other daemons for the grace period, have no pending changes and are not in use.
func (a *Assigner) reconcile(ctx context.Context, unassignedSince map[int]time.Time, now time.Time) {
	for n := range a.batches.shards {
		p := a.batches.followedPartition(n)

		if a.assignment == nil || a.assignment.ShouldFollow(n, now) {
			delete(unassignedSince, n)

			if p == nil {
				a.batches.startFollowing(ctx, n)
				a.logger.Info().Str("event", "partition_followed").Int("part", n).Msg("started following a partition of the batch jobs")
			}

			continue
		}

		if p == nil {
			continue
		}

		if _, ok := unassignedSince[n]; !ok {
			unassignedSince[n] = now
		}

		if now.Sub(unassignedSince[n]) >= dropGracePeriod && p.writer.pending.Load() == 0 && !a.usage.IsPartitionInUse(n) {
			a.batches.stopFollowing(n)
			a.logger.Info().Str("event", "partition_dropped").Int("part", n).Msg("stopped following a partition of the batch jobs; other daemons follow it")
		}
	}
}

// startFollowing starts the goroutines of a partition, which run until ctx ends or stopFollowing is called.
func (b *Batches) startFollowing(ctx context.Context, n int) {
	x, stop := context.WithCancel(ctx)
	p := &partition{number: n, replica: &batch.Replica{}, stop: stop, stopped: make(chan struct{})}
	p.consumer = keyed.New(b.log, Stream, n, p.replica, b.logger)
	p.writer = newWriter(b.log, n, p, b.limits, b.logger)

	var wg sync.WaitGroup

	for _, f := range []func(context.Context) error{p.consumer.Run, p.writer.run, p.writer.expireJobs} {
		wg.Go(func() { _ = f(x) }) // returns nil when x ends
	}

	wg.Go(func() { forwardChanges(x, p.replica, b.changed) })

	go func() {
		wg.Wait()
		close(p.stopped)
	}()

	h := &b.shards[n]

	h.mu.Lock()
	defer h.mu.Unlock()

	h.followed = p
}

// stopFollowing stops the goroutines of a partition, but does not wait until they have returned.
func (b *Batches) stopFollowing(n int) {
	h := &b.shards[n]

	h.mu.Lock()
	p := h.followed
	h.followed = nil
	h.mu.Unlock()

	p.stop()
}

// forwardChanges signals each change of a replica on changed, unless a signal is pending there, until ctx ends.
func forwardChanges(ctx context.Context, r *batch.Replica, changed chan<- struct{}) {
	for {
		select {
		case <-r.Changed():
			select {
			case changed <- struct{}{}:
			default:
			}
		case <-ctx.Done():
			return
		}
	}
}
