package filter

import "time"

// Watcher observes the steps of requests in Relay, for logs and metrics.
type Watcher interface {
	// Watch is called at each step. It must not block.
	Watch(r *Request, s Step)
}

// Step is one step of a request in Relay.
type Step struct {
	name      string
	target    string
	attempt   int
	lastEvent int
	age       time.Duration
	err       error
	cause     error
}

// Name returns the name of the step: no_slot, sent, attempt_failed or completed.
func (s Step) Name() string { return s.name }

// Target returns the name of the target; empty if no slot was acquired.
func (s Step) Target() string { return s.target }

// Attempt returns the number of attempts so far that may have run. After the end of an attempt it includes that one.
func (s Step) Attempt() int { return s.attempt }

// LastEvent returns the number of the last event that was passed on; 0 if there is none.
func (s Step) LastEvent() int { return s.lastEvent }

// Age returns the time since the request arrived.
func (s Step) Age() time.Duration { return s.age }

// Err returns why the step failed, or nil.
func (s Step) Err() error { return s.err }

// Cause returns the cause for which the context of the request ended, such as a caller that disconnected, or nil.
func (s Step) Cause() error { return s.cause }
