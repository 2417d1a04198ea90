package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/job"
)

// heldPartition has the job shards of one partition that this daemon holds. It is a shard of Runner.
type heldPartition struct {
	partition int

	mu     sync.Mutex
	holder job.Holder
	cancels  map[leaseRef]context.CancelFunc
	contexts   map[leaseRef]context.Context
	nextPull time.Time
	pullDelay   time.Duration
}

// leaseRef names a shard under one lease.
type leaseRef struct {
	ref   job.ShardRef
	lease int64
}

func newHeldPartition(p int) *heldPartition {
	return &heldPartition{partition: p, cancels: map[leaseRef]context.CancelFunc{}, contexts: map[leaseRef]context.Context{}}
}

// acquire starts to hold a shard. Its items run until ctx ends or the shard is dropped.
func (h *heldPartition) acquire(ctx context.Context, now time.Time, s job.LeasedShard) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if !h.holder.Acquire(now, s) {
		return false
	}

	h.cancelShard(s.Ref())

	k := leaseRef{ref: s.Ref(), lease: s.Lease}
	h.contexts[k], h.cancels[k] = context.WithCancel(ctx) //nolint:gosec // stopRef calls it

	return true
}

// nextTask hands out a task with the context of its shard.
func (h *heldPartition) nextTask(now time.Time) (job.Task, context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	t, ok := h.holder.Next(now)
	if !ok {
		return t, nil, false
	}

	return t, h.contexts[leaseRef{ref: t.Ref(), lease: t.Lease()}], true
}

func (h *heldPartition) nextUrgency(now time.Time) (job.Urgency, bool, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.NextUrgency(now)
}

func (h *heldPartition) endTask(now time.Time, t job.Task, v job.AttemptOutcome, r job.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.holder.EndTask(now, t, v, r)
}

func (h *heldPartition) canStart(now time.Time, r job.ShardRef, send time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.CanStart(now, r, send)
}

func (h *heldPartition) dueReports(now time.Time) []job.Report {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.DueReports(now)
}

// handleReply takes the answer to a report and reports whether the shard was dropped.
func (h *heldPartition) handleReply(r job.Report, a job.Renewal) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if !h.holder.HandleReply(r, a) {
		return false
	}

	h.cancelShard(r.Ref())

	return true
}

func (h *heldPartition) handleNoReply(r job.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.holder.HandleNoReply(r)
}

// cutOff stops the shards that were not renewed for a bound of time and returns their number.
func (h *heldPartition) cutOff(now time.Time, bound time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.CutOff(now, bound)
	for _, r := range l {
		h.cancelShard(r)
	}

	return len(l)
}

// stopJob stops a job and returns the number of its shards.
func (h *heldPartition) stopJob(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.StopJob(id)
	for _, r := range l {
		h.cancelShard(r)
	}

	return len(l)
}

// releaseAll gives up all shards and returns their last reports.
func (h *heldPartition) releaseAll(now time.Time) []job.Report {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.ReleaseAll(now)
	for k := range h.cancels {
		h.cancelShard(k.ref)
	}

	return l
}

func (h *heldPartition) pendingCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.PendingCount()
}

// pullState returns what is held and refused, and whether it is time to pull.
func (h *heldPartition) pullState(now time.Time) (held []job.ShardRef, refused []string, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.HeldShards(), h.holder.StoppedJobs(), !now.Before(h.nextPull)
}

// schedulePull sets the time of the next pull: soon while the writer has shards, less and less often while it has none.
func (h *heldPartition) schedulePull(now time.Time, got bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.pullDelay = min(maxPullDelay, max(minPullDelay, 2*h.pullDelay)) //nolint:mnd // doubles
	if got {
		h.pullDelay = 0
	}

	h.nextPull = now.Add(h.pullDelay)
}

// cancelShard cancels what runs of a shard. The caller holds the lock.
func (h *heldPartition) cancelShard(r job.ShardRef) {
	for k, stop := range h.cancels {
		if k.ref == r {
			stop()
			delete(h.cancels, k)
			delete(h.contexts, k)
		}
	}
}
