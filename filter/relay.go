package filter

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/pool"
)

var (
	// errUnresponsive means that a target sent nothing within the idle timeout. The timeout applies only if the request
	// may be sent to another target or run again later.
	errUnresponsive = errors.New("the target sent nothing within the idle timeout")
	// errTargetStatus means that a target responded with an error status. Another target may respond without one.
	errTargetStatus = errors.New("the target responded with an error status")
	// errRouteChanged means that the route of an item changed while the item waited for a slot.
	errRouteChanged = outcome.New(outcome.NotReady, outcome.NotRun, "the route of the item changed while it waited for a slot")
	// ErrTargetLeaving means that the request was not sent because the target had announced that it is leaving. This is
	// not a fault of the target.
	ErrTargetLeaving = errors.New("the target is leaving")
	// ErrTargetCrashed means that the target ended the connection and accepts no new one.
	ErrTargetCrashed = errors.New("the target accepts no connections any more")
)

const (
	// maxRefusals is the number of targets that refused a request, without running it, after which the request fails.
	maxRefusals = 12
	// idleTimeoutDivisor divides the objective, before the first event, and the longest pause, between events, into the
	// idle timeout of a request that may be repeated. The rest is left for another target to respond on time.
	idleTimeoutDivisor = 2
	// minIdleTimeout is the least idle timeout. It is far above the time between two events of a loaded engine.
	minIdleTimeout = 100 * time.Millisecond
	// itemFirstIdleTimeout and itemIdleTimeout are the idle timeouts of a batch item before its first event and between
	// events. No caller waits for single events of an item, so the timeouts only have to detect lost targets.
	itemFirstIdleTimeout = 1500 * time.Millisecond
	itemIdleTimeout      = 700 * time.Millisecond
)

// Relay sends a request to a target and passes the response on as it arrives. Where the route allows it, Relay
// continues at another target after a failure.
type Relay struct {
	router  Router
	clock   func() time.Time
	watcher Watcher
}

// NewRelay returns a Relay filter. w may be nil.
func NewRelay(r Router, clock func() time.Time, w Watcher) *Relay {
	return &Relay{router: r, clock: clock, watcher: w}
}

// Name returns "relay".
func (f *Relay) Name() string { return "relay" }

// Apply makes attempts until a response is complete. If Apply fails after s has received events, the front end has to
// end the response in a way that does not look complete.
func (f *Relay) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	d, stop := context.WithDeadline(ctx, r.Deadline())
	defer stop()

	x := &relayState{relay: f, request: r, sink: s, next: next, lastEvent: r.LastEvent(), began: r.began}

	err := x.run(d)
	if err != nil && x.mayHaveRun {
		return outcome.From(err).WithEffect(outcome.Unknown)
	}

	return err
}

// relayState is the state of one request in Relay.
type relayState struct {
	relay   *Relay
	request *Request
	sink    Sink
	next    Handler

	lastEvent  int      // number of the last event that was passed on
	head       Event    // buffered until the first event, so that an attempt that fails before it can be replaced
	emitted    bool     // a part of the response was passed on
	joining    bool     // the attempt continues a response of which a part was passed on before
	ended      bool     // the target sent the end of the response
	mayHaveRun bool     // an attempt may have run
	runs       int      // number of attempts that may have run
	refusals   int      // number of attempts that did not run
	excluded   []string // targets of failed attempts
	began      bool     // an attempt has shown that the prompt does not crash targets
	newConn    bool     // an attempt got no response in time, so that kept-alive connections are no longer used
}

