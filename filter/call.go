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

// LastEvent returns the number of the last event that the caller has; a stream goes on behind it.
func (r *Request) LastEvent() int { return r.after }

// NewItemRequest returns a request for one item of a batch job on a route, which is due at a time and given up at a
// later one. Events behind the one that the call names are asked for.
func NewItemRequest(in Input, t routing.Route, due, end time.Time) *Request {
	return &Request{
		in: in, class: Batch, route: t, after: in.Call.after, due: due, deadline: end,
		service: NewService(ServiceSettings{Name: t.Service(in.ID)}),
	}
}

// Due returns the time at which the answer, or the first event of a stream, is due.
func (r *Request) Due() time.Time {
	switch o := r.route.Objective(); {
	case r.class == Batch:
		return r.due
	case o > 0:
		return r.in.Arrived.Add(o)
	default:
		return r.deadline
	}
}

// slotWaitFactor times the objective is how long an online request waits for a slot. An answer within its objective
// is worth several times one that is late, and a request that waits longer keeps others from being on time.
const slotWaitFactor = 2

// leastSlotWait is the wait of requests whose route has no objective.
const leastSlotWait = 500 * time.Millisecond

// SlotWait returns how long the request waits for a slot at the most.
func (r *Request) SlotWait() time.Duration {
	if o := r.route.Objective(); o > 0 {
		return slotWaitFactor * o
	}

	return leastSlotWait
}

// forRelay returns a copy that is sent to the target of s as attempt n, for the events behind a number.
func (r *Request) forRelay(s Slot, n, after int) *Request {
	c := r.ForAttempt(s, n)
	c.after = after

	return c
}
