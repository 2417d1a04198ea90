package filter

import (
	"context"
	"errors"
	"time"

	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/pool"
)

var (
	// errQuiet means that a target sent nothing for too long although another one could go on.
	errQuiet = errors.New("the target fell silent")
	// errTargetStatus means that a target answered with a status that another target may not give.
	errTargetStatus = errors.New("the target reports a failure")
)

const (
	// mostRefusals bounds how often one request is offered to targets that refuse it without running it.
	mostRefusals = 12
	// quietShare of the objective or the longest pause is the silence after which a request that may be repeated goes
	// to another target, which leaves that one time to answer before the caller's bound.
	quietShare = 2
	// leastQuiet is far above the time between two events of a loaded engine.
	leastQuiet = 100 * time.Millisecond
	// itemFirst and itemPause are the silences that end a run of a batch item, before its first event and between
	// events. Nobody waits for single events of an item, so they only have to notice targets that are lost.
	itemFirst = 1500 * time.Millisecond
	itemPause = 700 * time.Millisecond
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

	x := &relayed{relay: f, request: r, sink: s, next: next, last: r.LastEvent()}

	err := x.run(d)
	if err != nil && x.ran {
		return outcome.From(err).WithEffect(outcome.Unknown)
	}

	return err
}

// relayed is the state of one request at Relay.
type relayed struct {
	relay   *Relay
	request *Request
	sink    Sink
	next    Handler

	last    int   // number of the last event that was passed on
	head    Event // held back until the first event, so that an attempt that breaks off before it can be replaced
	passed  bool  // something was passed on
	ended   bool
	ran     bool // an attempt may have run
	runs    int
	refused int
	avoid   []string
	fresh   bool // an attempt was silent, so that kept connections are not used any more
}

func (x *relayed) run(ctx context.Context) error {
	for {
		x.request.wants(x.relay.clock(), x.refused+x.runs > 0, x.passed)

		t, err := x.relay.router.Acquire(ctx, x.request, x.avoid)
		if err != nil {
			x.watch(ctx, "no_slot", "", err)

			return err
		}

		x.watch(ctx, "sent", t.Target().Name(), nil)

		err = x.attempt(ctx, t)
		if err == nil {
			x.watch(ctx, "completed", t.Target().Name(), nil)

			return nil
		}

		x.watch(ctx, "attempt_failed", t.Target().Name(), err)

		if !x.again(ctx, t.Target().Name(), err) {
			return err
		}
	}
}

// again reports whether another attempt is allowed after one that failed.
func (x *relayed) again(ctx context.Context, target string, err error) bool {
	if ctx.Err() != nil || x.request.Class() == Batch {
		return false
	}

	x.avoid = append(x.avoid, target)

	if outcome.From(err).Effect() == outcome.NotRun {
		x.refused++

		return x.refused < mostRefusals
	}

	return x.mayMove(x.runs) && (!x.passed || x.request.Route().Resumable())
}

// mayMove reports whether the request may be sent once more when it may have run n times.
func (x *relayed) mayMove(n int) bool {
	return x.request.Route().Repeatable() && n < x.request.Route().Attempts()
}

// attempt sends the request to the target of a slot.
func (x *relayed) attempt(ctx context.Context, t Slot) error {
	c, stop := context.WithCancelCause(ctx)
	defer stop(nil)

	a := x.request.forRelay(t, x.runs, x.last)
	a.fresh = x.fresh || x.request.fresh
	w := x.silence(stop)

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
		w.heard()

		if e.Kind() == Chunk {
			events++
		}

		return x.emit(e)
	}))

	if err == nil && !x.ended {
		err = outcome.New(outcome.IncompleteResponse, outcome.Unknown, "the target's answer has no end")
	}

	if err != nil {
		err = cause(c, ctx, err)
		x.fresh = x.fresh || Silenced(c)
	}

	if a.Sent() && outcome.From(err).Effect() != outcome.NotRun {
		x.ran = true
		x.runs++
	}

	t.Release(NewObservation(0, 0, x.relay.clock().Sub(start), events, err == nil).WithFault(fault(c, err)))

	return err
}