// run makes attempts until one completes the response, no further attempt is allowed or no slot is available.
func (x *relayState) run(ctx context.Context) error {
	for {
		x.request.setUrgency(x.relay.clock(), x.refusals+x.runs > 0, x.emitted)

		t, err := x.acquire(ctx)
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

// acquire waits for a slot. It fails with errRouteChanged if the route of an item changes before there is one.
func (x *relayState) acquire(ctx context.Context) (Slot, error) {
	isCurrent := x.request.isRouteCurrent
	if isCurrent == nil {
		return x.relay.router.Acquire(ctx, x.request, x.excluded)
	}

	c, stop := context.WithCancelCause(ctx)
	defer stop(nil)

	go func() {
		for changed := x.request.routesChanged(); isCurrent(); changed = x.request.routesChanged() {
			select {
			case <-changed:
			case <-c.Done():
				return
			}
		}

		stop(errRouteChanged)
	}()

	t, err := x.relay.router.Acquire(c, x.request, x.excluded)

	switch {
	case err == nil && !isCurrent():
		t.Release(NewObservation(0, 0, 0, 0, true).WithFault(pool.Unused))

		return nil, errRouteChanged
	case err != nil && errors.Is(context.Cause(c), errRouteChanged):
		return nil, errRouteChanged
	default:
		return t, err
	}
}

// canRetry reports whether another attempt is allowed after one that failed. It excludes the target of the failed
// attempt from further attempts.
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

// canRepeat reports whether the route allows one more run of a request that may have run n times.
func (x *relayState) canRepeat(n int) bool {
	return x.request.Route().Repeatable() && n < x.request.Route().Attempts()
}

// promptMarker is a slot that takes the news that a response got beyond its beginning before the slot is released.
type promptMarker interface{ MarkPromptSound() }

// runAttempt sends the request to the target of a slot, passes the response on and releases the slot.
func (x *relayState) runAttempt(ctx context.Context, t Slot) error {
	c, stop := context.WithCancelCause(ctx)
	defer stop(nil)

	a := x.request.forRelay(t, x.runs, x.lastEvent)
	a.newConn = x.newConn || x.request.newConn
	x.joining = x.emitted
	idle := x.startIdleTimer(stop)

	defer idle.stop()

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
		idle.reset()

		if e.Kind() == Chunk {
			events++
		}

		if m, ok := t.(promptMarker); ok && events == MaxCrashEvents+1 && e.Kind() == Chunk {
			m.MarkPromptSound()
		}

		return x.emit(e)
	}))

	if err == nil && !x.ended {
		err = outcome.New(outcome.IncompleteResponse, outcome.Unknown, "the target's response has no end")
	}

	if err != nil {
		err = attemptError(c, ctx, err)
		x.newConn = x.newConn || IsUnresponsive(c)
	}

	if a.IsSent() && outcome.From(err).Effect() != outcome.NotRun {
		x.mayHaveRun = true
		x.runs++
	}

	t.Release(NewObservation(0, 0, x.relay.clock().Sub(start), events, err == nil).WithFault(observedFault(c, err)).
		WithSent(a.IsSent() && outcome.From(err).Effect() != outcome.NotRun).WithPrompt(promptOutcome(c, events, a.IsSent(), x.began, err)))

	x.began = x.began || events > MaxCrashEvents

	return err
}

// attemptError returns the error of an attempt with context c, for a request with context ctx. It names the cause if
// Relay itself ended the attempt, because the target was unresponsive or the slot was preempted.
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

// IsUnresponsive reports whether the attempt with context c was ended because its target sent nothing in time.
func IsUnresponsive(c context.Context) bool { return errors.Is(context.Cause(c), errUnresponsive) }

// IsPreempted reports whether err is that of an attempt that was ended because its slot was preempted for online work.
func IsPreempted(err error) bool { return errors.Is(err, errPreempted) }

// observedFault returns the fault of the target that an attempt with context c and error err observed.
func observedFault(c context.Context, err error) pool.Fault {
	switch {
	case err == nil:
		return pool.NoFault
	case errors.Is(err, ErrTargetLeaving):
		return pool.Unused
	case IsUnresponsive(c), outcome.Is(err, outcome.NoTarget):
		return pool.Unreachable
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), c.Err() != nil:
		return pool.Unused
	case outcome.Is(err, outcome.Overloaded):
		return pool.Full
	case outcome.Is(err, outcome.TargetFailed) && outcome.From(err).Effect() == outcome.Failed:
		return pool.NoFault // the request itself cannot succeed
	default:
		return pool.Broken
	}
}

// MaxCrashEvents is the number of events of a response up to which the crash of its target counts as caused by the
// prompt. A target that crashes when it begins a response may have sent its first events.
const MaxCrashEvents = 3

