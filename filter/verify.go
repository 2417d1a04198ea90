package filter

import (
	"context"

	"github.com/agategap/agategap/outcome"
)

// Verify passes on only the whole answer to the request itself: every event has the request's identifier, no
// token position is missing or doubled, and the end marker comes last.
type Verify struct{}

// NewVerify returns the filter.
func NewVerify() *Verify { return &Verify{} }

// Name returns "verify".
func (f *Verify) Name() string { return "verify" }

// Apply ends an answer that breaks a rule with an error; the events before it have been passed on.
func (f *Verify) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	v := &verifier{request: r, sink: s}

	if err := next.Handle(ctx, r, v); err != nil {
		return err
	}

	if !v.ended {
		return incompleteError(r, "the target's answer has no end marker")
	}

	return nil
}

// verifier is the sink that checks events.
type verifier struct {
	request *Request
	sink    Sink
	started bool
	ended   bool
}

// Emit checks an event and passes it on. It drops positions that a resumed stream repeats.
func (v *verifier) Emit(e Event) error {
	if e.RequestID() != v.request.ID() {
		return outcome.New(outcome.TargetFailed, failureEffect(v.request), "the target answered another request")
	}

	if v.ended {
		return incompleteError(v.request, "the target's answer goes on behind its end marker")
	}

	switch e.Kind() {
	case Head:
		if v.started {
			return nil
		}

		v.started = true
	case Chunk:
		if e.Index() < v.request.nextIndex {
			return nil
		}

		if e.Index() > v.request.nextIndex {
			return incompleteError(v.request, "the target's answer has a gap")
		}

		v.request.nextIndex++
	case End:
		v.ended = true
	}

	return v.sink.Emit(e)
}

func incompleteError(r *Request, m string) error {
	return outcome.New(outcome.IncompleteResponse, failureEffect(r), "%s", m)
}

// failureEffect returns what a broken exchange says about the effect of the request.
func failureEffect(r *Request) outcome.Effect {
	if r.IsSent() {
		return outcome.Unknown
	}

	return outcome.NotRun
}
