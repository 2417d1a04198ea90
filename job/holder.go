package job

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of reports.
const (
	// ReportResults is the number of results that one report carries at most.
	ReportResults = 256
	// ReportBytes is the size of results from which a report is sent at once.
	ReportBytes = 256 << 10
	// ReportDelay is how long a result waits for others.
	ReportDelay = 300 * time.Millisecond
	// RenewInterval is the longest time between two reports of a shard; a cancellation reaches its holder with the
	// answer to the next one.
	RenewInterval = 500 * time.Millisecond
	// renewals is the number of reports in the duration of a lease, so that some may be lost.
	renewals = 4
	// GiveBackTime is how long the items of a shard may find no target before the shard is given back.
	GiveBackTime = 10 * time.Second
	// MaxResultBytes bounds the body of one result, so that a report fits into a message.
	MaxResultBytes = 2 << 20
)

const (
	// firstBackoff is the wait before an item's second attempt. It doubles up to lastBackoff.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 5 * time.Second
)

// Holder decides what the daemon that runs leased shards does next: which item to run, when to report, when to
// stop. It is not safe for concurrent use. The zero value is ready to use.
type Holder struct {
	shards  map[Ref]*held
	stopped map[string]bool
}

// held is a shard that is run here.
type held struct {
	shard    Shard
	queue    []queued
	inFlight map[uint32]bool
	results  []Result
	bytes    int
	oldest   time.Time
	tries    map[uint32]int
	unsent   map[uint32]bool // items that may have a start record and were not sent since
	refused  time.Time       // since when items found no target and none ended; zero if not so
	back     bool            // the shard is to be given back
	sending  bool
	sentAt   time.Time
	renewed  time.Time
}

type queued struct {
	item  ShardItem
	runs  int
	ready time.Time
}

// Take starts to hold a shard whose lease was known to be in force at time now. It reports false for a shard that is
// held under this lease or whose job was stopped here.
func (h *Holder) Take(now time.Time, s Shard) bool {
	if v, ok := h.shards[s.Ref()]; ok && v.shard.Lease >= s.Lease || h.stopped[s.Job] {
		return false
	}

	v := &held{shard: s, inFlight: map[uint32]bool{}, tries: map[uint32]int{}, unsent: map[uint32]bool{}, sentAt: now, renewed: now}
	for _, i := range s.Items {
		v.queue = append(v.queue, queued{item: i})
	}

	v.shard.Items = nil

	if h.shards == nil {
		h.shards = map[Ref]*held{}
	}

	h.shards[s.Ref()] = v

	return true
}

// Head returns the rank of the task that Next would return. Without one it returns the time at which there may be
// one, or the zero time.
func (h *Holder) Head(now time.Time) (Rank, bool, time.Time) {
	v, at := h.best(now)
	if v == nil {
		return Rank{}, false, at
	}

	return v.rank(), true, time.Time{}
}

// Next hands out a task: of the highest priority, then of the earliest deadline. Items that wait for another attempt do
// not hold up the ones behind them.
func (h *Holder) Next(now time.Time) (Task, bool) {
	v, _ := h.best(now)
	if v == nil {
		return Task{}, false
	}

	i := v.ready(now)
	q := v.queue[i]
	v.queue = slices.Delete(v.queue, i, i+1)
	v.inFlight[q.item.Index] = true
	delete(v.unsent, q.item.Index)

	s := v.shard

	return Task{shard: &s, item: q.item, runs: q.runs}, true
}

func (h *Holder) best(now time.Time) (*held, time.Time) {
	var b *held

	var at time.Time

	for _, v := range h.shards {
		if v.ready(now) < 0 {
			at = earliest(at, v.nextReady())

			continue
		}

		if b == nil || v.rank().Before(b.rank()) || !b.rank().Before(v.rank()) && less(v.shard.Ref(), b.shard.Ref()) {
			b = v
		}
	}

	return b, at
}

func less(a, b Ref) bool { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Shard, b.Shard)) < 0 }

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}

	return a
}

func (v *held) rank() Rank { return Rank{priority: v.shard.Priority, deadline: v.shard.DeadlineMS} }

func (v *held) ready(now time.Time) int {
	return slices.IndexFunc(v.queue, func(q queued) bool { return !q.ready.After(now) })
}

