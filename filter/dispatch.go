package filter

import (
	"context"
	"time"

	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/retry"
)

// Dispatch sends a request to the target of its slot. It retries and hedges where that is safe. It takes over the slot
// that Route acquired and releases it.
type Dispatch struct {
	router  Router
	retries *Retries
	clock   func() time.Time
}

// NewDispatch returns a Dispatch filter.
func NewDispatch(r Router, t *Retries, clock func() time.Time) *Dispatch {
	return &Dispatch{router: r, retries: t, clock: clock}
}

// Name returns "dispatch".
func (f *Dispatch) Name() string { return "dispatch" }

// Apply makes attempts until one succeeds, the attempt limit or the retry budget is reached, or the deadline passes. A
// preempted attempt is resumed and does not count.
func (f *Dispatch) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	x := &dispatchState{dispatch: f, request: r, sink: s, next: next, retries: f.retries.countRequest(r.ServiceName())}
	t := r.Slot()

	for n := 0; ; {
		a, err := x.runHedged(ctx, t, n)
		if err == nil {
			return nil
		}

		if a.isPreempted() && ctx.Err() == nil {
			x.keepPreempted(a)
		} else {
			if !x.canRetry(ctx, a, n, err) || !f.waitBackoff(ctx, r, n) {
				return err
			}

			x.excludeTarget(a)

			n++
		}

		if t, err = acquireSlot(ctx, f.router, r, x.failedTargets); err != nil {
			return f.noTargetError(r, err)
		}
	}
}

