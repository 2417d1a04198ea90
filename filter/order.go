package filter

import "time"

// Dependencies are what the filters of the chains need from the rest of the daemon.
type Dependencies struct {
	directory Directory
	recorder  Recorder
	router    Router
	clock     func() time.Time
	holder    string
	timeouts  Timeouts
	retries   *Retries
	lookup    Lookup
}

// WithLookup returns a copy with a lookup, by which Record asks targets about work whose response was lost.
func (d Dependencies) WithLookup(l Lookup) Dependencies {
	d.lookup = l

	return d
}

// NewDependencies returns the dependencies of the chains. holder identifies this daemon in claims. d, c and t may be
// nil if they are only used for BatchChain.
func NewDependencies(d Directory, c Recorder, r Router, clock func() time.Time, holder string, t Timeouts) Dependencies {
	return Dependencies{directory: d, recorder: c, router: r, clock: clock, holder: holder, timeouts: t, retries: NewRetries(nil, 0)}
}

// WithRetries returns a copy with budgets for retries and hedges. Without it the budgets have only their initial tokens
// and do not grow.
func (d Dependencies) WithRetries(t *Retries) Dependencies {
	d.retries = t

	return d
}

// OnlineChain returns the chain for callers' requests. The order of the filters is defined only here.
func OnlineChain(d Dependencies, last Handler) *Chain {
	return New(last,
		NewIdentify(d.directory),
		NewDeduplicate(d.recorder),
		NewAdmit(),
		NewRecord(d.recorder, d.holder, d.timeouts).WithLookup(d.lookup),
		NewRoute(d.router),
		NewDispatch(d.router, d.retries, d.clock),
		NewVerify(),
	)
}

// BatchChain returns the chain for batch items. Identification, deduplication and recording are done for the whole job.
func BatchChain(d Dependencies, last Handler) *Chain {
	return New(last,
		NewRoute(d.router),
		NewDispatch(d.router, d.retries, d.clock),
		NewVerify(),
	)
}

// RoutedChain returns the chain for requests that are passed on as their caller sent them, to the service of the route
// that matches their host and path. These requests carry no credential, and nothing about them is recorded. d may be nil
// for a daemon that is never shut down.
func RoutedChain(t Routes, d Shutdown, r Router, clock func() time.Time, w Watcher, last Handler) *Chain {
	if d == nil {
		return New(last, NewMatch(t), NewRelay(r, clock, w))
	}

	return New(last, NewMatch(t), NewRejectLate(d), NewRelay(r, clock, w))
}

// ItemChain returns the chain for the items of batch jobs on routes. Their route is set by NewItemRequest.
func ItemChain(r Router, clock func() time.Time, w Watcher, last Handler) *Chain {
	return New(last, NewRelay(r, clock, w))
}
