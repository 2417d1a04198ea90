// Package waiting keeps, for each open item of the batch jobs that a daemon runs, the reason for which no attempt of it
// is in progress, and decides which changes are worth a log line. It does no input or output.
package waiting

import (
	"time"
)

// Reason is why no attempt of an open item is in progress at a target.
type Reason uint8

// Reasons. Their names in logs and metrics are those that String returns.
const (
	// NotTried means that the runner has not considered the item yet. It passes over all items several times a second.
	NotTried Reason = iota
	// Slot means that the item waits for a slot of its service.
	Slot
	// RetryDelay means that the last attempt failed and the delay before the next one has not passed.
	RetryDelay
	// Quarantined means that the prompt of the item has a quarantined part.
	Quarantined
	// NoPlace means that all places of the service on this daemon are taken by other items.
	NoPlace
	// ResultBacklog means that too many results of the partition wait for the log.
	ResultBacklog
	// OtherRunner means that another daemon runs the job.
	OtherRunner
	// Leaving means that this daemon is leaving and starts no attempts.
	Leaving
	// Loading means that this daemon has not loaded the partition of the job.
	Loading
	// NoRoute means that the routes in force have no batch route for the job, or no routes are known.
	NoRoute
	// Publishing means that the item has a result, which waits for the log.
	Publishing
	// Published means that the log has taken the result, and the replica has not read it yet.
	Published

	reasonCount
)

var reasonNames = [reasonCount]string{
	"not_tried", "slot", "retry_delay", "quarantined", "no_place", "result_backlog", "other_runner", "leaving", "partition_loading",
	"no_route", "publishing", "published",
}

// String returns the name of the reason in snake case.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}

	return reasonNames[r]
}

// Reasons returns all reasons.
func Reasons() []Reason {
	l := make([]Reason, reasonCount)
	for i := range l {
		l[i] = Reason(i) //nolint:gosec // a small number
	}

	return l
}

// Cause is a reason with the inputs that decided it. The zero value means that the item has not been tried.
type Cause struct {
	reason  Reason
	since   time.Time
	code    string
	message string
	vm      string
	used    int
	limit   int
	retryAt time.Time
}

// New returns a cause that has held since a time.
func New(r Reason, since time.Time) Cause { return Cause{reason: r, since: since} }

// WithError returns a copy with the outcome code and the message of the attempt that led to it.
func (c Cause) WithError(code, message string) Cause {
	c.code, c.message = code, message

	return c
}

// WithVM returns a copy with the VM of the daemon that runs the job.
func (c Cause) WithVM(vm string) Cause {
	c.vm = vm

	return c
}

// WithUsage returns a copy with the use of the limit that holds the item back.
func (c Cause) WithUsage(used, limit int) Cause {
	c.used, c.limit = used, limit

	return c
}

// WithRetryAt returns a copy with the earliest time of the next attempt.
func (c Cause) WithRetryAt(t time.Time) Cause {
	c.retryAt = t

	return c
}

// Reason returns the reason.
func (c Cause) Reason() Reason { return c.reason }

// Since returns the time since when the cause holds.
func (c Cause) Since() time.Time { return c.since }

// Code returns the outcome code of the attempt that led to the cause; empty if there is none.
func (c Cause) Code() string { return c.code }

// Message returns the message of the error of that attempt.
func (c Cause) Message() string { return c.message }

// VM returns the VM of the daemon that runs the job; empty if it is this one.
func (c Cause) VM() string { return c.vm }

// Usage returns the use of the limit that holds the item back, and the limit; 0 if none does.
func (c Cause) Usage() (used, limit int) { return c.used, c.limit }

// RetryAt returns the earliest time of the next attempt; zero if the item does not wait for a time.
func (c Cause) RetryAt() time.Time { return c.retryAt }

// sameKind reports whether two causes differ only in times and numbers.
func (c Cause) sameKind(o Cause) bool {
	return c.reason == o.reason && c.code == o.code && c.vm == o.vm
}
