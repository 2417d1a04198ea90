package filter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/outcome"
)

// errPreempted means that the slot owner asked for the slot back.
var errPreempted = errors.New("the slot was preempted")

// attempt is one request to one target and its response.
type attempt struct {
	state    *dispatchState
	request  *Request
	slot     Slot
	excluded []string
	buffer   *Collector // response that is not sent on yet, so that a later attempt can replace it
	timing   *timingSink
	err      error

	ctx    context.Context //nolint:containedctx // ends with the attempt
	cancel context.CancelCauseFunc
}

// run makes the attempt and sends it to ended with its error set.
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

// watchPreemption cancels the attempt when its slot is preempted. The returned function stops watching.
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

// emit sends an event to the caller if the response is unbuffered, and otherwise adds it to the buffer.
func (a *attempt) emit(e Event) error {
	x := a.state
	if !x.request.IsUnbuffered() {
		return a.buffer.Emit(e)
	}

	// The head of an unbuffered response is buffered until the first chunk, so that an attempt that fails before its
	// first chunk can be replaced.
	if e.Kind() == Head {
		return a.buffer.Emit(e)
	}

	if !x.winner.trySet(a) {
		return outcome.New(outcome.Cancelled, outcome.Unknown, "another attempt responded first")
	}

	if h := a.buffer.head; h.Kind() == Head {
		a.buffer.head = Event{}

		if err := x.sink.Emit(h); err != nil {
			return err
		}
	}

	return x.sink.Emit(e)
}

// winner elects the one attempt whose chunks are sent to the caller: the first one that calls claim. claim returns true
// only for that attempt. It is safe for concurrent use.
type winner struct {
	attempt atomic.Pointer[attempt]
}

func (w *winner) trySet(a *attempt) bool {
	return w.attempt.CompareAndSwap(nil, a) || w.attempt.Load() == a
}

func (w *winner) isSet() bool { return w.attempt.Load() != nil }

func (w *winner) get() *attempt { return w.attempt.Load() }

// timingSink passes the events of an attempt on and measures when its chunks arrive. The measurements are locked, as
// runHedged reads them while the attempt runs.
type timingSink struct {
	attempt *attempt
	clock   func() time.Time
	start   time.Time

	mu         sync.Mutex
	firstChunk time.Time
	lastChunk  time.Time
	chunks     int
}

func newTimingSink(a *attempt, clock func() time.Time) *timingSink {
	return &timingSink{attempt: a, clock: clock, start: clock()}
}

// Emit records the time of a chunk and passes the event on.
func (s *timingSink) Emit(e Event) error {
	if e.Kind() == Chunk {
		s.recordChunk()
	}

	return s.attempt.emit(e)
}

func (s *timingSink) recordChunk() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.lastChunk = s.clock()
	if s.chunks == 0 {
		s.firstChunk = s.lastChunk
	}

	s.chunks++
}

// hasStarted reports whether the first chunk has arrived.
func (s *timingSink) hasStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.chunks > 0
}

// timeToFirstToken returns the time from the start to the first chunk; 0 if none has arrived.
func (s *timingSink) timeToFirstToken() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.chunks == 0 {
		return 0
	}

	return s.firstChunk.Sub(s.start)
}

func (s *timingSink) observation(ok bool) Observation {
	first := s.timeToFirstToken()

	s.mu.Lock()
	defer s.mu.Unlock()

	var perToken time.Duration

	if s.chunks > 1 {
		perToken = s.lastChunk.Sub(s.firstChunk) / time.Duration(s.chunks-1)
	}

	return NewObservation(first, perToken, s.clock().Sub(s.start), s.chunks, ok)
}
