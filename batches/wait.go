package batches

import (
	"context"
	"time"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/internal/batch/waiting"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/routing"
)

// LineLimiter limits the rate of log lines of a kind.
type LineLimiter interface {
	// Allow reports whether a line of a kind may be written now.
	Allow(kind string, now time.Time) bool
}

// WaitCounter counts items that wait.
type WaitCounter interface {
	// CountItemWait counts an item that has been without an attempt for a second, or longer for a new reason.
	CountItemWait(reason string)
}

// allLines allows all lines.
type allLines struct{}

func (allLines) Allow(string, time.Time) bool { return true }

type noWaitCounter struct{}

func (noWaitCounter) CountItemWait(string) {}

const (
	// waitInterval is the time between two passes over the items that wait.
	waitInterval = 500 * time.Millisecond
	// waitCostFactor lengthens the time between two passes that take long, as with hundreds of thousands of open items: a
	// pass takes less than 1 in 50 of a core.
	waitCostFactor = 50

	eventItemWaiting = "item_waiting"
	eventJobWaiting  = "job_waiting"
	eventJobRunner   = "job_runner"

	// noRouteCode is the code of an attempt that found no route. It is not an outcome code, as no caller receives it.
	noRouteCode = "no_route"
)

// WithWaitReports sets the limiter of the log lines about items that wait and the counter of such items, and returns r. It
// must be called before Run.
func (r *Runner) WithWaitReports(l LineLimiter, c WaitCounter) *Runner {
	r.lines, r.waitCounter = l, c

	return r
}

// waitState is what explains why no attempt of an item is in progress. Runner.mu guards it.
type waitState struct {
	idleSince time.Time // end of the last attempt that a target had, or when the daemon first considered the item
	startedAt time.Time // of the current attempt
	endedAt   time.Time // of the last attempt
	sent      bool      // the current attempt has been sent to a target
	attempts  int       // number of attempts so far, including those that got no slot
	code      string    // outcome of the last attempt
	codeSince time.Time // end of the first of the last attempts in a row with this outcome
	message   string
	refusedAt time.Time // when the item was first refused a place since its last attempt; zero if it was not
}

func newWaitState(now time.Time) waitState { return waitState{idleSince: now} }

// start records that an attempt of the item starts.
func (s *waitState) start(now time.Time) {
	s.startedAt, s.refusedAt, s.sent = now, time.Time{}, false
	s.attempts++
}

// refusePlace records that the item was refused a place.
func (s *waitState) refusePlace(now time.Time) {
	if s.refusedAt.IsZero() {
		s.refusedAt = now
	}
}

// end records the end of an attempt and its outcome.
func (s *waitState) end(code, message string, now time.Time) {
	if s.code != code || s.codeSince.IsZero() {
		s.codeSince = now
	}

	s.code, s.message, s.endedAt, s.sent = code, message, now, false
}

// idleOrEnded returns the time since when no attempt of the item has been in progress or waited for a slot.
func (s *waitState) idleOrEnded() time.Time {
	if s.endedAt.After(s.idleSince) {
		return s.endedAt
	}

	return s.idleSince
}

// startAttempt records that a request is sent through the filter chain for an item.
func (r *Runner) startAttempt(u *runningItem, q *filter.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.attempts[q] = u
}

// endAttempt records the end of an attempt: the status that a target responded with, 0 for none, and the error.
func (r *Runner) endAttempt(u *runningItem, q *filter.Request, status int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.attempts, q)

	s, now := &u.wait, r.clock()

	if s.sent || status != 0 {
		s.idleSince = now
	}

	switch {
	case err != nil:
		s.end(string(outcome.From(err).Code()), err.Error(), now)
	case status == statusFailed:
		s.end(string(outcome.TargetFailed), "the target reported that the attempt failed", now)
	default:
		s.end("", "", now)
	}
}

// noteNoRoute records that an attempt of an item found no route.
func (r *Runner) noteNoRoute(u *runningItem) {
	r.mu.Lock()
	defer r.mu.Unlock()

	u.wait.end(noRouteCode, "the routes in force have no batch route for the job", r.clock())
}

