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
	ref   job.Ref
	lease int64
}

func newHeldShard(p int) *heldShard {
	return &heldShard{partition: p, stops: map[leaseRef]context.CancelFunc{}, runs: map[leaseRef]context.Context{}}
}

// take starts to hold a shard. Its items run until ctx ends or the shard is dropped.
func (h *heldShard) take(ctx context.Context, now time.Time, s job.Shard) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if !h.holder.Take(now, s) {
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

func (h *heldShard) head(now time.Time) (job.Rank, bool, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.Head(now)
}

func (h *heldShard) end(now time.Time, t job.Task, v job.Verdict, r job.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.holder.End(now, t, v, r)
}

func (h *heldShard) mayStart(now time.Time, r job.Ref, send time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.MayStart(now, r, send)
}

func (h *heldShard) due(now time.Time) []job.Report {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.Due(now)
}

// answered takes the answer to a report and reports whether the shard was dropped.
func (h *heldShard) answered(r job.Report, a job.Renewal) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if !h.holder.Answered(r, a) {
		return false
	}

	h.stopRef(r.Ref())

	return true
}

func (h *heldShard) lost(r job.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.holder.Lost(r)
}

// cutoff stops the shards that were not renewed for a bound of time and returns their number.
func (h *heldShard) cutoff(now time.Time, bound time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.Cutoff(now, bound)
	for _, r := range l {
		h.stopRef(r)
	}

	return len(l)
}

// stop stops a job and returns the number of its shards.
func (h *heldShard) stop(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.Stop(id)
	for _, r := range l {
		h.stopRef(r)
	}

	return len(l)
}

// release gives up all shards and returns their last reports.
func (h *heldShard) release(now time.Time) []job.Report {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.Release(now)
	for k := range h.stops {
		h.stopRef(k.ref)
	}

	return l
}

func (h *heldShard) load() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.Load()
}

// demand returns what is held and refused, and whether it is time to pull.
func (h *heldShard) demand(now time.Time) (held []job.Ref, refused []string, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.Held(), h.holder.Stopped(), !now.Before(h.pullAt)
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
func (h *heldShard) stopRef(r job.Ref) {
	for k, stop := range h.stops {
		if k.ref == r {
			stop()
			delete(h.stops, k)
			delete(h.runs, k)
		}
	}
}