func (v *held) nextReady() time.Time {
	var t time.Time
	for _, q := range v.queue {
		t = earliest(t, q.ready)
	}

	return t
}

// End takes the end of a task. r has the target's answer or the reason; its index, effect and attempts are set
// here. The end of a task whose shard is not held under its lease any more has no effect.
func (h *Holder) End(now time.Time, t Task, d Verdict, r Result) {
	v, ok := h.shards[t.Ref()]
	if !ok || v.shard.Lease != t.Lease() || !v.inFlight[t.Index()] {
		return
	}

	delete(v.inFlight, t.Index())

	if d == Refused {
		v.refuse(now, t)

		return
	}

	v.refused = time.Time{}
	t.item.Attempts++

	if retryable(d, t, v.shard) {
		v.tries[t.Index()] = t.item.Attempts
		v.queue = append(v.queue, queued{item: t.item, runs: t.runs + 1, ready: now.Add(backoff(t.runs))})

		return
	}

	r.Index, r.Attempts, r.Effect = t.Index(), t.item.Attempts, effectOf(d, t.Idempotent())
	if len(r.Body) > MaxResultBytes {
		r.Effect, r.Body, r.Reason = Failed, nil, "the result is above the bound of a result's size"
	}

	if len(v.results) == 0 {
		v.oldest = now
	}

	delete(v.tries, t.Index())

	v.results = append(v.results, r)
	v.bytes += len(r.Body) + len(r.Reason)
}

// refuse queues an item that was not sent. A shard whose items find no target for a while is given back, as another failure
// domain may have room. Items that may not run twice stay, as their wait follows their start record.
func (v *held) refuse(now time.Time, t Task) {
	v.queue = append(v.queue, queued{item: t.item, runs: t.runs + 1, ready: now.Add(backoff(t.runs))})

	if !v.shard.Idempotent {
		v.unsent[t.Index()] = !t.item.Started

		return
	}

	if v.refused.IsZero() {
		v.refused = now
	}

	v.back = len(v.inFlight) == 0 && now.Sub(v.refused) >= GiveBackTime
}

func retryable(d Verdict, t Task, s Shard) bool {
	return (d == Faulted || d == Uncertain) && s.Idempotent && t.item.Attempts < s.MaxAttempts
}

// effectOf returns the effect of an item that ended. An item that may be run again fails when its attempts are used
// up; another one has an unknown effect once it was sent without an answer.
func effectOf(d Verdict, idempotent bool) Effect {
	switch {
	case d == Succeeded:
		return Done
	case d == Uncertain && !idempotent:
		return Unknown
	default:
		return Failed
	}
}

func backoff(runs int) time.Duration {
	d := firstBackoff
	for range runs {
		if d >= lastBackoff {
			return lastBackoff
		}

		d *= 2
	}

	return d
}

// Due returns the reports to send at time now. Each is answered by Answered or Lost before there is another one
// for its shard.
func (h *Holder) Due(now time.Time) []Report {
	var l []Report

	for _, v := range h.shards {
		if !v.sending && v.due(now) {
			l = append(l, v.report(now))
		}
	}

	slices.SortFunc(l, func(a, b Report) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Shard, b.Shard)) })

	return l
}

func (v *held) due(now time.Time) bool {
	interval := min(RenewInterval, time.Duration(v.shard.DurationMS)*time.Millisecond/renewals)

	return v.back || now.Sub(v.sentAt) >= interval || v.bytes >= ReportBytes || len(v.results) >= ReportResults ||
		len(v.results) > 0 && (now.Sub(v.oldest) >= ReportDelay || v.idle())
}

// idle reports whether no item of the shard is queued or in flight.
func (v *held) idle() bool { return len(v.queue) == 0 && len(v.inFlight) == 0 }

func (v *held) report(now time.Time) Report {
	v.sending, v.sentAt = true, now

	n, size := 0, 0
	for n < len(v.results) && n < ReportResults && size < ReportBytes {
		size += len(v.results[n].Body)
		n++
	}

	r := Report{Job: v.shard.Job, Shard: v.shard.Shard, Lease: v.shard.Lease, Results: slices.Clone(v.results[:n])}
	for i, c := range v.tries {
		r.Tries = append(r.Tries, Try{Index: i, Attempts: c})
	}

	slices.SortFunc(r.Tries, func(a, b Try) int { return cmp.Compare(a.Index, b.Index) })

	r.Release = v.back && len(v.inFlight) == 0 && n == len(v.results)
	v.back = r.Release

	return r
}

