package filter

import (
	"context"

	"github.com/agategap/agategap/outcome"
)

// Verify checks that the response is complete and belongs to the request: every event has the request's identifier, no
// token position is missing or repeated, and the end marker comes last.
type Verify struct{}

// NewVerify returns a Verify filter.
func NewVerify() *Verify { return &Verify{} }

// Name returns "verify".
func (f *Verify) Name() string { return "verify" }

// Apply returns an error if the response fails a check. The events before the failure have already been passed on.
func (f *Verify) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	v := &verifier{request: r, sink: s}

	if err := next.Handle(ctx, r, v); err != nil {
		return err
	}

	if !v.ended {
		return incompleteError(r, "the target's response has no end marker")
	}

	return nil
}

// verifier is the sink that checks the events of one response.
type verifier struct {
	request *Request
	sink    Sink
	started bool
	ended   bool
}

// Emit checks an event and passes it on. It drops the head and the token positions that a resumed stream repeats.
func (v *verifier) Emit(e Event) error {
	if e.RequestID() != v.request.ID() {
		return outcome.New(outcome.TargetFailed, failureEffect(v.request), "the target responded to another request")
	}

	if v.ended {
		return incompleteError(v.request, "the target's response continues after its end marker")
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
			return incompleteError(v.request, "a token position is missing in the target's response")
		}

		v.request.nextIndex++
	case End:
		v.ended = true
	}

	return v.sink.Emit(e)
}

func incompleteError(r *Request, message string) error {
	return outcome.New(outcome.IncompleteResponse, failureEffect(r), "%s", message)
}

// failureEffect returns the effect of a request whose response is invalid or incomplete: unknown once it may have been
// sent, otherwise not run.
func failureEffect(r *Request) outcome.Effect {
	if r.IsSent() {
		return outcome.Unknown
	}

	return outcome.NotRun
}
