package filter

import (
	"context"
	"time"

	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/routing"
)

// Routes has the version of the routes in force.
type Routes interface {
	Table() *routing.Table
}

// Match finds the route of a request and sets its deadline.
type Match struct {
	routes Routes
}

// NewMatch returns the filter.
func NewMatch(t Routes) *Match { return &Match{routes: t} }

// Name returns "match".
func (f *Match) Name() string { return "match" }

// Apply ends the request when no route matches.
func (f *Match) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	t := f.routes.Table()
	if t == nil {
		return outcome.New(outcome.NotReady, outcome.NotRun, "the daemon knows no routes yet").WithRetryAfter(time.Second)
	}

	v, ok := t.Match(r.input.Call.host, r.input.Path)
	if !ok {
		return outcome.New(outcome.NotFound, outcome.NotRun, "no route matches host %q and path %q", r.input.Call.host, r.input.Path)
	}

	r.route, r.routeVersion, r.lastEvent = v, t.Version(), r.input.Call.lastEvent
	r.service = NewService(ServiceSettings{Name: v.ServiceFor(r.ID())})
	r.deadline = earliestDeadline(r.input.Arrived, r.input.Timeout, v.Timeout())

	return next.Handle(ctx, r, s)
}

// maxTimeout bounds requests whose caller and route give no time.
const maxTimeout = time.Minute

// earliestDeadline returns the end of the shortest of some times from t on; 0 stands for none.
func earliestDeadline(t time.Time, l ...time.Duration) time.Time {
	m := maxTimeout

	for _, d := range l {
		if d > 0 {
			m = min(m, d)
		}
	}

	return t.Add(m)
}
