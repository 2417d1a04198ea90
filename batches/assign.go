package batches

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/keyed"
)

// Assignment decides which partitions this daemon follows.
type Assignment interface {
	ShouldFollow(partition int, now time.Time) bool
}

// PartitionUsage says whether a partition is in use.
type PartitionUsage interface {
	IsPartitionInUse(partition int) bool
}

// Announcer tells other daemons which partitions this one follows.
type Announcer interface {
	AnnouncePartitions(partitions []int)
}

const (
	// assignInterval is the time between two looks at the shares.
	assignInterval = 200 * time.Millisecond
	// dropGracePeriod is how long a partition has to be another daemon's share before it is dropped here. It covers short cuts,
	// as a partition is costly to load again.
	dropGracePeriod = 5 * time.Second
)

// Assigner starts and stops following partitions as the shares of the daemons change.
type Assigner struct {
	batches *Batches
	assignment  Assignment
	usage    PartitionUsage
	announcer  Announcer
	logger  zerolog.Logger
}

// NewAssigner returns the controller. Without shares this daemon follows all partitions. A partition that u uses is not
// dropped. o is told what is followed, unless it is nil.
func NewAssigner(b *Batches, s Assignment, u PartitionUsage, o Announcer, z zerolog.Logger) *Assigner {
	return &Assigner{batches: b, assignment: s, usage: u, announcer: o, logger: z}
}

// Run follows partitions until ctx ends.
func (a *Assigner) Run(ctx context.Context) error {
	since := map[int]time.Time{} // when a partition that is followed became another daemon's share

	for ctx.Err() == nil {
		a.reconcile(ctx, since, time.Now())
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

// reconcile starts and stops following partitions.
func (a *Assigner) reconcile(ctx context.Context, since map[int]time.Time, now time.Time) {
	for n := range a.batches.shards {
		p := a.batches.followedPartition(n)

		if a.assignment == nil || a.assignment.ShouldFollow(n, now) {
			delete(since, n)

			if p == nil {
				a.batches.startFollowing(ctx, n)
				a.logger.Info().Str("event", "partition_followed").Int("part", n).Msg("this daemon follows a partition of the jobs")
			}

			continue
		}

		if p == nil {
			continue
		}

		if _, ok := since[n]; !ok {
			since[n] = now
		}

		if now.Sub(since[n]) >= dropGracePeriod && p.writer.pending.Load() == 0 && !a.usage.IsPartitionInUse(n) {
			a.batches.stopFollowing(n)
			a.logger.Info().Str("event", "partition_dropped").Int("part", n).Msg("other daemons follow a partition of the jobs")
		}
	}
}

// startFollowing starts following a partition until ctx ends or it is dropped.
func (b *Batches) startFollowing(ctx context.Context, n int) {
	x, stop := context.WithCancel(ctx)
	p := &partition{number: n, replica: &batch.Replica{}, stop: stop, stopped: make(chan struct{})}
	p.consumer = keyed.New(b.log, Stream, n, p.replica, b.logger)
	p.writer = newWriter(b.log, n, p, b.limits, b.logger)

	var wg sync.WaitGroup

	for _, f := range []func(context.Context) error{p.consumer.Run, p.writer.run, p.writer.expireJobs} {
		wg.Go(func() { _ = f(x) }) // they return when x ends
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

// stopFollowing stops following a partition.
func (b *Batches) stopFollowing(n int) {
	h := &b.shards[n]

	h.mu.Lock()
	p := h.followed
	h.followed = nil
	h.mu.Unlock()

	p.stop()
}

// forwardChanges passes on that a replica changed.
func forwardChanges(ctx context.Context, p *batch.Replica, changed chan<- struct{}) {
	for {
		select {
		case <-p.Changed():
			select {
			case changed <- struct{}{}:
			default:
			}
		case <-ctx.Done():
			return
		}
	}
}
