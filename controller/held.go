package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/job"
)

// heldShard has the job shards of one partition that this daemon holds. It is a shard of Runner.
type heldShard struct {
	partition int

	mu     sync.Mutex
	holder job.Holder
	stops  map[leaseRef]context.CancelFunc
	runs   map[leaseRef]context.Context
	pullAt time.Time
	idle   time.Duration
}

// leaseRef names a shard under one lease.
type leaseRef struct {
	ref   job.ShardRef
	lease int64
}

func newHeldShard(p int) *heldShard {
	return &heldShard{partition: p, stops: map[leaseRef]context.CancelFunc{}, runs: map[leaseRef]context.Context{}}
}

// take starts to hold a shard. Its items run until ctx ends or the shard is dropped.
func (h *heldShard) take(ctx context.Context, now time.Time, s job.LeasedShard) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if !h.holder.Acquire(now, s) {
		return false
	}

	h.stopRef(s.Ref())

	k := leaseRef{ref: s.Ref(), lease: s.Lease}
	h.runs[k], h.stops[k] = context.WithCancel(ctx) //nolint:gosec // stopRef calls it

	return true
}

// next hands out a task with the context of its shard.
func (h *heldShard) next(now time.Time) (job.Task, context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	t, ok := h.holder.Next(now)
	if !ok {
		return t, nil, false
	}

	return t, h.runs[leaseRef{ref: t.Ref(), lease: t.Lease()}], true
}

func (h *heldShard) head(now time.Time) (job.Urgency, bool, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.NextUrgency(now)
}

func (h *heldShard) end(now time.Time, t job.Task, v job.AttemptOutcome, r job.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.holder.EndTask(now, t, v, r)
}

func (h *heldShard) mayStart(now time.Time, r job.ShardRef, send time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.CanStart(now, r, send)
}

func (h *heldShard) due(now time.Time) []job.Report {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.DueReports(now)
}

// answered takes the answer to a report and reports whether the shard was dropped.
func (h *heldShard) answered(r job.Report, a job.Renewal) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if !h.holder.HandleReply(r, a) {
		return false
	}

	h.stopRef(r.Ref())

	return true
}

func (h *heldShard) lost(r job.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.holder.HandleNoReply(r)
}

// cutoff stops the shards that were not renewed for a bound of time and returns their number.
func (h *heldShard) cutoff(now time.Time, bound time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.CutOff(now, bound)
	for _, r := range l {
		h.stopRef(r)
	}

	return len(l)
}

// stop stops a job and returns the number of its shards.
func (h *heldShard) stop(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.StopJob(id)
	for _, r := range l {
		h.stopRef(r)
	}

	return len(l)
}

// release gives up all shards and returns their last reports.
func (h *heldShard) release(now time.Time) []job.Report {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.ReleaseAll(now)
	for k := range h.stops {
		h.stopRef(k.ref)
	}

	return l
}

func (h *heldShard) load() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.PendingCount()
}

// demand returns what is held and refused, and whether it is time to pull.
func (h *heldShard) demand(now time.Time) (held []job.ShardRef, refused []string, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.HeldShards(), h.holder.StoppedJobs(), !now.Before(h.pullAt)
}

// pulled sets the time of the next pull: soon while the writer has shards, less and less often while it has none.
func (h *heldShard) pulled(now time.Time, got bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.idle = min(longestPull, max(shortestPull, 2*h.idle)) //nolint:mnd // doubles
	if got {
		h.idle = 0
	}

	h.pullAt = now.Add(h.idle)
}

// stopRef cancels what runs of a shard. The caller holds the lock.
func (h *heldShard) stopRef(r job.ShardRef) {
	for k, stop := range h.stops {
		if k.ref == r {
			stop()
			delete(h.stops, k)
			delete(h.runs, k)
		}
	}
}
