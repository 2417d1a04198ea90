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
	// sendBound is the longest time between the check of a lease and the last byte of a send.
	sendBound = time.Second
	// lookupWait bounds the questions to targets about one item.
	lookupWait = 3 * time.Second
)

// running is an item that was handed out.
type running struct {
	shard *heldShard
	task  job.Task
	ctx   context.Context //nolint:containedctx // the life of the item's shard
}

// start records that items which may not run twice are about to be dispatched, and then dispatches them. Without a
// confirmed record of a lease in force nothing is sent.
func (r *Runner) start(l []running, wg *sync.WaitGroup) {
	t := l[0].task

	var indexes []int
	for _, v := range l {
		indexes = append(indexes, int(v.task.Index()))
	}

	b, err := job.EncodeIndexes(indexes)
	if err == nil {
		var a job.Renewal

		a, err = r.askStart(l[0].ctx, StartArgs{Partition: l[0].shard.partition, Job: t.Ref().Job, Shard: t.Ref().Shard, Lease: t.Lease(), Items: b})
		if err == nil && !a.Holds {
			err = outcome.New(outcome.Cancelled, outcome.NotRun, "the lease of the shard is not in force")
		}
	}

	for _, v := range l {
		if err != nil {
			r.finish(v, job.NotRun, job.Result{Reason: outcome.From(err).Message()})

			continue
		}

		wg.Go(func() { r.run(v) })
	}
}

// run makes one attempt at an item.
func (r *Runner) run(v running) {
	if v.task.ShouldLookUp() {
		r.resolve(v)

		return
	}

	if !v.task.Idempotent() && !v.shard.mayStart(r.clock(), v.task.Ref(), sendBound) {
		r.finish(v, job.NotRun, job.Result{Reason: "the lease of the shard ends too soon"})

		return
	}

	s, ok := r.settings.Service(v.task.Service())
	if !ok {
		r.finish(v, job.NotRun, job.Result{Reason: "the service is not configured"})

		return
	}

	d := latest(v.task.Deadline(), r.clock().Add(s.Timeout()))

	x, stop := context.WithTimeout(v.ctx, itemBound(s, d.Sub(r.clock())))
	defer stop()

	x = withSlotWait(x, stop)

	var c filter.Collector

	err := r.chain.Handle(x, filter.NewBatchRequest(itemInput(v.task, s, r.clock()), filter.NewAccount(v.task.Account(), 0), s, d), &c)
	r.noteCapacity(err)

	if err == nil {
		r.finish(v, job.Succeeded, resultOf(&c))

		return
	}

	e := outcome.From(err)
	if e.Effect() == outcome.Unknown && !v.task.Idempotent() {
		r.resolve(v)

		return
	}

	r.finish(v, verdictOf(e, v.task.Idempotent()), job.Result{Reason: e.Message()})
}

// slotWait is how long an item waits for a target before it goes back behind the others.
const slotWait = 5 * time.Second

type slotWaitKey struct{}

// withSlotWait ends x with stop unless the request reaches Dispatched before slotWait is over.
func withSlotWait(x context.Context, stop context.CancelFunc) context.Context {
	t := time.AfterFunc(slotWait, stop)

	return context.WithValue(x, slotWaitKey{}, sync.OnceValue(t.Stop))
}

// Dispatched wraps the last handler of the chain of batch items, and ends their wait for a target. An item whose wait was
// over before is not sent.
func Dispatched(next filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request, s filter.Sink) error {
		if begin, ok := ctx.Value(slotWaitKey{}).(func() bool); ok && !begin() {
			return outcome.New(outcome.Overloaded, outcome.NotRun, "no target had room in time")
		}

		return next.Handle(ctx, r, s)
	})
}

// itemBound returns the time for one attempt. Streams have an idle bound, so that a long answer may take until the
// deadline; the answer of a plain service shows no progress.
func itemBound(s filter.Service, rest time.Duration) time.Duration {
	if s.Plain() {
		return s.Timeout()
	}

	return rest
}

// resolve asks the targets whether an item ran that may not run twice.
func (r *Runner) resolve(v running) {
	const reason = "the item was dispatched once and its effect is not known"

	s, ok := r.settings.Service(v.task.Service())
	if !ok || !s.HasLookup() {
		r.finish(v, job.Uncertain, job.Result{Reason: reason})

		return
	}

	x, stop := context.WithTimeout(context.WithoutCancel(v.ctx), lookupWait)
	defer stop()

	a, found, err := r.lookup.Find(x, s.Targets(), requestID(v.task))
	if err != nil || !found {
		r.finish(v, job.Uncertain, job.Result{Reason: reason})

		return
	}

	r.counter.Count("items_found_at_target", 1)
	r.finish(v, job.Succeeded, job.Result{Status: a.Status(), Body: a.Body()})
}

func (r *Runner) finish(v running, d job.AttemptOutcome, t job.Result) {
	r.counter.Count("item_attempts", 1)
	v.shard.end(r.clock(), v.task, d, t)
	r.leave()
	r.signal()
}

// requestID returns the identifier that targets know an item by. It is the same for every attempt and every holder.
func requestID(t job.Task) string { return fmt.Sprintf("%s-%d", t.Ref().Job, t.Index()) }

func itemInput(t job.Task, s filter.Service, now time.Time) filter.Input {
	return filter.Input{
		ID: requestID(t), Kind: kindOf(s), Service: t.Service(), Path: t.Path(), Body: t.Body(), Arrived: now,
	}
}

func resultOf(c *filter.Collector) job.Result {
	o := c.Complete()
	r := job.Result{Status: o.Status, Body: o.Body}

	if o.Text != "" {
		r.Body = []byte(o.Text)
	}

	return r
}

// verdictOf returns what an error shows of an attempt. Only a target's refusal of the request itself is permanent. An
// attempt that was preempted is none, as the item did nothing wrong.
func verdictOf(e *outcome.Error, idempotent bool) job.AttemptOutcome {
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

func kindOf(v filter.Service) filter.Kind {
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
