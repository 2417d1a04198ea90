package filter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// Results looks up recorded work.
type Results interface {
	// Find returns the work under a key; false if there is none. It first replays everything that was recorded before the
	// call.
	Find(ctx context.Context, k journal.Key) (journal.Work, bool, error)
	// Await waits until the work under a key has ended.
	Await(ctx context.Context, k journal.Key) (journal.Work, error)
}

// Deduplicate responds to a repeated request, which has the idempotency key of an earlier one, from the record of that
// request.
type Deduplicate struct {
	results Results
}

// NewDeduplicate returns a Deduplicate filter.
func NewDeduplicate(r Results) *Deduplicate { return &Deduplicate{results: r} }

// Name returns "deduplicate".
func (f *Deduplicate) Name() string { return "deduplicate" }

// Apply passes on requests without an idempotency key and requests whose key is not recorded. It responds to the others
// itself.
func (f *Deduplicate) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	if r.Key() == "" {
		return next.Handle(ctx, r, s)
	}

	w, ok, err := f.results.Find(ctx, r.WorkKey())
	if err != nil {
		return outcome.From(err).WithEffect(outcome.NotRun)
	}

	if !ok {
		return next.Handle(ctx, r, s)
	}

	return emitRecorded(ctx, f.results, w, r, s)
}

// emitRecorded responds to r from the work that is recorded under its key, and waits for work that has not ended yet.
// An asynchronous request is only acknowledged.
func emitRecorded(ctx context.Context, f Results, w journal.Work, r *Request, s Sink) error {
	if w.AcceptRecord().Digest != r.Digest() {
		return outcome.New(outcome.KeyReused, outcome.NotRun,
			"the idempotency key was used for a different request; use a new key")
	}

	if r.Async() {
		return acknowledge(r, s)
	}

	if !w.IsEnded() {
		e, err := f.Await(ctx, r.WorkKey())
		if err != nil {
			return err
		}

		w = e
	}

	return EmitResult(r.ID(), w.Result(), s)
}

// EmitResult emits a recorded result as the response to request id. A result whose effect is unknown, or that failed
// without a status, is returned as an error.
func EmitResult(id string, c journal.CompleteRecord, s Sink) error {
	if c.Effect == journal.Unknown {
		return outcome.New(outcome.LostResponse, outcome.Unknown, "the work was dispatched once and its effect is not known")
	}

	if c.Effect == journal.Failed && c.Status == 0 {
		return outcome.New(outcome.TargetFailed, outcome.Failed, "%s", c.Text)
	}

	e := []Event{
		NewHead(id, c.Status, c.ContentType),
		NewChunk(id, 0, c.Body, c.Text),
		NewEnd(id, c.Finish, c.Prompt, c.Completion),
	}
	for _, v := range e {
		if err := s.Emit(v); err != nil {
			return err
		}
	}

	return nil
}

// statusAccepted is the HTTP-like status of an acknowledgement.
const statusAccepted = 202

// acknowledge tells the caller that the work is recorded and that its result can be looked up.
func acknowledge(r *Request, s Sink) error {
	if err := s.Emit(NewHead(r.ID(), statusAccepted, "")); err != nil {
		return err
	}

	return s.Emit(NewEnd(r.ID(), "", 0, 0))
}

// WorkKey returns the key under which the request's work is recorded. Without an idempotency key it is the request
// identifier, so that work which must be recorded always has a key.
func (r *Request) WorkKey() journal.Key {
	if r.Key() == "" {
		return journal.NewKey(r.Account().Name(), r.ID())
	}

	return journal.NewKey(r.Account().Name(), r.Key())
}

// Digest returns the SHA-256 digest of the service, path and body in hex. It detects a reused idempotency key.
func (r *Request) Digest() string {
	h := sha256.New()
	for _, s := range []string{r.ServiceName(), r.Path()} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}

	_, _ = h.Write(r.Body())

	return hex.EncodeToString(h.Sum(nil))
}

// unixMillis returns t as Unix time in milliseconds, the unit of the journal records.
func unixMillis(t time.Time) int64 { return t.UnixMilli() }
