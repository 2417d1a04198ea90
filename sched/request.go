// Package sched schedules the slots of one target: it grants, queues, rejects and preempts slot requests, and adapts
// the number of slots to the observed latencies. The daemon that owns a target has a Queue for it, and controller.Slots
// executes the actions that the Queue returns. The counterpart for requests that are routed by host and path is package
// pool.
package sched

import "time"

// Class is the kind of a request. Online requests are served before batch requests, apart from a share of the slots for
// batch requests that are at risk of missing their deadline.
type Class uint8

const (
	// Online is the class of requests whose caller waits for the response.
	Online Class = iota
	// Batch is the class of requests for the slots that online requests leave free.
	Batch
)

// LeaseID identifies a slot request and its lease. The requesting daemon chooses it; it is unique among all daemons.
type LeaseID string

// SlotRequest is a request for one slot of a target.
type SlotRequest struct {
	id             LeaseID
	holder         string
	account        string
	class          Class
	deadline       time.Time
	tokens         int
	predictedLong  bool
	maxWait        time.Duration
	nonPreemptible bool
}

// NewSlotRequest returns a request of the daemon holder for work of an account. A zero deadline means that
// there is none. Online requests whose deadline cannot be met are rejected; batch requests are not.
func NewSlotRequest(id LeaseID, holder, account string, c Class, deadline time.Time) SlotRequest {
	return SlotRequest{id: id, holder: holder, account: account, class: c, deadline: deadline}
}

// WithSize returns a copy with the predicted number of tokens, 0 if unknown, and whether the work counts as long.
func (r SlotRequest) WithSize(tokens int, long bool) SlotRequest {
	r.tokens, r.predictedLong = tokens, long

	return r
}

// WithMaxWait returns a copy that is rejected if no slot is granted within w. Zero means that only the deadline bounds
// the wait; a negative value means that the request does not wait at all.
func (r SlotRequest) WithMaxWait(w time.Duration) SlotRequest {
	r.maxWait = w

	return r
}

// WithNonPreemptible returns a copy whose lease is never preempted if v is true, for work that may not run twice.
func (r SlotRequest) WithNonPreemptible(v bool) SlotRequest {
	r.nonPreemptible = v

	return r
}

// WithHolder returns a copy with another holder.
func (r SlotRequest) WithHolder(h string) SlotRequest {
	r.holder = h

	return r
}

// ID returns the identifier.
func (r SlotRequest) ID() LeaseID { return r.id }

// Holder returns the daemon that requests the slot.
func (r SlotRequest) Holder() string { return r.holder }

// Account returns the account of the work. Waiting requests of accounts below their fair share of the slots go first.
func (r SlotRequest) Account() string { return r.account }

// Class returns the class.
func (r SlotRequest) Class() Class { return r.class }

// Deadline returns the time by which the work has to end; zero if there is none. Batch work runs even after it.
func (r SlotRequest) Deadline() time.Time { return r.deadline }

// Tokens returns the predicted number of tokens; 0 if unknown.
func (r SlotRequest) Tokens() int { return r.tokens }

// IsLong reports whether the work is predicted to be long.
func (r SlotRequest) IsLong() bool { return r.predictedLong }

// IsNonPreemptible reports whether the lease is never preempted.
func (r SlotRequest) IsNonPreemptible() bool { return r.nonPreemptible }

// MaxWait returns the bound on the wait, as in WithMaxWait.
func (r SlotRequest) MaxWait() time.Duration { return r.maxWait }

// ActionKind is what the slot owner has to do.
type ActionKind uint8

const (
	// Grant grants the request its slot.
	Grant ActionKind = iota + 1
	// Reject ends the request without a slot.
	Reject
	// Preempt asks the holder of a lease to cancel its work and release the slot.
	Preempt
)

// Action is a decision about one request or lease, which the slot owner has to execute.
type Action struct {
	kind       ActionKind
	id         LeaseID
	holder     string
	retryAfter time.Duration
}

// Kind returns the kind.
func (a Action) Kind() ActionKind { return a.kind }

// ID returns the identifier of the request or lease.
func (a Action) ID() LeaseID { return a.id }

// Holder returns the daemon to notify.
func (a Action) Holder() string { return a.holder }

// RetryAfter returns the expected wait of a rejected request, after which a retry would find a shorter queue.
func (a Action) RetryAfter() time.Duration { return a.retryAfter }

// Observation has the latencies of a target that were observed during one lease.
type Observation struct {
	firstToken, perToken, total time.Duration
	tokens                      int
	ok                          bool
}

// NewObservation returns an observation: the time to the first token, the mean time between tokens, the total time, the
// number of tokens, and whether the target worked properly. Zero times are unknown.
func NewObservation(firstToken, perToken, total time.Duration, tokens int, ok bool) Observation {
	return Observation{firstToken: firstToken, perToken: perToken, total: total, tokens: tokens, ok: ok}
}

// FirstToken returns the time to the first token.
func (o Observation) FirstToken() time.Duration { return o.firstToken }

// PerToken returns the mean time between tokens.
func (o Observation) PerToken() time.Duration { return o.perToken }

// Total returns the total time.
func (o Observation) Total() time.Duration { return o.total }

// Tokens returns the number of tokens.
func (o Observation) Tokens() int { return o.tokens }

// OK reports whether the target worked properly.
func (o Observation) OK() bool { return o.ok }

// Load is the state of a queue at one point in time.
type Load struct {
	online, batch, waiting, limit int
}

// NewLoad returns a load: the leases of each class, the waiting online requests and the limit on leases.
func NewLoad(online, batch, waiting, limit int) Load {
	return Load{online: online, batch: batch, waiting: waiting, limit: limit}
}

// Online returns the number of online leases.
func (l Load) Online() int { return l.online }

// Batch returns the number of batch leases.
func (l Load) Batch() int { return l.batch }

// Waiting returns the number of waiting online requests.
func (l Load) Waiting() int { return l.waiting }

// Limit returns the limit on leases; 0 if unknown.
func (l Load) Limit() int { return l.limit }
