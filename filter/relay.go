package filter

import (
	"context"
	"errors"
	"time"

	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/pool"
)

var (
	// errUnresponsive means that a target sent nothing for too long although another one could go on.
	errUnresponsive = errors.New("the target fell silent")
	// errTargetStatus means that a target answered with a status that another target may not give.
	errTargetStatus = errors.New("the target reports a failure")
)

const (
	// maxRefusals bounds how often one request is offered to targets that refuse it without running it.
	maxRefusals = 12
	// idleTimeoutDivisor of the objective or the longest pause is the silence after which a request that may be repeated goes
	// to another target, which leaves that one time to answer before the caller's bound.
	idleTimeoutDivisor = 2
	// minIdleTimeout is far above the time between two events of a loaded engine.
	minIdleTimeout = 100 * time.Millisecond
	// itemFirstIdleTimeout and itemPause are the silences that end a run of a batch item, before its first event and between
	// events. Nobody waits for single events of an item, so they only have to notice targets that are lost.
	itemFirstIdleTimeout = 1500 * time.Millisecond
	itemIdleTimeout = 700 * time.Millisecond
)

// Relay sends a request to a target, passes the answer on as it comes, and goes on at another target where the route
// allows it.
type Relay struct {
	router  Router
	clock   func() time.Time
	watcher Watcher
}

// NewRelay returns the filter.
func NewRelay(r Router, clock func() time.Time, w Watcher) *Relay {
	return &Relay{router: r, clock: clock, watcher: w}
}

// Name returns "relay".
func (f *Relay) Name() string { return "relay" }

// Apply makes attempts until an answer is whole. An error after events were passed on means that the answer has to be
// ended so that it does not look whole.
func (f *Relay) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	d, stop := context.WithDeadline(ctx, r.Deadline())
	defer stop()

	x := &relayState{relay: f, request: r, sink: s, next: next, lastEvent: r.LastEvent()}

	err := x.run(d)
	if err != nil && x.mayHaveRun {
		return outcome.From(err).WithEffect(outcome.Unknown)
	}

	return err
}

// relayState is the state of one request at Relay.
type relayState struct {
	relay   *Relay
	request *Request
	sink    Sink
	next    Handler

	lastEvent    int   // number of the last event that was passed on
	head    Event // held back until the first event, so that an attempt that breaks off before it can be replaced
	emitted  bool  // something was passed on
	ended   bool
	mayHaveRun     bool // an attempt may have run
	runs    int
	refusals int
	excluded   []string
	newConn   bool // an attempt was silent, so that kept connections are not used any more
}

func (x *relayState) run(ctx context.Context) error {
	for {
		x.request.setUrgency(x.relay.clock(), x.refusals+x.runs > 0, x.emitted)

		t, err := x.relay.router.Acquire(ctx, x.request, x.excluded)
		if err != nil {
			x.reportStep(ctx, "no_slot", "", err)

			return err
		}

		x.reportStep(ctx, "sent", t.Target().Name(), nil)

		err = x.runAttempt(ctx, t)
		if err == nil {
			x.reportStep(ctx, "completed", t.Target().Name(), nil)

			return nil
		}

		x.reportStep(ctx, "attempt_failed", t.Target().Name(), err)

		if !x.canRetry(ctx, t.Target().Name(), err) {
			return err
		}
	}
}

// canRetry reports whether another attempt is allowed after one that failed.
func (x *relayState) canRetry(ctx context.Context, target string, err error) bool {
	if ctx.Err() != nil || x.request.Class() == Batch {
		return false
	}

	x.excluded = append(x.excluded, target)

	if outcome.From(err).Effect() == outcome.NotRun {
		x.refusals++

		return x.refusals < maxRefusals
	}

	return x.canRepeat(x.runs) && (!x.emitted || x.request.Route().Resumable())
}

// canRepeat reports whether the request may be sent once more when it may have run n times.
func (x *relayState) canRepeat(n int) bool {
	return x.request.Route().Repeatable() && n < x.request.Route().Attempts()
}

// runAttempt sends the request to the target of a slot.
func (x *relayState) runAttempt(ctx context.Context, t Slot) error {
	c, stop := context.WithCancelCause(ctx)
	defer stop(nil)

	a := x.request.forRelay(t, x.runs, x.lastEvent)
	a.newConn = x.newConn || x.request.newConn
	w := x.startIdleTimer(stop)

	defer w.stop()

	if x.request.Class() == Batch {
		go func() {
			select {
			case <-t.Preempted():
				stop(errPreempted)
			case <-c.Done():
			}
		}()
	}

	start := x.relay.clock()
	events := 0
	err := x.next.Handle(c, a, SinkFunc(func(e Event) error {
		w.reset()

		if e.Kind() == Chunk {
			events++
		}

		return x.emit(e)
	}))

	if err == nil && !x.ended {
		err = outcome.New(outcome.IncompleteResponse, outcome.Unknown, "the target's answer has no end")
	}

	if err != nil {
		err = attemptError(c, ctx, err)
		x.newConn = x.newConn || IsUnresponsive(c)
	}

	if a.IsSent() && outcome.From(err).Effect() != outcome.NotRun {
		x.mayHaveRun = true
		x.runs++
	}

	t.Release(NewObservation(0, 0, x.relay.clock().Sub(start), events, err == nil).WithFault(observedFault(c, err)))

	return err
}

