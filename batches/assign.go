package batches

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/keyed"
)

// Shares decides which partitions this daemon follows.
type Shares interface {
	Follows(partition int, now time.Time) bool
}

// User says whether a partition is in use.
type User interface {
	Uses(partition int) bool
}

// Announcer tells other daemons which partitions this one follows.
type Announcer interface {
	AnnouncePartitions(partitions []int)
}

const (
	// assignTick is the time between two looks at the shares.
	assignTick = 200 * time.Millisecond
	// dropAfter is how long a partition has to be another daemon's share before it is dropped here. It covers short cuts,
	// as a partition is costly to load again.
	dropAfter = 5 * time.Second
)

// Assigner starts and stops following partitions as the shares of the daemons change.
type Assigner struct {
	batches *Batches
	shares  Shares
	user    User
	others  Announcer
	logger  zerolog.Logger
}

// NewAssigner returns the controller. Without shares this daemon follows all partitions. A partition that u uses is not
// dropped. o is told what is followed, unless it is nil.
func NewAssigner(b *Batches, s Shares, u User, o Announcer, z zerolog.Logger) *Assigner {
	return &Assigner{batches: b, shares: s, user: u, others: o, logger: z}
}

// Run follows partitions until ctx ends.
func (a *Assigner) Run(ctx context.Context) error {
	since := map[int]time.Time{} // when a partition that is followed became another daemon's share

	for ctx.Err() == nil {
		a.pass(ctx, since, time.Now())
		a.announce()

		select {
		case <-a.batches.settled:
		default:
			close(a.batches.settled)
		}

		select {
		case <-time.After(assignTick):
		case <-ctx.Done():
		}
	}

	for _, p := range a.batches.copies() {
		<-p.ended
	}

	return nil
}

func (a *Assigner) announce() {
	if a.others == nil {
		return
	}

	var l []int
	for _, p := range a.batches.copies() {
		l = append(l, p.number)
	}

	a.others.AnnouncePartitions(l)
}

// pass starts and stops following partitions.
func (a *Assigner) pass(ctx context.Context, since map[int]time.Time, now time.Time) {
	for n := range a.batches.shards {
		p := a.batches.copy(n)

		if a.shares == nil || a.shares.Follows(n, now) {
			delete(since, n)

			if p == nil {
				a.batches.follow(ctx, n)
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

		if now.Sub(since[n]) >= dropAfter && p.writer.pending.Load() == 0 && !a.user.Uses(n) {
			a.batches.drop(n)
			a.logger.Info().Str("event", "partition_dropped").Int("part", n).Msg("other daemons follow a partition of the jobs")
		}
	}
}

// follow starts following a partition until ctx ends or it is dropped.
func (b *Batches) follow(ctx context.Context, n int) {
	x, stop := context.WithCancel(ctx)
	p := &partition{number: n, replica: &batch.Replica{}, stop: stop, ended: make(chan struct{})}
	p.follower = keyed.New(b.stream, Stream, n, p.replica, b.logger)
	p.writer = newWriter(b.stream, n, p, b.sizes, b.logger)

	var wg sync.WaitGroup

	for _, f := range []func(context.Context) error{p.follower.Run, p.writer.run, p.writer.sweep} {
		wg.Go(func() { _ = f(x) }) // they return when x ends
	}

	wg.Go(func() { signal(x, p.replica, b.changed) })

	go func() {
		wg.Wait()
		close(p.ended)
	}()

	h := &b.shards[n]

	h.mu.Lock()
	defer h.mu.Unlock()

	h.copy = p
}

// drop stops following a partition.
func (b *Batches) drop(n int) {
	h := &b.shards[n]

	h.mu.Lock()
	p := h.copy
	h.copy = nil
	h.mu.Unlock()

	p.stop()
}

// signal passes on that a replica changed.
func signal(ctx context.Context, p *batch.Replica, changed chan<- struct{}) {
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
