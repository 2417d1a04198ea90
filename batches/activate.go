package batches

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/agategap/agategap/batch"
)

// itemToStart returns the state of an item if an attempt of it may start. It returns nil if the item is active, has a
// published result or is to be retried later, if too many results of its partition wait for the log, or if this daemon is
// leaving. The caller holds r.mu.
func (r *Runner) itemToStart(v batch.View, i batch.Item, now time.Time) *runningItem {
	k := v.ID() + "/" + i.ID()

	u, ok := r.items[k]
	if !ok {
		u = &runningItem{jobID: v.ID(), item: i, cancel: func() {}, failedAttempts: v.FailedAttempts(i.ID()), runID: rand.Uint64(), wait: newWaitState(now)}
		r.items[k] = u
	}

	if !u.active {
		u.resumeFrom(v.Progress(i.ID()))
	}

	if u.active || u.published || now.Before(u.retryAt) || r.leaving || r.unpublished[r.batches.Partition(v.ID())] >= maxUnpublishedResults {
		return nil
	}

	return u
}

// activate marks an item as active and returns it with a place of its service. It returns nil if no attempt of the item
// may start or there is no place.
func (r *Runner) activate(v batch.View, i batch.Item, service string, now time.Time) *runningItem {
	r.mu.Lock()
	defer r.mu.Unlock()

	u := r.itemToStart(v, i, now)
	if u == nil {
		return nil
	}

	if u.place, u.active = r.places.Take(service, u.unproductive, now); !u.active {
		u.wait.refusePlace(now)

		return nil
	}

	u.startedAfter = u.lastEvent
	u.wait.start(now)

	return u
}

// failItem fails an item that is not active.
func (r *Runner) failItem(ctx context.Context, v batch.View, i batch.Item, reason string, now time.Time) {
	r.mu.Lock()
	u := r.itemToStart(v, i, now)

	if u != nil {
		u.active = true
	}
	r.mu.Unlock()

	if u != nil {
		r.wg.Go(func() { r.publishResult(ctx, u, batch.NewResult(i.ID(), "", false), reason) })
	}
}
