package filter

import (
	"context"
	"time"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// Recorder writes the records of work to the log.
type Recorder interface {
	Results
	// Submit appends records of the work under a key and waits until they are replayed. It returns the work, or its zero
	// value if the records left none.
	Submit(ctx context.Context, k journal.Key, r ...journal.Record) (journal.Work, error)
	// Enqueue queues records of the work under a key. They stay queued until the log accepts them.
	Enqueue(k journal.Key, r ...journal.Record)
}

// Timeouts has the timeouts of the configuration in force.
type Timeouts interface {
	// RecordWait bounds how long work waits until it is recorded, if its service rejects work during an outage of the log.
	// It also bounds the wait for the release of work that was not sent.
	RecordWait() time.Duration
}

// Record records work that may not be lost or run twice, before it is dispatched and when it has ended.
type Record struct {
	recorder Recorder
	timeouts Timeouts
	holder   string
	lookup   Lookup
}

// NewRecord returns a Record filter. holder identifies this daemon in claims.
func NewRecord(r Recorder, holder string, t Timeouts) *Record {
	return &Record{recorder: r, holder: holder, timeouts: t}
}

// WithLookup sets how targets are asked about work whose response was lost, and returns f. It must be called before f
// is used.
func (f *Record) WithLookup(l Lookup) *Record {
	f.lookup = l

	return f
}

// Name returns "record".
func (f *Record) Name() string { return "record" }

// Apply passes on requests that need no record. An asynchronous request or one with an idempotency key is always
// recorded.
func (f *Record) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	if !r.Service().ShouldRecord() && r.Key() == "" && !r.Async() {
		return next.Handle(ctx, r, s)
	}

	w, err := f.submitAccept(ctx, r)
	if err != nil {
		return f.releaseUnconfirmed(r, err)
	}

	if r.Async() || w.ClaimID() != r.ID() {
		return emitRecorded(ctx, f.recorder, w, r, s)
	}

	r.claim = r.ID()

	return f.run(ctx, r, s, next)
}

// submitAccept records that work is accepted and, unless it is asynchronous, claims it for this daemon. It returns the
// work with the claim in force, which may be that of another request with the same key.
func (f *Record) submitAccept(ctx context.Context, r *Request) (journal.Work, error) {
	c := ctx

	if !r.Service().ShouldHoldOnOutage() {
		t, cancel := context.WithTimeout(ctx, f.timeouts.RecordWait())
		defer cancel()

		c = t
	}

	k := r.WorkKey()
	a := &journal.AcceptRecord{
		Account:    k.Account(),
		Key:        k.Key(),
		Digest:     r.Digest(),
		Service:    r.ServiceName(),
		Path:       r.Path(),
		Kind:       uint8(r.Kind()),
		Idempotent: r.Service().Idempotent(),
		Async:      r.Async(),
		DeadlineMS: unixMillis(r.Deadline()),
		RetainMS:   r.Service().ResultRetention().Milliseconds(),
	}

	// With the body, the daemon that writes the partition can finish work that may be run again if this daemon is lost.
	if r.Async() || a.Idempotent {
		a.Body = r.Body()
	}

	if r.Async() {
		return f.recorder.Submit(c, k, journal.Record{Accept: a})
	}

	l := &journal.ClaimRecord{Account: k.Account(), Key: k.Key(), ID: r.ID(), Holder: f.holder}

	return f.recorder.Submit(c, k, journal.Record{Accept: a}, journal.Record{Claim: l})
}

// releaseUnconfirmed releases the claim of work whose records are not confirmed. They may still reach the log, so the
// release is queued after them; otherwise the key would stay claimed by work that no daemon dispatches.
func (f *Record) releaseUnconfirmed(r *Request, err error) error {
	if !r.Async() && outcome.From(err).Effect() != outcome.NotRun {
		f.recorder.Enqueue(r.WorkKey(), newReleaseRecord(r.WorkKey(), r.ID()))
	}

	return err
}

// run dispatches claimed work, records how it ended and responds from the record in force.
func (f *Record) run(ctx context.Context, r *Request, s Sink, next Handler) error {
	var b Collector

	err := next.Handle(ctx, r, &b)
	k := r.WorkKey()

	if err != nil {
		return f.recordFailure(ctx, r, s, err)
	}

	c := b.Complete()
	c.Account, c.Key, c.Claim = k.Account(), k.Key(), r.claim

	return f.recordCompletion(ctx, r, s, c)
}

// recordCompletion records how work ended and responds from the record in force, which may be that of another claim.
func (f *Record) recordCompletion(ctx context.Context, r *Request, s Sink, c journal.CompleteRecord) error {
	k := r.WorkKey()
	f.recorder.Enqueue(k, journal.Record{Complete: &c})

	w, err := f.recorder.Await(ctx, k)
	if err != nil {
		return outcome.New(outcome.LogUnavailable, outcome.Unknown,
			"the work ended but its record is not confirmed; look up the result by its key").WithCause(err)
	}

	return EmitResult(r.ID(), w.Result(), s)
}

// recordFailure records work that ended in an error. Work that was not sent is released. Its effect is outcome.NotRun
// only once the release is confirmed, because the claim could otherwise be resumed.
func (f *Record) recordFailure(ctx context.Context, r *Request, s Sink, err error) error {
	e := outcome.From(err)
	k := r.WorkKey()

	if e.Effect() == outcome.NotRun {
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.timeouts.RecordWait())
		defer cancel()

		if _, err := f.recorder.Submit(c, k, newReleaseRecord(k, r.claim)); err != nil {
			f.recorder.Enqueue(k, newReleaseRecord(k, r.claim))

			return e.WithEffect(outcome.Unknown)
		}

		return e
	}

	if c, ok := f.lookUpResult(ctx, r, e); ok {
		return f.recordCompletion(ctx, r, s, c)
	}

	c := &journal.CompleteRecord{Account: k.Account(), Key: k.Key(), Claim: r.claim, Effect: journal.Failed, Text: e.Message()}
	if e.Effect() == outcome.Unknown {
		c.Effect = journal.Unknown
	}

	f.recorder.Enqueue(k, journal.Record{Complete: c})

	return e
}

// lookUpResult asks the targets about work that may not be run again and whose response was lost.
func (f *Record) lookUpResult(ctx context.Context, r *Request, e *outcome.Error) (journal.CompleteRecord, bool) {
	if f.lookup == nil || e.Effect() != outcome.Unknown || r.Service().Idempotent() || !r.Service().HasLookup() {
		return journal.CompleteRecord{}, false
	}

	a, ok := lookUpResponse(ctx, f.lookup, r.TargetService(), r.ID())
	if !ok {
		return journal.CompleteRecord{}, false
	}

	k := r.WorkKey()

	return journal.CompleteRecord{
		Account: k.Account(), Key: k.Key(), Claim: r.claim, Effect: journal.Done,
		Status: a.Status(), ContentType: a.ContentType(), Body: a.Body(),
	}, true
}

func newReleaseRecord(k journal.Key, claim string) journal.Record {
	return journal.Record{Release: &journal.ReleaseRecord{Account: k.Account(), Key: k.Key(), Claim: claim}}
}
