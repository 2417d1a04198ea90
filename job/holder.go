package job

import (
	"cmp"
	"slices"
	"time"
)

// Limits for leased shards and the reports about them.
const (
	// MaxReportResults is the maximum number of results in one report.
	MaxReportResults = 256
	// ReportThresholdBytes is the size of the results of a shard at which a report is sent without delay. A report
	// carries no further result once its results have this size.
	ReportThresholdBytes = 256 << 10
	// MaxReportDelay is how long a result waits for others to be reported with it.
	MaxReportDelay = 300 * time.Millisecond
	// RenewInterval is the maximum time between two reports of a shard. A cancellation reaches its holder with the
	// reply to the next report.
	RenewInterval = 500 * time.Millisecond
	// renewalsPerLease is the minimum number of reports within the duration of a lease, so that some may be lost.
	renewalsPerLease = 4
	// NoTargetTimeout is how long the items of a shard may find no target before the shard is released.
	NoTargetTimeout = 10 * time.Second
	// MaxResultBytes is the maximum size of the body of one result, so that a report fits into a message.
	MaxResultBytes = 2 << 20
)

const (
	// minRetryDelay is the delay before an item is tried again for the first time. It doubles up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Holder decides what a daemon does with the shards that it has leases on: which item it runs next, when it reports,
// and when it stops. It is not safe for concurrent use. The zero value is ready to use.
type Holder struct {
	shards  map[ShardRef]*heldShard
	stopped map[string]bool
}

// heldShard is a shard that this daemon has a lease on and runs. Its queue has the items that wait for their first
// attempt or, until readyAt, for another one.
type heldShard struct {
	shard          LeasedShard
	queue          []queuedItem
	inFlight       map[uint32]bool
	results        []Result // not confirmed by a reply yet
	resultBytes    int
	oldestResultAt time.Time
	attempts       map[uint32]int  // numbers of attempts at pending items that no reply has confirmed yet
	unsent         map[uint32]bool // true for items that were never sent although they may have a start record
	notRunSince    time.Time       // first attempt with outcome NotRun since the last other outcome; zero if none
	shouldRelease  bool            // the lease is to be released with the next report
	reportInFlight bool
	reportedAt     time.Time
	renewedAt      time.Time // when the last confirmed report was sent, or the shard was acquired
}

type queuedItem struct {
	item    ShardItem
	retries int
	readyAt time.Time
}

// Acquire adds a shard whose lease was known to be in force at time now. It reports false for a shard that is held
// under this or a later lease and for one whose job was stopped at this daemon.
func (h *Holder) Acquire(now time.Time, s LeasedShard) bool {
	if v, ok := h.shards[s.Ref()]; ok && v.shard.Lease >= s.Lease || h.stopped[s.Job] {
		return false
	}

	v := &heldShard{shard: s, inFlight: map[uint32]bool{}, attempts: map[uint32]int{}, unsent: map[uint32]bool{}, reportedAt: now, renewedAt: now}
	for _, i := range s.Items {
		v.queue = append(v.queue, queuedItem{item: i})
	}

	v.shard.Items = nil

	if h.shards == nil {
		h.shards = map[ShardRef]*heldShard{}
	}

	h.shards[s.Ref()] = v

	return true
}

// NextUrgency returns the urgency of the task that Next would return. If there is none, it returns false and the time
// at which there may be one, or the zero time if no item is queued.
func (h *Holder) NextUrgency(now time.Time) (Urgency, bool, time.Time) {
	v, at := h.mostUrgent(now)
	if v == nil {
		return Urgency{}, false, at
	}

	return v.urgency(), true, time.Time{}
}

// Next returns a task to run, of the highest priority, then of the earliest deadline. Items that wait for another
// attempt do not delay the ones queued after them.
func (h *Holder) Next(now time.Time) (Task, bool) {
	v, _ := h.mostUrgent(now)
	if v == nil {
		return Task{}, false
	}

	i := v.readyIndex(now)
	q := v.queue[i]
	v.queue = slices.Delete(v.queue, i, i+1)
	v.inFlight[q.item.Index] = true
	delete(v.unsent, q.item.Index)

	s := v.shard

	return Task{shard: &s, item: q.item, retries: q.retries}, true
}

// mostUrgent returns the shard whose ready item runs next. If no item is ready, it returns nil and the time at which
// the first one is, or the zero time if no item is queued.
func (h *Holder) mostUrgent(now time.Time) (*heldShard, time.Time) {
	var b *heldShard

	var at time.Time

	for _, v := range h.shards {
		if v.readyIndex(now) < 0 {
			at = earliest(at, v.nextReadyAt())

			continue
		}

		if b == nil || v.urgency().Before(b.urgency()) || !b.urgency().Before(v.urgency()) && refLess(v.shard.Ref(), b.shard.Ref()) {
			b = v
		}
	}

	return b, at
}

func refLess(a, b ShardRef) bool {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Shard, b.Shard)) < 0
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}

	return a
}

func (v *heldShard) urgency() Urgency {
	return Urgency{priority: v.shard.Priority, deadline: v.shard.DeadlineMS}
}

