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

	v, ok := t.Match(r.in.Call.host, r.in.Path)
	if !ok {
		return outcome.New(outcome.NotFound, outcome.NotRun, "no route matches host %q and path %q", r.in.Call.host, r.in.Path)
	}

	r.route, r.version, r.after = v, t.Version(), r.in.Call.after
	r.service = NewService(ServiceSettings{Name: v.ServiceFor(r.ID())})
	r.deadline = earliest(r.in.Arrived, r.in.Timeout, v.Timeout())

	return next.Handle(ctx, r, s)
}

// longestWait bounds requests whose caller and route give no time.
const longestWait = time.Minute

// earliest returns the end of the shortest of some times from t on; 0 stands for none.
func earliest(t time.Time, l ...time.Duration) time.Time {
	m := longestWait

	for _, d := range l {
		if d > 0 {
			m = min(m, d)
		}
	}

	return t.Add(m)
}
