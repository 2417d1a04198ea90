// Package sched grants the slots of one target. Its owner among the daemons has one Queue for each target, passes
// demands to it and carries out the actions that it returns.
package sched

import "time"

// Class orders demands.
type Class uint8

const (
	// Online work has a caller who waits.
	Online Class = iota
	// Batch work runs in slots that online work leaves.
	Batch
)

// LeaseID identifies a demand and the grant that answers it. The requester chooses it; it is unique among all
// daemons.
type LeaseID string

// SlotRequest asks for one slot.
type SlotRequest struct {
	id       LeaseID
	holder   string
	account  string
	class    Class
	deadline time.Time
	tokens   int
	predictedLong     bool
	maxWait  time.Duration
	nonPreemptible     bool
}

// NewSlotRequest returns the demand of a daemon, the holder, for work of an account. A zero deadline means none. Online
// demands whose deadline cannot be met are rejected; batch demands are not.
func NewSlotRequest(id LeaseID, holder, account string, c Class, deadline time.Time) SlotRequest {
	return SlotRequest{id: id, holder: holder, account: account, class: c, deadline: deadline}
}

// WithSize returns a copy with the predicted number of tokens, and whether that counts as long.
func (d SlotRequest) WithSize(tokens int, long bool) SlotRequest {
	d.tokens, d.predictedLong = tokens, long

	return d
}

// WithMaxWait returns a copy that is rejected when no slot is granted within w. Zero means no bound but the
// deadline; below zero the demand does not wait at all.
func (d SlotRequest) WithMaxWait(w time.Duration) SlotRequest {
	d.maxWait = w

	return d
}

// WithNonPreemptible returns a copy whose grant is not preempted, for work that may not be run again.
func (d SlotRequest) WithNonPreemptible(k bool) SlotRequest {
	d.nonPreemptible = k

	return d
}

// WithHolder returns a copy of another holder.
func (d SlotRequest) WithHolder(h string) SlotRequest {
	d.holder = h

	return d
}

// ID returns the identifier.
func (d SlotRequest) ID() LeaseID { return d.id }

// Holder returns the daemon that asks.
func (d SlotRequest) Holder() string { return d.holder }

// Account returns the account whose work it is.
func (d SlotRequest) Account() string { return d.account }

// Class returns the class.
func (d SlotRequest) Class() Class { return d.class }

// Deadline returns the time after which the answer is of no use.
func (d SlotRequest) Deadline() time.Time { return d.deadline }

// Tokens returns the predicted number of tokens; 0 if unknown.
func (d SlotRequest) Tokens() int { return d.tokens }

// IsLong reports whether the work is predicted to be long.
func (d SlotRequest) IsLong() bool { return d.predictedLong }

// IsNonPreemptible reports whether the grant is not preempted.
func (d SlotRequest) IsNonPreemptible() bool { return d.nonPreemptible }

// MaxWait returns the bound on the wait.
func (d SlotRequest) MaxWait() time.Duration { return d.maxWait }

// ActionKind says what the owner does.
type ActionKind uint8

const (
	// Grant gives the demand its slot.
	Grant ActionKind = iota + 1
	// Reject ends the demand without a slot.
	Reject
	// Preempt asks the holder of a grant to cancel its work and release the slot.
	Preempt
)

// Action is what the owner does for one demand or grant.
type Action struct {
	kind       ActionKind
	id         LeaseID
	holder     string
	retryAfter time.Duration
}

// Kind returns the kind.
func (a Action) Kind() ActionKind { return a.kind }

// ID returns the demand or grant.
func (a Action) ID() LeaseID { return a.id }

// Holder returns the daemon to tell.
func (a Action) Holder() string { return a.holder }

// RetryAfter returns the delay of a Reject before a useful retry.
func (a Action) RetryAfter() time.Duration { return a.retryAfter }

// Observation is what a released grant showed of the target.
type Observation struct {
	firstToken, perToken, total time.Duration
	tokens            int
	ok                bool
}

// NewObservation returns an observation: time to the first token, mean time between tokens, whole time, tokens, and
// whether the target did its part. Zero times are unknown.
func NewObservation(first, per, total time.Duration, tokens int, ok bool) Observation {
	return Observation{firstToken: first, perToken: per, total: total, tokens: tokens, ok: ok}
}

// FirstToken returns the time to the first token.
func (o Observation) FirstToken() time.Duration { return o.firstToken }

// PerToken returns the mean time between tokens.
func (o Observation) PerToken() time.Duration { return o.perToken }

// Total returns the whole time.
func (o Observation) Total() time.Duration { return o.total }

// Tokens returns the number of tokens.
func (o Observation) Tokens() int { return o.tokens }

// OK reports whether the target did its part.
func (o Observation) OK() bool { return o.ok }

// Load is the state of a queue at one time.
type Load struct {
	online, batch, waiting, limit int
}

// NewLoad returns a load: grants of each class, waiting online demands and the limit.
func NewLoad(online, batch, waiting, limit int) Load {
	return Load{online: online, batch: batch, waiting: waiting, limit: limit}
}

// Online returns the grants to online work.
func (l Load) Online() int { return l.online }

// Batch returns the grants to batch work.
func (l Load) Batch() int { return l.batch }

// Waiting returns the online demands that wait.
func (l Load) Waiting() int { return l.waiting }

// Limit returns the limit in force; 0 if unknown.
func (l Load) Limit() int { return l.limit }
