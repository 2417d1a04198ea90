package filter

import (
	"cmp"
	"context"
	"time"

	"github.com/agategap/agategap/internal/serve/patience"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/routing"
)

// Routes has the routing table in force; Table returns nil if none is loaded yet.
type Routes interface {
	Table() *routing.Table
}

// Match finds the route of a request by host and path, and sets the service, the deadline and how long its caller has
// been waiting.
type Match struct {
	routes   Routes
	start    time.Time // of this daemon
	patience patience.Estimator
}

// NewMatch returns a Match filter.
func NewMatch(t Routes) *Match { return &Match{routes: t, start: time.Now()} }

// Name returns "match".
func (f *Match) Name() string { return "match" }

// Apply rejects a request that matches no route.
func (f *Match) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	t := f.routes.Table()
	if t == nil {
		return outcome.New(outcome.NotReady, outcome.NotRun, "the daemon has not loaded any routes yet").WithRetryAfter(time.Second)
	}

	v, ok := t.Match(r.input.Call.host, r.input.Path)
	if !ok {
		return outcome.New(outcome.NotFound, outcome.NotRun, "no route matches host %q and path %q", r.input.Call.host, r.input.Path)
	}

	r.route, r.routeVersion, r.lastEvent = v, t.Version(), r.input.Call.lastEvent
	r.service = NewService(ServiceSettings{Name: v.ServiceFor(r.ID())})
	r.daemonAge = r.input.Arrived.Sub(f.start)
	r.waited = f.patience.Waited(v.Name(), r.input.Timeout)
	r.deadline = earliestDeadline(r.input.Arrived, r.input.Timeout, v.Timeout())

	return next.Handle(ctx, r, s)
}

// defaultRoutedTimeout applies if neither the caller nor the route gives a timeout.
const defaultRoutedTimeout = time.Minute

// earliestDeadline returns the time at which the shortest of timeouts has passed since start. A timeout of 0 is ignored;
// if all are 0, defaultRoutedTimeout applies.
func earliestDeadline(start time.Time, timeouts ...time.Duration) time.Time {
	m := time.Duration(0)

	for _, d := range timeouts {
		if d > 0 && (m == 0 || d < m) {
			m = d
		}
	}

	return start.Add(cmp.Or(m, defaultRoutedTimeout))
}