// Watch records whether the attempt of an item is at a target. It implements filter.Watcher and ignores other requests.
func (r *Runner) Watch(q *filter.Request, s filter.Step) {
	if q.Class() != filter.Batch {
		return
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if u, ok := r.attempts[q]; ok {
		u.wait.sent = s.Name() == "sent"

		if s.Name() == "attempt_failed" {
			u.wait.idleSince = r.clock()
		}
	}
}

// watchWaits periodically records why open items wait and logs the changes, until ctx ends.
func (r *Runner) watchWaits(ctx context.Context) {
	for ctx.Err() == nil {
		start := r.clock()
		r.observeWaits(start)

		select {
		case <-time.After(max(waitInterval, waitCostFactor*r.clock().Sub(start))):
		case <-ctx.Done():
		}
	}
}

// observeWaits makes one pass over the open items of the jobs that this daemon runs.
func (r *Runner) observeWaits(start time.Time) {
	t := r.routes.Table()

	for _, p := range r.batches.followedPartitions() {
		for _, v := range p.replica.OpenJobs() {
			if !r.noteRun(p, v, r.clock()) {
				continue
			}

			for _, i := range v.OpenItems() {
				r.observeItem(p, t, v, i, r.clock())
			}
		}
	}

	now := r.clock()

	for _, s := range r.waits.EndPass(start, now) {
		r.logSummary(s, now)
	}
}

// observeItem records why an item of a job that this daemon runs waits, and logs the cause if it is worth a line.
func (r *Runner) observeItem(p *partition, t *routing.Table, v batch.View, i batch.Item, now time.Time) {
	c, s, ok := r.itemCause(p, t, v, i.ID(), now)
	if !ok {
		return
	}

	d := r.waits.Observe(v.ID(), i.ID(), c, s.idleSince, now)
	if d == waiting.Quiet {
		return
	}

	if d == waiting.Changed {
		r.waitCounter.CountItemWait(c.Reason().String())
	}

	if !r.lines.Allow(eventItemWaiting+" "+c.Reason().String(), now) {
		return
	}

	e := r.logger.Info().Str("event", eventItemWaiting).Str("job", v.ID()).Str("item", i.ID()).Str("reason", c.Reason().String()).
		Int64("reason_age_ms", now.Sub(c.Since()).Milliseconds()).Int64("idle_ms", now.Sub(s.idleSince).Milliseconds()).Int("attempts", s.attempts)

	if c.Code() != "" {
		e = e.Str("code", c.Code()).Str("error", c.Message())
	}

	if used, limit := c.Usage(); limit > 0 {
		e = e.Int("used", used).Int("limit", limit)
	}

	if !c.RetryAt().IsZero() {
		e = e.Int64("retry_in_ms", c.RetryAt().Sub(now).Milliseconds())
	}

	switch c.Reason() {
	case waiting.NoPlace:
		e = e.Int("used", r.ActiveItems()).Int("limit", maxActiveItems)
	case waiting.Quarantined:
		e = e.Strs("parts", r.promptParts(i.Header()))
	}

	e.Msg("no attempt of an open item is in progress")
}

// itemCause returns why an item of a job that this daemon runs waits. It returns false if an attempt of the item is at a
// target.
func (r *Runner) itemCause(p *partition, t *routing.Table, v batch.View, item string, now time.Time) (waiting.Cause, waitState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	u, ok := r.items[v.ID()+"/"+item]
	if !ok {
		s := newWaitState(v.AcceptedAt())

		switch {
		case !p.consumer.IsLoaded():
			return waiting.New(waiting.Loading, s.idleSince), s, true
		case !hasBatchRoute(t, v):
			return waiting.New(waiting.NoRoute, r.noRouteSince(v, s.idleSince)), s, true
		default:
			return waiting.New(waiting.NotTried, s.idleSince), s, true
		}
	}

	s := u.wait

	switch unpublished := r.unpublished[p.number]; {
	case u.published:
		return waiting.New(waiting.Published, u.finishedAt), s, true
	case u.finished:
		return waiting.New(waiting.Publishing, u.finishedAt).WithError("", u.reason), s, true
	case u.active && s.sent:
		return waiting.Cause{}, s, false
	case u.active:
		return waiting.New(waiting.Slot, s.startedAt).WithError(s.code, s.message), s, true
	case r.leaving:
		return waiting.New(waiting.Leaving, s.idleOrEnded()), s, true
	case !p.consumer.IsLoaded():
		return waiting.New(waiting.Loading, s.idleOrEnded()), s, true
	case !hasBatchRoute(t, v):
		return waiting.New(waiting.NoRoute, r.noRouteSince(v, now)), s, true
	case s.code == string(outcome.Quarantined) && now.Before(u.retryAt):
		return waiting.New(waiting.Quarantined, s.codeSince).WithError(s.code, s.message).WithRetryAt(u.retryAt), s, true
	case now.Before(u.retryAt):
		return waiting.New(waiting.RetryDelay, s.endedAt).WithError(s.code, s.message).WithRetryAt(u.retryAt), s, true
	case unpublished >= maxUnpublishedResults:
		return waiting.New(waiting.ResultBacklog, s.idleOrEnded()).WithUsage(unpublished, maxUnpublishedResults), s, true
	case !s.refusedAt.IsZero():
		return waiting.New(waiting.NoPlace, s.refusedAt), s, true
	default:
		return waiting.New(waiting.NotTried, s.idleOrEnded()), s, true
	}
}

// noRouteSince returns the time since when a job has had no route, or d if it has not been noted. The caller holds r.mu.
func (r *Runner) noRouteSince(v batch.View, d time.Time) time.Time {
	if s, ok := r.unroutedSince[v.ID()]; ok {
		return s
	}

	return d
}

// hasBatchRoute reports whether the routes have a batch route for a job. t may be nil.
func hasBatchRoute(t *routing.Table, v batch.View) bool {
	if t == nil {
		return false
	}

	o, ok := t.Match(v.Host(), v.Path())

	return ok && o.Kind() == routing.Batch
}

// logSummary logs the counts of a job's items that wait, or that this daemon has no more to do with the job.
func (r *Runner) logSummary(s waiting.Summary, now time.Time) {
	if s.IsClosed() {
		if s.Run().Runs() && r.lines.Allow(eventJobRunner, now) {
			r.logger.Info().Str("event", eventJobRunner).Str("job", s.Job()).Bool("runs", false).Str("why", waiting.JobClosed.String()).
				Msg("the job has no open items here any more")
		}

		return
	}

	if !r.lines.Allow(eventJobWaiting, now) {
		return
	}

	e := r.logger.Info().Str("event", eventJobWaiting).Str("job", s.Job()).Str("why", s.Run().String())

	for _, v := range waiting.Reasons() {
		if n := s.Counts().Of(v); n > 0 {
			e = e.Int(v.String(), n)
		}
	}

	e.Int("waiting", s.Counts().Total()).Msg("items of a job wait")
}

// Waits returns the items that have waited for the longest time, at most n, and the number of all that wait by reason.
func (r *Runner) Waits(n int) ([]waiting.Item, waiting.Counts) { return r.waits.Longest(n) }

// Explain returns why no attempt of an open item is at a target, as this daemon sees it now. It returns false if one is,
// or this daemon does not know the item as open.
func (r *Runner) Explain(job, item string) (waiting.Cause, bool) {
	now := r.clock()

	p := r.batches.followedPartition(r.batches.Partition(job))
	if p == nil {
		return waiting.Cause{}, false
	}

	v, ok := p.replica.Job(job)
	if !ok && !p.consumer.IsLoaded() {
		return waiting.New(waiting.Loading, now), true
	}

	if !ok || p.replica.IsItemClosed(job, item) {
		return waiting.Cause{}, false
	}

	switch d, vm := r.decideRun(p, v, now); {
	case d == waiting.DaemonLeaving:
		return waiting.New(waiting.Leaving, now), true
	case !d.Runs():
		return waiting.New(waiting.OtherRunner, now).WithVM(vm), true
	}

	c, _, ok := r.itemCause(p, r.routes.Table(), v, item, now)

	return c, ok
}