// promptOutcome returns what an attempt with context c shows about its prompt. Attempts that this daemon ended show
// nothing unless more than MaxCrashEvents have arrived, nor do those that a target ended which still accepts connections,
// nor does a crash if an earlier attempt began, as a prompt that crashes targets never gets that far.
func promptOutcome(c context.Context, events int, sent, began bool, err error) PromptOutcome {
	switch {
	case events > MaxCrashEvents, events > 0 && err == nil:
		return PromptSound
	case !began && sent && c.Err() == nil && errors.Is(err, ErrTargetCrashed):
		return PromptSuspect
	default:
		return PromptUntested
	}
}

// emit passes an event on, unless the caller has already received it.
func (x *relayState) emit(e Event) error {
	switch e.Kind() {
	case Head:
		retry := e.Status() >= minServerError && x.request.Class() == Online && x.canRepeat(x.runs+1)
		if retry || x.emitted && e.Status() != statusOK {
			return outcome.New(outcome.TargetFailed, outcome.Unknown, "status %d", e.Status()).WithCause(errTargetStatus)
		}

		if x.emitted && mediaType(e.ContentType()) != mediaType(x.head.ContentType()) {
			return outcome.New(outcome.TargetFailed, outcome.Unknown, "a response of type %q does not continue one of type %q", e.ContentType(), x.head.ContentType())
		}

		if !x.emitted {
			x.head = e
		}

		return nil
	case Chunk:
		if x.joining && e.Index() <= 0 {
			return outcome.New(outcome.IncompleteResponse, outcome.Unknown, "data without an event number follows event %d of another run", x.lastEvent)
		}

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

// mediaType returns a content type without its parameters.
func mediaType(contentType string) string {
	t, _, _ := strings.Cut(contentType, ";")

	return strings.ToLower(strings.TrimSpace(t))
}

const (
	statusOK = 200
	// minServerError is the lowest status that reports a failure of the target itself.
	minServerError = 500
)

// forward sends an event to the caller. The head of the response is sent with the first event.
func (x *relayState) forward(e Event) error {
	if !x.emitted {
		x.emitted = true

		if err := x.sink.Emit(x.head); err != nil {
			return callerDisconnectedError(err)
		}
	}

	if err := x.sink.Emit(e); err != nil {
		return callerDisconnectedError(err)
	}

	return nil
}

func callerDisconnectedError(err error) error {
	return outcome.New(outcome.Cancelled, outcome.Unknown, "the caller no longer reads the response").WithCause(err)
}

// reportStep reports a step to the watcher, if there is one.
func (x *relayState) reportStep(ctx context.Context, step, target string, err error) {
	if x.relay.watcher == nil {
		return
	}

	x.relay.watcher.Watch(x.request, Step{
		name: step, target: target, attempt: x.runs, lastEvent: x.lastEvent, age: x.relay.clock().Sub(x.request.Arrived()),
		err: err, cause: context.Cause(ctx),
	})
}

// startIdleTimer starts the timer that ends an attempt whose target is unresponsive. The timer does nothing if the
// request may not be sent again.
func (x *relayState) startIdleTimer(stop context.CancelCauseFunc) *idleTimer {
	i := &idleTimer{}

	switch {
	case x.request.Class() == Batch:
		i.timeout = itemIdleTimeout
		i.timer = time.AfterFunc(itemFirstIdleTimeout, func() { stop(errUnresponsive) })
	case x.canRepeat(x.runs + 1):
		t := x.request.Route()
		i.timeout = max(minIdleTimeout, t.MaxPause()/idleTimeoutDivisor)
		i.timer = time.AfterFunc(max(minIdleTimeout, t.Objective()/idleTimeoutDivisor), func() { stop(errUnresponsive) })
	}

	return i
}

// idleTimer ends an attempt whose target sends nothing. timeout applies between events, once the first one has arrived.
// Without a timer it does nothing.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

func (i *idleTimer) reset() {
	if i.timer != nil {
		i.timer.Reset(i.timeout)
	}
}

func (i *idleTimer) stop() {
	if i.timer != nil {
		i.timer.Stop()
	}
}