// Answered takes the answer to a report, and reports whether the shard is held no longer: because its lease was replaced,
// its job was cancelled or all its items are confirmed.
func (h *Holder) Answered(r Report, a Renewal) bool {
	v, ok := h.shards[r.Ref()]
	if !ok || v.shard.Lease != r.Lease {
		return false
	}

	if !a.Holds || a.Cancelled || r.Release {
		delete(h.shards, r.Ref())

		return true
	}

	v.sending, v.renewed = false, v.sentAt
	v.shard.Priority, v.shard.DeadlineMS = a.Priority, a.DeadlineMS
	v.results = slices.Clone(v.results[len(r.Results):])
	v.bytes = 0

	for _, t := range v.results {
		v.bytes += len(t.Body) + len(t.Reason)
	}

	for _, t := range r.Tries {
		if v.tries[t.Index] == t.Attempts {
			delete(v.tries, t.Index)
		}
	}

	if v.idle() && len(v.results) == 0 {
		delete(h.shards, r.Ref())

		return true
	}

	return false
}

// Lost notes a report without an answer. Its results stay for the next one; a second copy of a result has no effect.
func (h *Holder) Lost(r Report) {
	if v, ok := h.shards[r.Ref()]; ok && v.shard.Lease == r.Lease {
		v.sending = false
	}
}

// MayStart reports whether items that may not run twice may be dispatched at time now: the lease, counted from the
// last confirmed report, runs for longer than the send may take.
func (h *Holder) MayStart(now time.Time, r Ref, send time.Duration) bool {
	v, ok := h.shards[r]

	return ok && now.Add(send).Before(v.renewed.Add(time.Duration(v.shard.DurationMS)*time.Millisecond))
}

// Cutoff stops the shards whose last confirmed report is longer ago than bound, and returns them.
func (h *Holder) Cutoff(now time.Time, bound time.Duration) []Ref {
	return h.drop(func(v *held) bool { return now.Sub(v.renewed) > bound })
}

// Stop stops a job at this daemon for good and returns its shards.
func (h *Holder) Stop(job string) []Ref {
	if h.stopped == nil {
		h.stopped = map[string]bool{}
	}

	h.stopped[job] = true

	return h.drop(func(v *held) bool { return v.shard.Job == job })
}

func (h *Holder) drop(f func(v *held) bool) []Ref {
	var l []Ref

	for r, v := range h.shards {
		if f(v) {
			l = append(l, r)
			delete(h.shards, r)
		}
	}

	slices.SortFunc(l, func(a, b Ref) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Shard, b.Shard)) })

	return l
}

// Release returns the last reports of all shards, which give their leases back, and holds none of them any longer.
func (h *Holder) Release(now time.Time) []Report {
	var l []Report

	for _, v := range h.shards {
		for {
			r := v.report(now)
			v.results = v.results[len(r.Results):]
			r.Release = len(v.results) == 0

			if r.Release {
				r.Unsent = v.notSent()
				l = append(l, r)

				break
			}

			l = append(l, r)
		}
	}

	h.shards = nil

	return l
}

// notSent returns the items with a start record that were not sent, in order.
func (v *held) notSent() []uint32 {
	var l []uint32

	for i, ok := range v.unsent {
		if ok {
			l = append(l, i)
		}
	}

	slices.Sort(l)

	return l
}

// Held returns the shards that are held, in order.
func (h *Holder) Held() []Ref {
	l := make([]Ref, 0, len(h.shards))
	for r := range h.shards {
		l = append(l, r)
	}

	slices.SortFunc(l, func(a, b Ref) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Shard, b.Shard)) })

	return l
}

// Stopped returns the jobs that were stopped here.
func (h *Holder) Stopped() []string {
	l := make([]string, 0, len(h.stopped))
	for j := range h.stopped {
		l = append(l, j)
	}

	slices.Sort(l)

	return l
}

// Load returns the number of items that are queued or in flight.
func (h *Holder) Load() int {
	n := 0
	for _, v := range h.shards {
		n += len(v.queue) + len(v.inFlight)
	}

	return n
}
