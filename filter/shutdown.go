package filter

import (
	"context"
	"time"

	"github.com/agategap/agategap/outcome"
)

// Shutdown tells whether a request may start although the daemon may be shutting down.
type Shutdown interface {
	// Admits reports whether a request that has to end by deadline may start.
	Admits(deadline time.Time) bool
}

// RejectLate rejects requests that the shutdown of the daemon would cut off.
type RejectLate struct {
	shutdown Shutdown
}

// NewRejectLate returns a RejectLate filter.
func NewRejectLate(s Shutdown) *RejectLate { return &RejectLate{shutdown: s} }

// Name returns "reject_late".
func (f *RejectLate) Name() string { return "reject_late" }

// Apply rejects a request whose deadline is after the end of the shutdown. Its caller may send it to another daemon at
// once.
func (f *RejectLate) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	if !f.shutdown.Admits(r.Deadline()) {
		return outcome.New(outcome.NotReady, outcome.NotRun, "the daemon is shutting down and may not finish the request in time")
	}

	return next.Handle(ctx, r, s)
}
