package filter

import (
	"context"
	"time"

	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/retry"
)

// Dispatch sends a request to its target, and again where that is safe.
type Dispatch struct {
	router  Router
	retries *Retries
	clock   func() time.Time
}

// NewDispatch returns the filter.
func NewDispatch(r Router, t *Retries, clock func() time.Time) *Dispatch {
	return &Dispatch{router: r, retries: t, clock: clock}
}

// Name returns "dispatch".
func (f *Dispatch) Name() string { return "dispatch" }

// Apply makes attempts until one succeeds, the bound on attempts or the budget is reached, or the deadline passes.
// A preempted attempt is resumed and does not count.
func (f *Dispatch) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	x := &exchange{dispatch: f, request: r, sink: s, next: next, retries: f.retries.request(r.ServiceName())}
	t := r.Slot()

	for n := 0; ; {
		a, err := x.round(ctx, t, n)
		if err == nil {
			return nil
		}

		if a.preempted() && ctx.Err() == nil {
			x.keep(a)
		} else {
			if !x.mayRetry(ctx, a, n, err) || !f.pause(ctx, r, n) {
				return err
			}

			x.drop(a)

			n++
		}

		if t, err = acquire(ctx, f.router, r, x.tried); err != nil {
			return f.lastError(r, err)
		}
	}
}

// pause waits before a retry, and reports whether one still starts before the deadline.
func (f *Dispatch) pause(ctx context.Context, r *Request, n int) bool {
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

// lastError returns the error of a request that found no further target. Once an attempt was sent it must not
// say "not run".
func (f *Dispatch) lastError(r *Request, err error) error {
	if !r.sent {
		return err
	}

	return outcome.From(err).WithEffect(outcome.Unknown)
}

// Live reports whether chunks reach the caller as the target generates them.
func (r *Request) Live() bool {
	return r.Stream() && r.claim == "" && r.Class() == Online
}

func targetFault(err error) bool {
	return outcome.Is(err, outcome.TargetFailed) || outcome.Is(err, outcome.IncompleteResponse) || outcome.Is(err, outcome.LostResponse)
}

// Overdue is a slot that wants to know when a first token is later than usual.
type Overdue interface {
	Late()
}

// exchange is the state of one request at dispatch.
type exchange struct {
	dispatch *Dispatch
	request  *Request
	sink     Sink
	next     Handler
	retries  *serviceRetries
	tried    []string
	gate     gate
	kept     *attempt // a preempted attempt, to be resumed
}

// keep remembers a preempted attempt.
func (x *exchange) keep(a *attempt) {
	x.kept = a
	x.request.prefer = a.slot.Target().Name()
	x.tried = nil
}

// drop remembers a failed attempt's target, which the next attempt avoids.
func (x *exchange) drop(a *attempt) {
	x.kept = nil
	x.request.prefer = ""
	x.tried = append(x.tried, a.slot.Target().Name())
}

// mayRetry reports whether another attempt is safe and within the budget: the work may run again or was not sent, and
// nothing of an answer has reached the caller.
func (x *exchange) mayRetry(ctx context.Context, a *attempt, n int, err error) bool {
	v := x.request.Service()

	switch {
	case ctx.Err() != nil || n+1 >= max(v.MaxAttempts(), minAttemptsNotSent) || x.gate.passed():
		return false
	case !a.request.sent:
	case !v.Idempotent() || n+1 >= v.MaxAttempts() || !targetFault(err):
		return false
	}

	return x.retries.budget.TryAcquire()
}

// minAttemptsNotSent is the number of attempts for work that never reached a target, which is safe to repeat
// for every service.
const minAttemptsNotSent = 2

// round sends the request to the target of t, and to a second one when the first token is late. It returns the first
// whole answer, or the last error with its attempt. The answer of the other attempt, if one comes, is dropped.
func (x *exchange) round(ctx context.Context, t Slot, n int) (*attempt, error) {
	c, stop := context.WithCancel(ctx)
	defer stop()

	first := x.start(c, t, n)
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
				return a, x.finish(a)
			}

			// An attempt that was sent says more about the request's effect than one that was not.
			if failed == nil || a.request.sent {
				failed = a
			}

			x.request.sent = x.request.sent || a.request.sent

			// An attempt that passed chunks on is the only one that may end the answer.
			if running == 0 || x.gate.owner() == a {
				return failed, failed.err
			}
		case <-hedge.C:
			if b := x.hedge(c, first, n); b != nil {
				running++

				go b.run(ended)
			}
		}
	}
}

// hedgeTimer returns a timer that fires when the first token is late, or a stopped one.
func (x *exchange) hedgeTimer() *time.Timer {
	d, ok := x.retries.hedge.Delay()
	t := time.NewTimer(d)

	if !ok || x.request.Class() != Online || x.kept != nil {
		t.Stop()
	}

	return t
}

// hedge returns a second attempt at another target, or nil. A slot is acquired when the attempt runs.
func (x *exchange) hedge(ctx context.Context, first *attempt, n int) *attempt {
	if first.probe.started() {
		return nil
	}

	if l, ok := first.slot.(Overdue); ok {
		l.Late()
	}

	if !x.request.Service().Hedge() || !x.retries.budget.TryAcquire() {
		return nil
	}

	b := x.start(ctx, nil, n)
	b.avoid = append(b.avoid, first.slot.Target().Name())
	b.avoid = append(b.avoid, x.tried...)

	return b
}

// start prepares an attempt. At the target of a preempted one it goes on where that one ended.
func (x *exchange) start(ctx context.Context, t Slot, n int) *attempt {
	a := &attempt{exchange: x, slot: t}
	a.ctx, a.cancel = context.WithCancelCause(ctx)

	if k := x.kept; k != nil && t != nil && k.slot.Target().Name() == t.Target().Name() {
		a.request = x.request.forResume(t, n, k.request.NextIndex())
		a.answer = k.answer
	} else {
		a.request = x.request.ForAttempt(t, n)
		a.answer = &Collector{}
	}

	a.probe = newProbe(a, x.dispatch.clock)

	return a
}

// finish passes a whole answer on that was held back.
func (x *exchange) finish(a *attempt) error {
	if x.request.Live() {
		return nil
	}

	return a.answer.flush(x.sink)
}
