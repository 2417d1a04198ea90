package filter

import (
	"time"

	"github.com/agategap/agategap/internal/serve/urgency"
	"github.com/agategap/agategap/routing"
)

// Call has the parts, other than the body, of a request that is passed on to a target as its caller sent it.
type Call struct {
	method     string
	host       string
	requestURI string
	header     map[string][]string
	lastEvent  int // number of the last event that the caller has received; 0 for none
}

// NewCall returns a call. requestURI is the path with its query. header has the end-to-end header fields and must not
// be changed.
func NewCall(method, host, requestURI string, header map[string][]string) Call {
	return Call{method: method, host: host, requestURI: requestURI, header: header}
}

// WithLastEvent returns a copy that asks for the events of a stream after number n, of which the first has number 1.
func (c Call) WithLastEvent(n int) Call {
	c.lastEvent = n

	return c
}

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Host returns the host of the caller's request.
func (c Call) Host() string { return c.host }

// RequestURI returns the path with its query.
func (c Call) RequestURI() string { return c.requestURI }

// Header returns the end-to-end header fields, which must not be changed.
func (c Call) Header() map[string][]string { return c.header }

// Call returns the request as its caller sent it; the zero value if it is not passed on in this form.
func (r *Request) Call() Call { return r.input.Call }

// Route returns the route of the request; its zero value before Match.
func (r *Request) Route() routing.Route { return r.route }

// RouteVersion returns the version of the routing table that the request was matched with; 0 before Match and for batch
// items.
func (r *Request) RouteVersion() int64 { return r.routeVersion }

// ShouldUseNewConn reports whether the request has to be sent on a new connection, because an earlier attempt got no
// response within its idle timeout, possibly on a kept-alive connection that no longer works.
func (r *Request) ShouldUseNewConn() bool { return r.newConn }

// LastEvent returns the number of the last event that the caller has received. A stream is resumed after it.
func (r *Request) LastEvent() int { return r.lastEvent }

// NewItemRequest returns a request for one item of a batch job on a route. The item is due at due and is cancelled
// at the later deadline. The request asks for the events after the last event of in.Call.
func NewItemRequest(in Input, t routing.Route, due, deadline time.Time) *Request {
	return &Request{
		input: in, class: Batch, route: t, lastEvent: in.Call.lastEvent, due: due, deadline: deadline,
		service: NewService(ServiceSettings{Name: t.ServiceFor(in.ID)}),
	}
}

// Urgency returns how urgently the request needs a slot. Requests that do not pass through Relay are due at their
// deadline.
func (r *Request) Urgency() urgency.Urgency {
	if r.urgency.Due().IsZero() {
		return urgency.ForDeadline(r.deadline)
	}

	return r.urgency
}

// setUrgency sets how urgently the next attempt needs a slot. offered says whether the request was offered to a target
// before, emitted whether the caller has received a part of the response.
func (r *Request) setUrgency(now time.Time, offered, emitted bool) {
	if r.class == Batch {
		r.urgency = urgency.ForItem(r.due, r.runTime)

		return
	}

	o := urgency.NewOnline(r.input.Arrived, r.deadline, r.route.Objective()).WithWaited(r.waited).WithDaemonAge(r.daemonAge)
	if offered {
		o = o.AsOffered()
	}

	if emitted {
		o = o.AsEmitted()
	}

	r.urgency = o.At(now)
}

// WithRunTime returns a copy of an item's request with the expected time of its run.
func (r *Request) WithRunTime(d time.Duration) *Request {
	c := *r
	c.runTime = d

	return &c
}

// WithBegun returns a copy of an item's request that says whether the response to an earlier attempt had more than
// MaxCrashEvents events.
func (r *Request) WithBegun(began bool) *Request {
	c := *r
	c.began = began

	return &c
}

// WithRouteCheck returns a copy of an item's request that is sent to a target only if isCurrent reports that the routes
// in force still send the item to the same service. An item may wait for a slot for much longer than a version of the
// routes stays in force, so the wait ends if isCurrent no longer does. changed returns a channel that is closed after the
// next change of the routes.
func (r *Request) WithRouteCheck(isCurrent func() bool, changed func() <-chan struct{}) *Request {
	c := *r
	c.isRouteCurrent, c.routesChanged = isCurrent, changed

	return &c
}

// forRelay returns a copy that is sent to the target of s as attempt n and asks for the events after lastEvent.
func (r *Request) forRelay(s Slot, n, lastEvent int) *Request {
	c := r.ForAttempt(s, n)
	c.lastEvent = lastEvent

	return c
}
