package controller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/outcome"
)

const (
	// maxSendTime is the assumed longest time from the check of a lease to the sending of the last byte of a request.
	maxSendTime = time.Second
	// lookupTimeout bounds the lookup of one item at its targets.
	lookupTimeout = 3 * time.Second
)

// runningItem is a task of a job shard that this daemon runs.
type runningItem struct {
	partition *heldPartition
	task      job.Task
	ctx       context.Context //nolint:containedctx // ends when the shard is cancelled
}

// startItems records that the non-idempotent items l, all of one shard, are about to be dispatched, and then dispatches
// them. It sends nothing unless the record is confirmed and the lease of the shard is in force.
func (r *Runner) startItems(l []runningItem, wg *sync.WaitGroup) {
	t := l[0].task

	var indexes []int
	for _, v := range l {
		indexes = append(indexes, int(v.task.Index()))
	}

	b, err := job.EncodeIndexes(indexes)
	if err == nil {
		var a job.Renewal

		a, err = r.callStart(l[0].ctx, StartArgs{Partition: l[0].partition.partition, Job: t.Ref().Job, Shard: t.Ref().Shard, Lease: t.Lease(), Items: b})
		if err == nil && !a.Holds {
			err = outcome.New(outcome.Cancelled, outcome.NotRun, "the lease of the shard is not in force")
		}
	}

	for _, v := range l {
		if err != nil {
			r.finishItem(v, job.NotRun, job.Result{Reason: outcome.From(err).Message()})

			continue
		}

		wg.Go(func() { r.runItem(v) })
	}
}

// runItem makes one attempt at an item.
func (r *Runner) runItem(v runningItem) {
	if v.task.ShouldLookUp() {
		r.resolveItem(v)

		return
	}

	if !v.task.Idempotent() && !v.partition.canStart(r.clock(), v.task.Ref(), maxSendTime) {
		r.finishItem(v, job.NotRun, job.Result{Reason: "the lease of the shard ends too soon"})

		return
	}

	s, ok := r.settings.Service(v.task.Service())
	if !ok {
		r.finishItem(v, job.NotRun, job.Result{Reason: "the service is not configured"})

		return
	}

	d := latest(v.task.Deadline(), r.clock().Add(s.Timeout()))

	x, stop := context.WithTimeout(v.ctx, attemptTimeout(s, d.Sub(r.clock())))
	defer stop()

	x = withSlotWait(x, stop)

	var c filter.Collector

	err := r.chain.Handle(x, filter.NewBatchRequest(newItemInput(v.task, s, r.clock()), filter.NewAccount(v.task.Account(), 0), s, d), &c)
	r.updateCapacity(err)

	if err == nil {
		r.finishItem(v, job.Succeeded, newResult(&c))

		return
	}

	e := outcome.From(err)
	if e.Effect() == outcome.Unknown && !v.task.Idempotent() {
		r.resolveItem(v)

		return
	}

	r.finishItem(v, attemptOutcome(e, v.task.Idempotent()), job.Result{Reason: e.Message()})
}

// maxSlotWait bounds the wait of an item for a slot. After that the item is queued again, after the others.
const maxSlotWait = 5 * time.Second

type slotWaitKey struct{}

// withSlotWait calls stop, which cancels x, unless the request reaches EndSlotWait within maxSlotWait.
func withSlotWait(x context.Context, stop context.CancelFunc) context.Context {
	t := time.AfterFunc(maxSlotWait, stop)

	return context.WithValue(x, slotWaitKey{}, sync.OnceValue(t.Stop))
}

// EndSlotWait wraps the last handler of the chain of batch items. An item that reaches it has its slot: the bound on
// the wait no longer applies. An item whose wait timed out before is not sent.
func EndSlotWait(next filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request, s filter.Sink) error {
		if stopTimer, ok := ctx.Value(slotWaitKey{}).(func() bool); ok && !stopTimer() {
			return outcome.New(outcome.Overloaded, outcome.NotRun, "no target had room in time")
		}

		return next.Handle(ctx, r, s)
	})
}

// attemptTimeout returns the timeout of one attempt. Streams have an idle timeout, so that a long response may take all
// the time that remains to the deadline. A plain service has only the timeout of its settings, as its response shows no
// progress.
func attemptTimeout(s filter.Service, remaining time.Duration) time.Duration {
	if s.Plain() {
		return s.Timeout()
	}

	return remaining
}

// resolveItem looks up a non-idempotent item that may have run. If no target knows it, its outcome is uncertain.
func (r *Runner) resolveItem(v runningItem) {
	const reason = "the item was dispatched once and its effect is not known"

	s, ok := r.settings.Service(v.task.Service())
	if !ok || !s.HasLookup() {
		r.finishItem(v, job.Uncertain, job.Result{Reason: reason})

		return
	}

	x, stop := context.WithTimeout(context.WithoutCancel(v.ctx), lookupTimeout)
	defer stop()

	a, found, err := r.lookup.Find(x, s.Targets(), requestID(v.task))
	if err != nil || !found {
		r.finishItem(v, job.Uncertain, job.Result{Reason: reason})

		return
	}

	r.counter.Count("items_found_at_target", 1)
	r.finishItem(v, job.Succeeded, job.Result{Status: a.Status(), Body: a.Body()})
}

func (r *Runner) finishItem(v runningItem, d job.AttemptOutcome, t job.Result) {
	r.counter.Count("item_attempts", 1)
	v.partition.endTask(r.clock(), v.task, d, t)
	r.releaseItem()
	r.wakeDispatch()
}

// requestID returns the request identifier of an item at targets. It is the same for every attempt and every holder.
func requestID(t job.Task) string { return fmt.Sprintf("%s-%d", t.Ref().Job, t.Index()) }

func newItemInput(t job.Task, s filter.Service, now time.Time) filter.Input {
	return filter.Input{
		ID: requestID(t), Kind: requestKind(s), Service: t.Service(), Path: t.Path(), Body: t.Body(), Arrived: now,
	}
}

func newResult(c *filter.Collector) job.Result {
	o := c.Complete()
	r := job.Result{Status: o.Status, Body: o.Body}

	if o.Text != "" {
		r.Body = []byte(o.Text)
	}

	return r
}

// attemptOutcome returns the outcome of an attempt that ended with an error. Only the rejection of the request itself
// by its target is permanent. An attempt at an idempotent item that was preempted, and then got no slot in time, counts
// as not run, as the item is not at fault.
func attemptOutcome(e *outcome.Error, idempotent bool) job.AttemptOutcome {
	switch {
	case e.Code() == outcome.Overloaded && idempotent:
		return job.NotRun
	case e.Code() == outcome.InvalidRequest || e.Code() == outcome.TooLarge:
		return job.Rejected
	case e.Effect() == outcome.NotRun:
		return job.NotRun
	case e.Effect() == outcome.Unknown:
		return job.Uncertain
	default:
		return job.TargetFailed
	}
}

func requestKind(v filter.Service) filter.Kind {
	if v.Plain() {
		return filter.Plain
	}

	return filter.Chat
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