// waitBackoff waits for the delay before retry n, and reports whether the retry can still start before the deadline.
func (f *Dispatch) waitBackoff(ctx context.Context, r *Request, n int) bool {
	d := f.retries.backoff(r.ServiceName(), n)
	if !retry.StartsBeforeDeadline(f.clock(), d, r.Deadline()) {
		return false
	}

	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// noTargetError returns the error of a request that got no further slot. Once an attempt was sent, the effect must not
// be outcome.NotRun.
func (f *Dispatch) noTargetError(r *Request, err error) error {
	if !r.sent {
		return err
	}

	return outcome.From(err).WithEffect(outcome.Unknown)
}

// IsUnbuffered reports whether chunks are sent to the caller as the target generates them. Otherwise the response is
// buffered until it is complete.
func (r *Request) IsUnbuffered() bool {
	return r.IsStreaming() && r.claim == "" && r.Class() == Online
}

// isTargetFault reports whether err is a failure of the target, which another target may not have.
func isTargetFault(err error) bool {
	return outcome.Is(err, outcome.TargetFailed) || outcome.Is(err, outcome.IncompleteResponse) || outcome.Is(err, outcome.LostResponse)
}

// LateObserver is implemented by slots that record when a first token takes longer than usual.
type LateObserver interface {
	// ObserveLate is called during the attempt when the first token has not arrived after the usual time.
	ObserveLate()
}

// dispatchState is the state of one request in Dispatch.
type dispatchState struct {
	dispatch      *Dispatch
	request       *Request
	sink          Sink
	next          Handler
	retries       *serviceRetries
	failedTargets []string // targets that the next attempts exclude
	winner        winner
	preempted     *attempt // last attempt if it was preempted; the next one resumes it
}

// keepPreempted makes the next attempt prefer the target of a preempted one and resume there. No target is excluded any
// more.
func (x *dispatchState) keepPreempted(a *attempt) {
	x.preempted = a
	x.request.preferredTarget = a.slot.Target().Name()
	x.failedTargets = nil
}

// excludeTarget excludes the target of a failed attempt from further attempts. A hedge that got no slot has none.
func (x *dispatchState) excludeTarget(a *attempt) {
	x.preempted = nil
	x.request.preferredTarget = ""

	if a.slot != nil {
		x.failedTargets = append(x.failedTargets, a.slot.Target().Name())
	}
}

// canRetry reports whether another attempt after attempt n is safe and within the attempt limit and the budget. It is
// safe if the request was not sent, or if the work is idempotent and its target failed, and in both cases only if no
// chunk has reached the caller.
func (x *dispatchState) canRetry(ctx context.Context, a *attempt, n int, err error) bool {
	v := x.request.Service()

	switch {
	case ctx.Err() != nil || n+1 >= max(v.MaxAttempts(), minUnsentAttemptLimit) || x.winner.isSet():
		return false
	case !a.request.sent:
	case !v.Idempotent() || n+1 >= v.MaxAttempts() || !isTargetFault(err):
		return false
	}

	return x.retries.budget.TryAcquire()
}

// minUnsentAttemptLimit is the least attempt limit for work that was not sent to a target. Such work is safe to repeat
// for every service, so that even a limit of 1 allows one retry.
const minUnsentAttemptLimit = 2

// runHedged sends the request to the target of t, and to a second one if the first token is late. It returns the
// attempt with the first complete response, or a failed attempt with its error. The other attempt is cancelled and its
// response is dropped.
func (x *dispatchState) runHedged(ctx context.Context, t Slot, n int) (*attempt, error) {
	c, stop := context.WithCancel(ctx)
	defer stop()

	first := x.newAttempt(c, t, n)
	running := 1
	ended := make(chan *attempt, 2) //nolint:mnd // the attempt and its hedge

	go first.run(ended)

	hedge := x.hedgeTimer()
	defer hedge.Stop()

	var failed *attempt

	for {
		select {
		case a := <-ended:
			running--

			if a.err == nil {
				return a, x.emitBuffered(a)
			}

			// Prefer the error of an attempt that was sent, as it says more about the effect of the request, and then that of
			// an attempt that had a slot.
			if failed == nil || a.request.sent || failed.slot == nil {
				failed = a
			}

			x.request.sent = x.request.sent || a.request.sent

			// An attempt that emitted chunks to the caller is the only one that may complete the response.
			if running == 0 || x.winner.get() == a {
				return failed, failed.err
			}
		case <-hedge.C:
			if b := x.newHedge(c, first, n); b != nil {
				running++

				go b.run(ended)
			}
		}
	}
}

// hedgeTimer returns a timer that fires when the first token is late. It is stopped if the usual time is not known yet,
// and for batch items and resumed attempts.
func (x *dispatchState) hedgeTimer() *time.Timer {
	d, ok := x.retries.hedge.Delay()
	t := time.NewTimer(d)

	if !ok || x.request.Class() != Online || x.preempted != nil {
		t.Stop()
	}

	return t
}

// newHedge returns a second attempt at another target. It returns nil if the first token has arrived, the service is
// not hedged or the budget is used up. The attempt acquires its slot when it runs.
func (x *dispatchState) newHedge(ctx context.Context, first *attempt, n int) *attempt {
	if first.timing.hasStarted() {
		return nil
	}

	if l, ok := first.slot.(LateObserver); ok {
		l.ObserveLate()
	}

	if !x.request.Service().ShouldHedge() || !x.retries.budget.TryAcquire() {
		return nil
	}

	b := x.newAttempt(ctx, nil, n)
	b.excluded = append(b.excluded, first.slot.Target().Name())
	b.excluded = append(b.excluded, x.failedTargets...)

	return b
}

// newAttempt returns an attempt with the slot t, or with a slot that is acquired later if t is nil. At the target of a
// preempted attempt it resumes where that attempt ended.
func (x *dispatchState) newAttempt(ctx context.Context, t Slot, n int) *attempt {
	a := &attempt{state: x, slot: t}
	a.ctx, a.cancel = context.WithCancelCause(ctx)

	if k := x.preempted; k != nil && t != nil && k.slot.Target().Name() == t.Target().Name() {
		a.request = x.request.forResume(t, n, k.request.NextIndex())
		a.buffer = k.buffer
	} else {
		a.request = x.request.ForAttempt(t, n)
		a.buffer = &Collector{}
	}

	a.timing = newTimingSink(a, x.dispatch.clock)

	return a
}

// emitBuffered emits the complete response of an attempt if it was buffered.
func (x *dispatchState) emitBuffered(a *attempt) error {
	if x.request.IsUnbuffered() {
		return nil
	}

	return a.buffer.flush(x.sink)
}
