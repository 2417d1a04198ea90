package filter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/outcome"
)

// errPreempted means that the owner of the target wants the slot back.
var errPreempted = errors.New("the slot was preempted")

// attempt is one exchange with one target.
type attempt struct {
	state *dispatchState
	request  *Request
	slot     Slot
	excluded    []string
	buffer   *Collector // held back until it is whole, so that a later attempt can replace it
	timing    *timingSink
	err      error

	ctx    context.Context //nolint:containedctx // ends with the attempt
	cancel context.CancelCauseFunc
}

// run sends the request and reports the end of the attempt.
func (a *attempt) run(ended chan<- *attempt) {
	defer a.cancel(nil)

	a.err = a.handle()
	ended <- a
}

func (a *attempt) handle() error {
	x := a.state

	if a.slot == nil {
		t, err := x.dispatch.router.Acquire(a.ctx, a.request, a.excluded)
		if err != nil {
			return err
		}

		a.slot, a.request.slot = t, t
		a.timing.start = x.dispatch.clock()
	}

	if a.request.Service().Idempotent() {
		defer a.watchPreemption()()
	}

	err := x.next.Handle(a.ctx, a.request, a.timing)

	a.slot.Release(a.timing.observation(err == nil || !isTargetFault(err)).WithComplete(err == nil && !a.request.IsResumed()))

	if d := a.timing.timeToFirstToken(); d > 0 && !a.request.IsResumed() {
		x.retries.hedge.Observe(d)
	}

	return err
}

// watchPreemption cancels the attempt when its slot is preempted, until the function that it returns is called.
func (a *attempt) watchPreemption() func() {
	p := a.slot.Preempted()
	if p == nil {
		return func() {}
	}

	done := make(chan struct{})

	go func() {
		select {
		case <-p:
			a.cancel(errPreempted)
		case <-done:
		}
	}()

	return func() { close(done) }
}

func (a *attempt) isPreempted() bool { return errors.Is(context.Cause(a.ctx), errPreempted) }

// emit passes a chunk on: to the caller if the answer is live, or else to the held-back answer.
func (a *attempt) emit(e Event) error {
	x := a.state
	if !x.request.IsUnbuffered() {
		return a.buffer.Emit(e)
	}

	// The start of the answer is held back too, so that an attempt that breaks off before its first chunk can be
	// replaced.
	if e.Kind() == Head {
		return a.buffer.Emit(e)
	}

	if !x.winner.claim(a) {
		return outcome.New(outcome.Cancelled, outcome.Unknown, "another attempt answered first")
	}

	if h := a.buffer.head; h.Kind() == Head {
		a.buffer.head = Event{}

		if err := x.sink.Emit(h); err != nil {
			return err
		}
	}

	return x.sink.Emit(e)
}

// winner lets one attempt pass its chunks on to the caller.
type winner struct {
	attempt atomic.Pointer[attempt]
}

func (g *winner) claim(a *attempt) bool {
	return g.attempt.CompareAndSwap(nil, a) || g.attempt.Load() == a
}

func (g *winner) isSet() bool { return g.attempt.Load() != nil }

func (g *winner) get() *attempt { return g.attempt.Load() }

// timingSink measures an attempt.
type timingSink struct {
	attempt *attempt
	clock   func() time.Time
	start   time.Time

	mu    sync.Mutex
	firstChunk time.Time
	lastChunk  time.Time
	chunks int
}

func newTimingSink(a *attempt, clock func() time.Time) *timingSink {
	return &timingSink{attempt: a, clock: clock, start: clock()}
}

// Emit notes the time of a chunk and passes it on.
func (p *timingSink) Emit(e Event) error {
	if e.Kind() == Chunk {
		p.recordChunk()
	}

	return p.attempt.emit(e)
}

func (p *timingSink) recordChunk() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.lastChunk = p.clock()
	if p.chunks == 0 {
		p.firstChunk = p.lastChunk
	}

	p.chunks++
}

// hasStarted reports whether the first chunk has come.
func (p *timingSink) hasStarted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.chunks > 0
}

// timeToFirstToken returns the time to the first chunk; 0 if none came.
func (p *timingSink) timeToFirstToken() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.chunks == 0 {
		return 0
	}

	return p.firstChunk.Sub(p.start)
}

func (p *timingSink) observation(ok bool) Observation {
	f := p.timeToFirstToken()

	p.mu.Lock()
	defer p.mu.Unlock()

	var per time.Duration

	if p.chunks > 1 {
		per = p.lastChunk.Sub(p.firstChunk) / time.Duration(p.chunks-1)
	}

	return NewObservation(f, per, p.clock().Sub(p.start), p.chunks, ok)
}
