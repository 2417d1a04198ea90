package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/job"
)

// heldPartition has the job shards of one partition that this daemon holds. A Runner has one for each partition, with
// its own lock.
type heldPartition struct {
	partition int

	mu        sync.Mutex
	holder    job.Holder
	cancels   map[leaseRef]context.CancelFunc
	contexts  map[leaseRef]context.Context
	nextPull  time.Time
	pullDelay time.Duration
}

// leaseRef identifies a job shard under one lease.
type leaseRef struct {
	ref   job.ShardRef
	lease int64 // offset of the lease record in the log
}

func newHeldPartition(p int) *heldPartition {
	return &heldPartition{partition: p, cancels: map[leaseRef]context.CancelFunc{}, contexts: map[leaseRef]context.Context{}}
}

// acquire adds a leased shard, in place of the same shard under an earlier lease. It returns false if the shard is
// already held under this or a later lease, or if its job was stopped here. Its items may run until ctx ends or the
// shard is removed.
func (h *heldPartition) acquire(ctx context.Context, now time.Time, s job.LeasedShard) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if !h.holder.Acquire(now, s) {
		return false
	}

	h.cancelShard(s.Ref())

	k := leaseRef{ref: s.Ref(), lease: s.Lease}
	h.contexts[k], h.cancels[k] = context.WithCancel(ctx) //nolint:gosec // cancelShard calls the cancel function

	return true
}

// nextTask returns the next task to run and the context of its shard; false if no task is ready.
func (h *heldPartition) nextTask(now time.Time) (job.Task, context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	t, ok := h.holder.Next(now)
	if !ok {
		return t, nil, false
	}

	return t, h.contexts[leaseRef{ref: t.Ref(), lease: t.Lease()}], true
}

// nextUrgency returns the urgency of the next task. If no task is ready, it returns false and the time at which one may
// be, or the zero time if no item is queued.
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

// canStart reports whether the lease of a shard lasts for longer than sendTimeout.
func (h *heldPartition) canStart(now time.Time, r job.ShardRef, sendTimeout time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.CanStart(now, r, sendTimeout)
}

func (h *heldPartition) dueReports(now time.Time) []job.Report {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.DueReports(now)
}

// handleReply applies the reply to a report, and reports whether the shard was removed and its items cancelled.
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

// cutOff cancels and removes the shards whose last renewal is longer ago than bound, and returns their number.
func (h *heldPartition) cutOff(now time.Time, bound time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.CutOff(now, bound)
	for _, r := range l {
		h.cancelShard(r)
	}

	return len(l)
}

// stopJob cancels and removes the shards of a job, and returns their number. From then on no shard of the job is
// acquired.
func (h *heldPartition) stopJob(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.holder.StopJob(id)
	for _, r := range l {
		h.cancelShard(r)
	}

	return len(l)
}

// releaseAll cancels and removes all shards and returns their last reports.
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

// pullState returns the shards that are held, the jobs that were stopped here, and whether a pull is due.
func (h *heldPartition) pullState(now time.Time) (held []job.ShardRef, refused []string, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.holder.HeldShards(), h.holder.StoppedJobs(), !now.Before(h.nextPull)
}

// schedulePull sets the time of the next pull: at once if the last one got shards, else after a delay that doubles from
// minPullDelay to maxPullDelay.
func (h *heldPartition) schedulePull(now time.Time, got bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.pullDelay = min(maxPullDelay, max(minPullDelay, 2*h.pullDelay)) //nolint:mnd // exponential backoff
	if got {
		h.pullDelay = 0
	}

	h.nextPull = now.Add(h.pullDelay)
}

// cancelShard cancels the running items of a shard, under any lease. The caller holds the lock.
func (h *heldPartition) cancelShard(r job.ShardRef) {
	for k, stop := range h.cancels {
		if k.ref == r {
			stop()
			delete(h.cancels, k)
			delete(h.contexts, k)
		}
	}
}
