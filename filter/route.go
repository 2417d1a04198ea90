package filter

import (
	"context"
	"time"

	"github.com/agategap/agategap/outcome"
)

// Router chooses targets for requests.
type Router interface {
	// Acquire returns a slot at a target of the request's service whose name is not in exclude. It waits until the
	// request's deadline at most.
	Acquire(ctx context.Context, r *Request, exclude []string) (Slot, error)
}

// Route acquires the slot of the first attempt.
type Route struct {
	router Router
}

// NewRoute returns a Route filter.
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

// IsNoSlot reports whether an error of a Router means that no slot is free at present.
func IsNoSlot(err error) bool {
	return outcome.Is(err, outcome.Overloaded) || outcome.Is(err, outcome.NoTarget)
}

const (
	// minRetryDelay and maxRetryDelay bound the delay before batch work asks for a slot again. Within the bounds, the
	// router's error sets the delay.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// acquireSlot asks the router for a slot. Batch work retries until ctx ends, as a refused slot does not count as an
// attempt of the item. From the first retry on, no target is excluded.
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