func (v *heldShard) readyIndex(now time.Time) int {
	return slices.IndexFunc(v.queue, func(q queuedItem) bool { return !q.readyAt.After(now) })
}

func (v *heldShard) nextReadyAt() time.Time {
	var t time.Time
	for _, q := range v.queue {
		t = earliest(t, q.readyAt)
	}

	return t
}

// EndTask records the outcome of a task. r has the target's response or the reason of a failure; EndTask sets its
// index, effect and attempts. It has no effect if the shard is no longer held under the lease of the task.
func (h *Holder) EndTask(now time.Time, t Task, o AttemptOutcome, r Result) {
	v, ok := h.shards[t.Ref()]
	if !ok || v.shard.Lease != t.Lease() || !v.inFlight[t.Index()] {
		return
	}

	delete(v.inFlight, t.Index())

	if o == NotRun {
		v.requeueNotRun(now, t)

		return
	}

	v.notRunSince = time.Time{}
	t.item.Attempts++

	if shouldRetry(o, t, v.shard) {
		v.attempts[t.Index()] = t.item.Attempts
		v.queue = append(v.queue, queuedItem{item: t.item, retries: t.retries + 1, readyAt: now.Add(retryDelay(t.retries))})

		return
	}

	r.Index, r.Attempts, r.Effect = t.Index(), t.item.Attempts, effectOf(o, t.Idempotent())
	if len(r.Body) > MaxResultBytes {
		r.Effect, r.Body, r.Reason = Failed, nil, "the result is above the bound of a result's size"
	}

	if len(v.results) == 0 {
		v.oldestResultAt = now
	}

	delete(v.attempts, t.Index())

	v.results = append(v.results, r)
	v.resultBytes += len(r.Body) + len(r.Reason)
}

// requeueNotRun queues an item that was not run. A shard of idempotent items is released after NoTargetTimeout without
// any other outcome, as another failure domain may have room. A shard of items that may not run twice is kept: such an
// item waits for a target only after its start record, so that the next holder would not dispatch it.
func (v *heldShard) requeueNotRun(now time.Time, t Task) {
	v.queue = append(v.queue, queuedItem{item: t.item, retries: t.retries + 1, readyAt: now.Add(retryDelay(t.retries))})

	if !v.shard.Idempotent {
		v.unsent[t.Index()] = !t.item.Started

		return
	}

	if v.notRunSince.IsZero() {
		v.notRunSince = now
	}

	v.shouldRelease = len(v.inFlight) == 0 && now.Sub(v.notRunSince) >= NoTargetTimeout
}

func shouldRetry(o AttemptOutcome, t Task, s LeasedShard) bool {
	return (o == TargetFailed || o == Uncertain) && s.Idempotent && t.item.Attempts < s.MaxAttempts
}

// effectOf returns the effect of an item whose last attempt had outcome o. An idempotent item without a result has
// failed, as its attempts are used up; one that may not run twice has an unknown effect if it was sent and its outcome
// is not known.
func effectOf(o AttemptOutcome, idempotent bool) Effect {
	switch {
	case o == Succeeded:
		return Done
	case o == Uncertain && !idempotent:
		return Unknown
	default:
		return Failed
	}
}

func retryDelay(retries int) time.Duration {
	d := minRetryDelay
	for range retries {
		if d >= maxRetryDelay {
			return maxRetryDelay
		}

		d *= 2
	}

	return d
}

// DueReports returns the reports to send at time now. A shard has no further report until HandleReply or HandleNoReply
// is called with the last one.
func (h *Holder) DueReports(now time.Time) []Report {
	var l []Report

	for _, v := range h.shards {
		if !v.reportInFlight && v.isReportDue(now) {
			l = append(l, v.nextReport(now))
		}
	}

	slices.SortFunc(l, func(a, b Report) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Shard, b.Shard)) })

	return l
}

func (v *heldShard) isReportDue(now time.Time) bool {
	interval := min(RenewInterval, time.Duration(v.shard.DurationMS)*time.Millisecond/renewalsPerLease)

	return v.shouldRelease || now.Sub(v.reportedAt) >= interval || v.resultBytes >= ReportThresholdBytes || len(v.results) >= MaxReportResults ||
		len(v.results) > 0 && (now.Sub(v.oldestResultAt) >= MaxReportDelay || v.isIdle())
}

// isIdle reports whether no item of the shard is queued or in flight.
func (v *heldShard) isIdle() bool { return len(v.queue) == 0 && len(v.inFlight) == 0 }

func (v *heldShard) nextReport(now time.Time) Report {
	v.reportInFlight, v.reportedAt = true, now

	n, size := 0, 0
	for n < len(v.results) && n < MaxReportResults && size < ReportThresholdBytes {
		size += len(v.results[n].Body)
		n++
	}

	r := Report{Job: v.shard.Job, Shard: v.shard.Shard, Lease: v.shard.Lease, Results: slices.Clone(v.results[:n])}
	for i, c := range v.attempts {
		r.Tries = append(r.Tries, ItemAttempts{Index: i, Attempts: c})
	}

	slices.SortFunc(r.Tries, func(a, b ItemAttempts) int { return cmp.Compare(a.Index, b.Index) })

	r.Release = v.shouldRelease && len(v.inFlight) == 0 && n == len(v.results)
	v.shouldRelease = r.Release

	return r
}

