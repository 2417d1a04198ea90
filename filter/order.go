package filter

import "time"

// Parts are what the filters need from the rest of the daemon.
type Parts struct {
	directory Directory
	recorder  Recorder
	router    Router
	clock     func() time.Time
	holder    string
	waits     Waits
	retries   *Retries
	lookup    Lookup
}

// WithLookup returns a copy with a way to ask targets about work whose answer was lost.
func (p Parts) WithLookup(l Lookup) Parts {
	p.lookup = l

	return p
}

// NewParts returns the parts. holder identifies this daemon in claims.
func NewParts(d Directory, c Recorder, r Router, clock func() time.Time, holder string, w Waits) Parts {
	return Parts{directory: d, recorder: c, router: r, clock: clock, holder: holder, waits: w, retries: NewRetries(nil, 0)}
}

// WithRetries returns a copy with budgets for retries and hedges. Without it there are only the few of a start.
func (p Parts) WithRetries(t *Retries) Parts {
	p.retries = t

	return p
}

// OnlineChain returns the chain of callers' requests. This is the one place that states the order.
func OnlineChain(p Parts, last Handler) *Chain {
	return New(last,
		NewIdentify(p.directory),
		NewDeduplicate(p.recorder),
		NewAdmit(),
		NewRecord(p.recorder, p.holder, p.waits).WithLookup(p.lookup),
		NewRoute(p.router),
		NewDispatch(p.router, p.retries, p.clock),
		NewVerify(),
	)
}

// BatchChain returns the chain of batch items, whose job is identified, deduplicated and recorded as a whole.
func BatchChain(p Parts, last Handler) *Chain {
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
