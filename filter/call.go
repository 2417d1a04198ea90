package filter

import (
	"time"

	"github.com/agategap/agategap/routing"
)

// Call is a request that is passed on to a target with the method, path, header and body that its caller sent.
type Call struct {
	method string
	host   string
	requestURI string
	header map[string][]string
	lastEvent  int
}

// NewCall returns a call of a path with its query at a host. header has the fields that concern more than one
// connection; it must not be changed.
func NewCall(method, host, target string, header map[string][]string) Call {
	return Call{method: method, host: host, requestURI: target, header: header}
}

// WithLastEvent returns a copy that asks for the events of a stream behind number n.
func (c Call) WithLastEvent(n int) Call {
	c.lastEvent = n

	return c
}

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Host returns the host that the caller named.
func (c Call) Host() string { return c.host }

// RequestURI returns the path with its query.
func (c Call) RequestURI() string { return c.requestURI }

// Header returns the header, which must not be changed.
func (c Call) Header() map[string][]string { return c.header }

// Call returns the request as its caller sent it.
func (r *Request) Call() Call { return r.input.Call }

// Route returns the route that the request matched; its zero value before that.
func (r *Request) Route() routing.Route { return r.route }

// RouteVersion returns the version of the routes that the request was matched with; 0 for batch items.
func (r *Request) RouteVersion() int64 { return r.routeVersion }

// ShouldUseNewConn reports whether the request is to be sent on a new connection, as an attempt on a kept one was silent.
func (r *Request) ShouldUseNewConn() bool { return r.newConn }

// LastEvent returns the number of the last event that the caller has; a stream goes on behind it.
func (r *Request) LastEvent() int { return r.lastEvent }

// NewItemRequest returns a request for one item of a batch job on a route, which is due at a time and given up at a
// later one. Events behind the one that the call names are asked for.
func NewItemRequest(in Input, t routing.Route, due, end time.Time) *Request {
	return &Request{
		input: in, class: Batch, route: t, lastEvent: in.Call.lastEvent, due: due, deadline: end,
		service: NewService(ServiceSettings{Name: t.ServiceFor(in.ID)}),
	}
}

// SlotUrgency says how urgently a request needs a slot.
type SlotUrgency struct {
	due       time.Time
	maxWait      time.Duration
	runTime     time.Duration
	failFast bool
}

// Due returns the time by which the work is due: the end of a batch item, or else the first event.
func (w SlotUrgency) Due() time.Time { return w.due }

// MaxWait returns how long the request waits for a slot at the most.
func (w SlotUrgency) MaxWait() time.Duration { return w.maxWait }

// RunTime returns the time from the start of the work to its end; 0 when it is not known.
func (w SlotUrgency) RunTime() time.Duration { return w.runTime }

// ShouldFailFast reports whether the request is better refused at once than kept waiting for longer than Wait.
func (w SlotUrgency) ShouldFailFast() bool { return w.failFast }

const (
	// startReserveDivisor of the objective is kept for the time between the slot and the first event, which is a few tens of
	// milliseconds on engines whose objective is a few hundred.
	startReserveDivisor = 4
	// minRetrySlotWait is the wait for a slot of a request that was offered to a target before.
	minRetrySlotWait = 100 * time.Millisecond
	// maxDefaultSlotWait is the wait of requests whose route has no objective.
	maxDefaultSlotWait = time.Second
	// maxResumeSlotWait is the wait of a stream that broke off. Callers give up a stream after a pause of two seconds.
	maxResumeSlotWait = 2 * time.Second
)

// Urgency returns how urgently the request needs a slot.
func (r *Request) Urgency() SlotUrgency {
	if r.urgency.due.IsZero() {
		return SlotUrgency{due: r.deadline, maxWait: maxDefaultSlotWait}
	}

	return r.urgency
}

// setUrgency sets how urgently the next attempt needs a slot: a stream that broke off before all others, and a request that
// nobody has tried yet only while its answer can be on time.
func (r *Request) setUrgency(now time.Time, offered, passed bool) {
	o := r.route.Objective()

	switch {
	case r.class == Batch:
		r.urgency = SlotUrgency{due: r.due, runTime: r.runTime}
	case passed:
		r.urgency = SlotUrgency{due: now, maxWait: maxResumeSlotWait}
	case o == 0:
		r.urgency = SlotUrgency{due: r.deadline, maxWait: maxDefaultSlotWait}
	default:
		due := r.input.Arrived.Add(o)
		r.urgency = SlotUrgency{due: due, maxWait: due.Add(-o / startReserveDivisor).Sub(now), failFast: !offered}

		if offered {
			r.urgency.maxWait = max(minRetrySlotWait, r.urgency.maxWait)
		}
	}
}

// WithRunTime returns a copy of an item's request whose run takes some time.
func (r *Request) WithRunTime(d time.Duration) *Request {
	c := *r
	c.runTime = d

	return &c
}

// forRelay returns a copy that is sent to the target of s as attempt n, for the events behind a number.
func (r *Request) forRelay(s Slot, n, after int) *Request {
	c := r.ForAttempt(s, n)
	c.lastEvent = after

	return c
}
