package controller

import (
	"context"
	"time"
)

const (
	// handOverWait bounds the wait for the items in flight when the daemon hands its shards over. Longer items
	// are cancelled; what may run again runs elsewhere.
	handOverWait = 5 * time.Second
	// handOverPoll is the time between two looks for items in flight.
	handOverPoll = 20 * time.Millisecond
)

// HandOver gives all shards to other daemons: it takes no new ones, starts no more items, and gives the leases back once
// the items in flight have ended or the wait for them is over.
func (r *Runner) HandOver(ctx context.Context) error {
	r.closing.Store(true)

	x, stop := context.WithTimeout(ctx, handOverWait)
	defer stop()

	for r.inFlight() > 0 && x.Err() == nil {
		sleep(x, handOverPoll)
	}

	r.release(context.WithoutCancel(ctx))

	return nil
}

// inFlight returns the number of items that run.
func (r *Runner) inFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.running
}

// Dump returns what the daemon holds, for the state dump.
func (r *Runner) Dump() any {
	r.mu.Lock()
	running, capacity := r.running, r.capacity.Limit()
	r.mu.Unlock()

	return map[string]any{
		"held": len(r.Held()), "running": running, "capacity": capacity, "queued_records": r.jobs.journal.Queued(),
	}
}
