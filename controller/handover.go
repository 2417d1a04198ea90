package controller

import (
	"context"
	"time"
)

const (
	// handoverTimeout bounds the wait for the items in flight at a handover. Items that run longer are cancelled; the
	// idempotent ones run again at other daemons.
	handoverTimeout = 5 * time.Second
	// handoverPollInterval is the period at which the number of items in flight is checked.
	handoverPollInterval = 20 * time.Millisecond
)

// HandOver hands all job shards over to other daemons: it pulls no new ones, starts no more items, and releases the
// leases once the items in flight have ended or handoverTimeout has passed.
func (r *Runner) HandOver(ctx context.Context) error {
	r.handingOver.Store(true)

	x, stop := context.WithTimeout(ctx, handoverTimeout)
	defer stop()

	for r.runningItems() > 0 && x.Err() == nil {
		sleep(x, handoverPollInterval)
	}

	r.releaseShards(context.WithoutCancel(ctx))

	return nil
}

func (r *Runner) runningItems() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.runningCount
}

// Dump returns the runner's section of the state dump, which is encoded as JSON.
func (r *Runner) Dump() any {
	r.mu.Lock()
	running, capacity := r.runningCount, r.capacity.Limit()
	r.mu.Unlock()

	return map[string]any{
		"held": len(r.HeldShards()), "running": running, "capacity": capacity, "queued_records": r.jobs.journal.QueuedCount(),
	}
}
