package filter

import "time"

// Watcher is told what is decided about requests, for logs and counters. It must not block.
type Watcher interface {
	Watch(r *Request, s Step)
}

// Step is one decision about a request.
type Step struct {
	name    string
	target  string
	attempt int
	lastEvent    int
	age     time.Duration
	err     error
	cause   error
}

// Name returns the step: no_slot, sent, attempt_failed or completed.
func (s Step) Name() string { return s.name }

// Target returns the name of the target; empty without one.
func (s Step) Target() string { return s.target }

// Attempt returns the number of earlier attempts that may have run.
func (s Step) Attempt() int { return s.attempt }

// LastEvent returns the number of the last event that was passed on.
func (s Step) LastEvent() int { return s.lastEvent }

// Age returns the time since the request arrived.
func (s Step) Age() time.Duration { return s.age }

// Err returns why the step failed, or nil.
func (s Step) Err() error { return s.err }

// Cause returns why the request ended from the caller's side, or nil.
func (s Step) Cause() error { return s.cause }