// HandleReply handles reply a to report r. It reports whether the shard was removed, because its lease is no longer in
// force or was released by the report, its job was cancelled, or the results of all its items are confirmed.
func (h *Holder) HandleReply(r Report, a Renewal) bool {
	v, ok := h.shards[r.Ref()]
	if !ok || v.shard.Lease != r.Lease {
		return false
	}

	if !a.Holds || a.Cancelled || r.Release {
		delete(h.shards, r.Ref())

		return true
	}

	v.reportInFlight, v.renewedAt = false, v.reportedAt
	v.shard.Priority, v.shard.DeadlineMS = a.Priority, a.DeadlineMS
	v.results = slices.Clone(v.results[len(r.Results):])
	v.resultBytes = 0

	for _, t := range v.results {
		v.resultBytes += len(t.Body) + len(t.Reason)
	}

	for _, t := range r.Tries {
		if v.attempts[t.Index] == t.Attempts {
			delete(v.attempts, t.Index)
		}
	}

	if v.isIdle() && len(v.results) == 0 {
		delete(h.shards, r.Ref())

		return true
	}

	return false
}

// HandleNoReply handles a report that got no reply. Its results are sent again with the next report; a duplicate of a
// result has no effect.
func (h *Holder) HandleNoReply(r Report) {
	if v, ok := h.shards[r.Ref()]; ok && v.shard.Lease == r.Lease {
		v.reportInFlight = false
	}
}

// CanStart reports whether items that may not run twice may be dispatched at time now: the duration of the lease,
// counted from the last confirmed report, has to last for longer than sendTimeout, the maximum time of a send.
func (h *Holder) CanStart(now time.Time, r ShardRef, sendTimeout time.Duration) bool {
	v, ok := h.shards[r]

	return ok && now.Add(sendTimeout).Before(v.renewedAt.Add(time.Duration(v.shard.DurationMS)*time.Millisecond))
}

// CutOff removes the shards whose last confirmed report was sent more than timeout ago and returns them. Their items
// have to stop, as this daemon would not be informed that the job was cancelled or the lease replaced.
func (h *Holder) CutOff(now time.Time, timeout time.Duration) []ShardRef {
	return h.removeIf(func(v *heldShard) bool { return now.Sub(v.renewedAt) > timeout })
}

// StopJob removes the shards of a job and returns them. Acquire accepts no shard of the job from then on.
func (h *Holder) StopJob(job string) []ShardRef {
	if h.stopped == nil {
		h.stopped = map[string]bool{}
	}

	h.stopped[job] = true

	return h.removeIf(func(v *heldShard) bool { return v.shard.Job == job })
}

func (h *Holder) removeIf(f func(v *heldShard) bool) []ShardRef {
	var l []ShardRef

	for r, v := range h.shards {
		if f(v) {
			l = append(l, r)
			delete(h.shards, r)
		}
	}

	slices.SortFunc(l, func(a, b ShardRef) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Shard, b.Shard)) })

	return l
}

// ReleaseAll removes all shards and returns their last reports. The last report of each shard releases its lease. Tasks
// that end later have no effect.
func (h *Holder) ReleaseAll(now time.Time) []Report {
	var l []Report

	for _, v := range h.shards {
		for {
			r := v.nextReport(now)
			v.results = v.results[len(r.Results):]
			r.Release = len(v.results) == 0

			if r.Release {
				r.Unsent = v.unsentItems()
				l = append(l, r)

				break
			}

			l = append(l, r)
		}
	}

	h.shards = nil

	return l
}

// unsentItems returns the indexes of items that were not sent although they may have a start record, in order.
func (v *heldShard) unsentItems() []uint32 {
	var l []uint32

	for i, ok := range v.unsent {
		if ok {
			l = append(l, i)
		}
	}

	slices.Sort(l)

	return l
}

// HeldShards returns the held shards, ordered by job and shard.
func (h *Holder) HeldShards() []ShardRef {
	l := make([]ShardRef, 0, len(h.shards))
	for r := range h.shards {
		l = append(l, r)
	}

	slices.SortFunc(l, func(a, b ShardRef) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Shard, b.Shard)) })

	return l
}

// StoppedJobs returns the identifiers of the jobs that were stopped by StopJob, in order.
func (h *Holder) StoppedJobs() []string {
	l := make([]string, 0, len(h.stopped))
	for j := range h.stopped {
		l = append(l, j)
	}

	slices.Sort(l)

	return l
}

// PendingCount returns the number of items that are queued or in flight.
func (h *Holder) PendingCount() int {
	n := 0
	for _, v := range h.shards {
		n += len(v.queue) + len(v.inFlight)
	}

	return n
}