// attemptError names what ended an attempt from this side.
func attemptError(c, ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}

	if e := context.Cause(c); errors.Is(e, errUnresponsive) || errors.Is(e, errPreempted) {
		f := outcome.From(err).Effect()
		if f == outcome.Failed {
			f = outcome.Unknown
		}

		return outcome.New(outcome.LostResponse, f, "the attempt was given up").WithCause(e)
	}

	return err
}

// IsUnresponsive reports whether an attempt with a context was ended as its target sent nothing.
func IsUnresponsive(c context.Context) bool { return errors.Is(context.Cause(c), errUnresponsive) }

// IsPreempted reports whether an attempt ended as its slot was wanted for online work.
func IsPreempted(err error) bool { return errors.Is(err, errPreempted) }

// observedFault says what an attempt showed of its target.
func observedFault(c context.Context, err error) pool.Fault {
	switch {
	case err == nil:
		return pool.NoFault
	case IsUnresponsive(c), outcome.Is(err, outcome.NoTarget):
		return pool.Unreachable
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), c.Err() != nil:
		return pool.Unused
	case outcome.Is(err, outcome.Overloaded):
		return pool.Full
	case outcome.Is(err, outcome.TargetFailed) && outcome.From(err).Effect() == outcome.Failed:
		return pool.NoFault // the request itself cannot be done
	default:
		return pool.Broken
	}
}

// emit passes an event on, unless the caller has it already.
func (x *relayState) emit(e Event) error {
	switch e.Kind() {
	case Head:
		retry := e.Status() >= minServerError && x.request.Class() == Online && x.canRepeat(x.runs+1)
		if retry || x.emitted && e.Status() != statusOK {
			return outcome.New(outcome.TargetFailed, outcome.Unknown, "status %d", e.Status()).WithCause(errTargetStatus)
		}

		if !x.emitted {
			x.head = e
		}

		return nil
	case Chunk:
		if e.Index() > 0 {
			if e.Index() <= x.lastEvent {
				return nil
			}

			if e.Index() != x.lastEvent+1 {
				return outcome.New(outcome.IncompleteResponse, outcome.Unknown, "event %d follows event %d", e.Index(), x.lastEvent)
			}
		}
	case End:
		x.ended = true
	}

	if err := x.forward(e); err != nil {
		return err
	}

	if e.Kind() == Chunk && e.Index() > 0 {
		x.lastEvent = e.Index()
	}

	return nil
}

const (
	statusOK = 200
	// minServerError is the least status of a failure of the target itself.
	minServerError = 500
)

// forward gives an event to the caller, behind the head of the answer.
func (x *relayState) forward(e Event) error {
	if !x.emitted {
		x.emitted = true

		if err := x.sink.Emit(x.head); err != nil {
			return callerGoneError(err)
		}
	}

	if err := x.sink.Emit(e); err != nil {
		return callerGoneError(err)
	}

	return nil
}

func callerGoneError(err error) error {
	return outcome.New(outcome.Cancelled, outcome.Unknown, "the caller no longer reads").WithCause(err)
}

// reportStep reports a step.
func (x *relayState) reportStep(ctx context.Context, step, target string, err error) {
	if x.relay.watcher == nil {
		return
	}

	x.relay.watcher.Watch(x.request, Step{
		name: step, target: target, attempt: x.runs, lastEvent: x.lastEvent, age: x.relay.clock().Sub(x.request.Arrived()),
		err: err, cause: context.Cause(ctx),
	})
}

// startIdleTimer returns the watch over an attempt, which ends one that is silent for too long.
func (x *relayState) startIdleTimer(stop context.CancelCauseFunc) *idleTimer {
	w := &idleTimer{}

	switch {
	case x.request.Class() == Batch:
		w.timeout = itemIdleTimeout
		w.timer = time.AfterFunc(itemFirstIdleTimeout, func() { stop(errUnresponsive) })
	case x.canRepeat(x.runs + 1):
		t := x.request.Route()
		w.timeout = max(minIdleTimeout, t.MaxPause()/idleTimeoutDivisor)
		w.timer = time.AfterFunc(max(minIdleTimeout, t.Objective()/idleTimeoutDivisor), func() { stop(errUnresponsive) })
	}

	return w
}

// idleTimer ends an attempt at a target that sends nothing.
type idleTimer struct {
	timer *time.Timer
	timeout time.Duration
}

func (w *idleTimer) reset() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

func (w *idleTimer) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
