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
	exchange *exchange
	request  *Request
	slot     Slot
	avoid    []string
	answer   *Collector // held back until it is whole, so that a later attempt can replace it
	probe    *probe
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
	x := a.exchange

	if a.slot == nil {
		t, err := x.dispatch.router.Acquire(a.ctx, a.request, a.avoid)
		if err != nil {
			return err
		}

		a.slot, a.request.slot = t, t
		a.probe.start = x.dispatch.clock()
	}

	if a.request.Service().Idempotent() {
		defer a.watch()()
	}

	err := x.next.Handle(a.ctx, a.request, a.probe)

	a.slot.Release(a.probe.observe(err == nil || !targetFault(err)).WithWhole(err == nil && !a.request.Resumes()))

	if d := a.probe.firstToken(); d > 0 && !a.request.Resumes() {
		x.retries.hedge.Observe(d)
	}

	return err
}

// watch cancels the attempt when its slot is preempted, until the function that it returns is called.
func (a *attempt) watch() func() {
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

func (a *attempt) preempted() bool { return errors.Is(context.Cause(a.ctx), errPreempted) }

// emit passes a chunk on: to the caller if the answer is live, or else to the held-back answer.
func (a *attempt) emit(e Event) error {
	x := a.exchange
	if !x.request.Live() {
		return a.answer.Emit(e)
	}

	// The start of the answer is held back too, so that an attempt that breaks off before its first chunk can be
	// replaced.
	if e.Kind() == Head {
		return a.answer.Emit(e)
	}

	if !x.gate.enter(a) {
		return outcome.New(outcome.Cancelled, outcome.Unknown, "another attempt answered first")
	}

	if h := a.answer.head; h.Kind() == Head {
		a.answer.head = Event{}

		if err := x.sink.Emit(h); err != nil {
			return err
		}
	}

	return x.sink.Emit(e)
}

// gate lets one attempt pass its chunks on to the caller.
type gate struct {
	holder atomic.Pointer[attempt]
}

func (g *gate) enter(a *attempt) bool {
	return g.holder.CompareAndSwap(nil, a) || g.holder.Load() == a
}

func (g *gate) passed() bool { return g.holder.Load() != nil }

func (g *gate) owner() *attempt { return g.holder.Load() }

// probe measures an attempt.
type probe struct {
	attempt *attempt
	clock   func() time.Time
	start   time.Time

	mu    sync.Mutex
	first time.Time
	last  time.Time
	count int
}

func newProbe(a *attempt, clock func() time.Time) *probe {
	return &probe{attempt: a, clock: clock, start: clock()}
}

// Emit notes the time of a chunk and passes it on.
func (p *probe) Emit(e Event) error {
	if e.Kind() == Chunk {
		p.note()
	}

	return p.attempt.emit(e)
}

func (p *probe) note() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.last = p.clock()
	if p.count == 0 {
		p.first = p.last
	}

	p.count++
}

// started reports whether the first chunk has come.
func (p *probe) started() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.count > 0
}

// firstToken returns the time to the first chunk; 0 if none came.
func (p *probe) firstToken() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.count == 0 {
		return 0
	}

	return p.first.Sub(p.start)
}

func (p *probe) observe(ok bool) Observation {
	f := p.firstToken()

	p.mu.Lock()
	defer p.mu.Unlock()

	var per time.Duration

	if p.count > 1 {
		per = p.last.Sub(p.first) / time.Duration(p.count-1)
	}

	return NewObservation(f, per, p.clock().Sub(p.start), p.count, ok)
}
