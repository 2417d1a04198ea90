package controller

import (
	"context"
	"time"
)

const (
	// handoverTimeout bounds the wait for the items in flight when the daemon hands its shards over. Longer items
	// are cancelled; what may run again runs elsewhere.
	handoverTimeout = 5 * time.Second
	// handoverPollInterval is the time between two looks for items in flight.
	handoverPollInterval = 20 * time.Millisecond
)

// HandOver gives all shards to other daemons: it takes no new ones, starts no more items, and gives the leases back once
// the items in flight have ended or the wait for them is over.
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

// runningItems returns the number of items that run.
func (r *Runner) runningItems() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.runningCount
}

// Dump returns what the daemon holds, for the state dump.
func (r *Runner) Dump() any {
	r.mu.Lock()
	running, capacity := r.runningCount, r.capacity.Limit()
	r.mu.Unlock()

	return map[string]any{
		"held": len(r.HeldShards()), "running": running, "capacity": capacity, "queued_records": r.jobs.journal.QueuedCount(),
	}
}
