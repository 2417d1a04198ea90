package filter

import (
	"context"
	"time"

	"github.com/agategap/agategap/outcome"
)

// Router chooses targets.
type Router interface {
	// Acquire returns a slot of a target of the request's service that is not among the excluded names. It
	// waits until the request's deadline at most.
	Acquire(ctx context.Context, r *Request, exclude []string) (Slot, error)
}

// Route acquires the slot of the first attempt.
type Route struct {
	router Router
}

// NewRoute returns the filter.
func NewRoute(r Router) *Route { return &Route{router: r} }

// Name returns "route".
func (f *Route) Name() string { return "route" }

// Apply passes the request on with a slot. Dispatch releases it.
func (f *Route) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	t, err := acquireSlot(ctx, f.router, r, nil)
	if err != nil {
		return err
	}

	r.slot = t

	return next.Handle(ctx, r, s)
}

// IsNoSlot reports whether an error of a Router means that there is no slot at present.
func IsNoSlot(err error) bool {
	return outcome.Is(err, outcome.Overloaded) || outcome.Is(err, outcome.NoTarget)
}

const (
	// minRetryDelay and mostPause bound the time after which batch work asks again.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay  = time.Second
)

// acquireSlot asks the router for a slot. Batch work waits as long as it takes: being refused a slot is no attempt of an
// item.
func acquireSlot(ctx context.Context, t Router, r *Request, exclude []string) (Slot, error) {
	for {
		s, err := t.Acquire(ctx, r, exclude)
		if err == nil || r.Class() != Batch || !IsNoSlot(err) {
			return s, err
		}

		select {
		case <-time.After(min(maxRetryDelay, max(minRetryDelay, outcome.From(err).RetryAfter()))):
			exclude = nil
		case <-ctx.Done():
			return nil, err
		}
	}
}
