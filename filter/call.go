package filter

import (
	"time"

	"github.com/agategap/agategap/routing"
)

// Call is a request that is passed on to a target with the method, path, header and body that its caller sent.
type Call struct {
	method string
	host   string
	target string
	header map[string][]string
	after  int
}

// NewCall returns a call of a path with its query at a host. header has the fields that concern more than one
// connection; it must not be changed.
func NewCall(method, host, target string, header map[string][]string) Call {
	return Call{method: method, host: host, target: target, header: header}
}

// After returns a copy that asks for the events of a stream behind number n.
func (c Call) After(n int) Call {
	c.after = n

	return c
}

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Host returns the host that the caller named.
func (c Call) Host() string { return c.host }

// Target returns the path with its query.
func (c Call) Target() string { return c.target }

// Header returns the header, which must not be changed.
func (c Call) Header() map[string][]string { return c.header }

// Call returns the request as its caller sent it.
func (r *Request) Call() Call { return r.in.Call }

// Route returns the route that the request matched; its zero value before that.
func (r *Request) Route() routing.Route { return r.route }

// RouteVersion returns the version of the routes that the request was matched with; 0 for batch items.
func (r *Request) RouteVersion() int64 { return r.version }

// Fresh reports whether the request is to be sent on a new connection, as an attempt on a kept one was silent.
func (r *Request) Fresh() bool { return r.fresh }

// LastEvent returns the number of the last event that the caller has; a stream goes on behind it.
func (r *Request) LastEvent() int { return r.after }

// NewItemRequest returns a request for one item of a batch job on a route, which is due at a time and given up at a
// later one. Events behind the one that the call names are asked for.
func NewItemRequest(in Input, t routing.Route, due, end time.Time) *Request {
	return &Request{
		in: in, class: Batch, route: t, after: in.Call.after, due: due, deadline: end,
		service: NewService(ServiceSettings{Name: t.ServiceFor(in.ID)}),
	}
}

// Want says how urgently a request needs a slot.
type Want struct {
	due       time.Time
	wait      time.Duration
	needs     time.Duration
	refusable bool
}

// Due returns the time by which the work is due: the end of a batch item, or else the first event.
func (w Want) Due() time.Time { return w.due }

// Wait returns how long the request waits for a slot at the most.
func (w Want) Wait() time.Duration { return w.wait }

// Needs returns the time from the start of the work to its end; 0 when it is not known.
func (w Want) Needs() time.Duration { return w.needs }

// Refusable reports whether the request is better refused at once than kept waiting for longer than Wait.
func (w Want) Refusable() bool { return w.refusable }

const (
	// startShare of the objective is kept for the time between the slot and the first event, which is a few tens of
	// milliseconds on engines whose objective is a few hundred.
	startShare = 4
	// leastWait is the wait for a slot of a request that was offered to a target before.
	leastWait = 100 * time.Millisecond
	// plainWait is the wait of requests whose route has no objective.
	plainWait = time.Second
	// resumeWait is the wait of a stream that broke off. Callers give up a stream after a pause of two seconds.
	resumeWait = 2 * time.Second
)

// Want returns how urgently the request needs a slot.
func (r *Request) Want() Want {
	if r.want.due.IsZero() {
		return Want{due: r.deadline, wait: plainWait}
	}

	return r.want
}

// wants sets how urgently the next attempt needs a slot: a stream that broke off before all others, and a request that
// nobody has tried yet only while its answer can be on time.
func (r *Request) wants(now time.Time, offered, passed bool) {
	o := r.route.Objective()

	switch {
	case r.class == Batch:
		r.want = Want{due: r.due, needs: r.needs}
	case passed:
		r.want = Want{due: now, wait: resumeWait}
	case o == 0:
		r.want = Want{due: r.deadline, wait: plainWait}
	default:
		due := r.in.Arrived.Add(o)
		r.want = Want{due: due, wait: due.Add(-o / startShare).Sub(now), refusable: !offered}

		if offered {
			r.want.wait = max(leastWait, r.want.wait)
		}
	}
}

// NeedsTime returns a copy of an item's request whose run takes some time.
func (r *Request) NeedsTime(d time.Duration) *Request {
	c := *r
	c.needs = d

	return &c
}

// forRelay returns a copy that is sent to the target of s as attempt n, for the events behind a number.
func (r *Request) forRelay(s Slot, n, after int) *Request {
	c := r.ForAttempt(s, n)
	c.after = after

	return c
}
