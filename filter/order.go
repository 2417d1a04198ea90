package filter

import "time"

// Dependencies are what the filters need from the rest of the daemon.
type Dependencies struct {
	directory Directory
	recorder  Recorder
	router    Router
	clock     func() time.Time
	holder    string
	timeouts     Timeouts
	retries   *Retries
	lookup    Lookup
}

// WithLookup returns a copy with a way to ask targets about work whose answer was lost.
func (p Dependencies) WithLookup(l Lookup) Dependencies {
	p.lookup = l

	return p
}

// NewDependencies returns the parts. holder identifies this daemon in claims.
func NewDependencies(d Directory, c Recorder, r Router, clock func() time.Time, holder string, w Timeouts) Dependencies {
	return Dependencies{directory: d, recorder: c, router: r, clock: clock, holder: holder, timeouts: w, retries: NewRetries(nil, 0)}
}

// WithRetries returns a copy with budgets for retries and hedges. Without it there are only the few of a start.
func (p Dependencies) WithRetries(t *Retries) Dependencies {
	p.retries = t

	return p
}

// OnlineChain returns the chain of callers' requests. This is the one place that states the order.
func OnlineChain(p Dependencies, last Handler) *Chain {
	return New(last,
		NewIdentify(p.directory),
		NewDeduplicate(p.recorder),
		NewAdmit(),
		NewRecord(p.recorder, p.holder, p.timeouts).WithLookup(p.lookup),
		NewRoute(p.router),
		NewDispatch(p.router, p.retries, p.clock),
		NewVerify(),
	)
}

// BatchChain returns the chain of batch items, whose job is identified, deduplicated and recorded as a whole.
func BatchChain(p Dependencies, last Handler) *Chain {
	return New(last,
		NewRoute(p.router),
		NewDispatch(p.router, p.retries, p.clock),
		NewVerify(),
	)
}

// RoutedChain returns the chain of requests that are passed on as they came, to the service of the route that their
// host and path match. Such requests carry no credential, and nothing about them is recorded.
func RoutedChain(t Routes, r Router, clock func() time.Time, w Watcher, last Handler) *Chain {
	return New(last, NewMatch(t), NewRelay(r, clock, w))
}

// ItemChain returns the chain of the items of batch jobs on such routes. Their route is matched before.
func ItemChain(r Router, clock func() time.Time, w Watcher, last Handler) *Chain {
	return New(last, NewRelay(r, clock, w))
}