// cause names what ended an attempt from this side.
func cause(c, ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}

	if e := context.Cause(c); errors.Is(e, errQuiet) || errors.Is(e, errPreempted) {
		f := outcome.From(err).Effect()
		if f == outcome.Failed {
			f = outcome.Unknown
		}

		return outcome.New(outcome.LostResponse, f, "the attempt was given up").WithCause(e)
	}

	return err
}

// Silenced reports whether an attempt with a context was ended as its target sent nothing.
func Silenced(c context.Context) bool { return errors.Is(context.Cause(c), errQuiet) }

// Yielded reports whether an attempt ended as its slot was wanted for online work.
func Yielded(err error) bool { return errors.Is(err, errPreempted) }

// fault says what an attempt showed of its target.
func fault(c context.Context, err error) pool.Fault {
	switch {
	case err == nil:
		return pool.None
	case Silenced(c), outcome.Is(err, outcome.NoTarget):
		return pool.Unreachable
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), c.Err() != nil:
		return pool.Unused
	case outcome.Is(err, outcome.Overloaded):
		return pool.Full
	case outcome.Is(err, outcome.TargetFailed) && outcome.From(err).Effect() == outcome.Failed:
		return pool.None // the request itself cannot be done
	default:
		return pool.Broken
	}
}

// emit passes an event on, unless the caller has it already.
func (x *relayed) emit(e Event) error {
	switch e.Kind() {
	case Head:
		retry := e.Status() >= leastFailure && x.request.Class() == Online && x.mayMove(x.runs+1)
		if retry || x.passed && e.Status() != statusOK {
			return outcome.New(outcome.TargetFailed, outcome.Unknown, "status %d", e.Status()).WithCause(errTargetStatus)
		}

		if !x.passed {
			x.head = e
		}

		return nil
	case Chunk:
		if e.Index() > 0 {
			if e.Index() <= x.last {
				return nil
			}

			if e.Index() != x.last+1 {
				return outcome.New(outcome.IncompleteResponse, outcome.Unknown, "event %d follows event %d", e.Index(), x.last)
			}
		}
	case End:
		x.ended = true
	}

	if err := x.pass(e); err != nil {
		return err
	}

	if e.Kind() == Chunk && e.Index() > 0 {
		x.last = e.Index()
	}

	return nil
}

const (
	statusOK = 200
	// leastFailure is the least status of a failure of the target itself.
	leastFailure = 500
)

// pass gives an event to the caller, behind the head of the answer.
func (x *relayed) pass(e Event) error {
	if !x.passed {
		x.passed = true

		if err := x.sink.Emit(x.head); err != nil {
			return callerGone(err)
		}
	}

	if err := x.sink.Emit(e); err != nil {
		return callerGone(err)
	}

	return nil
}

func callerGone(err error) error {
	return outcome.New(outcome.Cancelled, outcome.Unknown, "the caller no longer reads").WithCause(err)
}

// watch reports a step.
func (x *relayed) watch(ctx context.Context, step, target string, err error) {
	if x.relay.watcher == nil {
		return
	}

	x.relay.watcher.Watch(x.request, Step{
		name: step, target: target, attempt: x.runs, last: x.last, age: x.relay.clock().Sub(x.request.Arrived()),
		err: err, cause: context.Cause(ctx),
	})
}

// silence returns the watch over an attempt, which ends one that is silent for too long.
func (x *relayed) silence(stop context.CancelCauseFunc) *silence {
	w := &silence{}

	switch {
	case x.request.Class() == Batch:
		w.pause = itemPause
		w.timer = time.AfterFunc(itemFirst, func() { stop(errQuiet) })
	case x.mayMove(x.runs + 1):
		t := x.request.Route()
		w.pause = max(leastQuiet, t.MaxPause()/quietShare)
		w.timer = time.AfterFunc(max(leastQuiet, t.Objective()/quietShare), func() { stop(errQuiet) })
	}

	return w
}

// silence ends an attempt at a target that sends nothing.
type silence struct {
	timer *time.Timer
	pause time.Duration
}

func (w *silence) heard() {
	if w.timer != nil {
		w.timer.Reset(w.pause)
	}
}

func (w *silence) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
