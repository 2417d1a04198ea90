// Package outcome has the typed error that every front end reports to callers. Its effect says whether the request ran,
// which a caller needs to know to decide about a retry.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Effect is what is known about the effect of a request that ended in an error.
type Effect string

const (
	// NotRun means that the request has had no effect and will have none: nothing was sent to a target, and nothing that
	// is recorded can still take effect.
	NotRun Effect = "not_run"
	// Unknown means that the request may or may not have taken effect.
	Unknown Effect = "unknown"
	// Failed means that a target processed the request and responded with an error.
	Failed Effect = "failed"
)

// Code identifies the cause of an error. Its values are stable, so that callers can rely on them.
type Code string

// Codes reported to callers. The message of an error has the details.
const (
	InvalidRequest     Code = "invalid_request"        // the request is malformed or its target rejected it as invalid
	Unauthenticated    Code = "unauthenticated"        // the bearer key is missing or not known
	NotFound           Code = "not_found"              // the path, service, job or recorded request does not exist
	KeyReused          Code = "idempotency_key_reused" // the idempotency key was used for a different request or job
	InProgress         Code = "in_progress"            // the request or job was accepted and has not ended yet
	TooLarge           Code = "too_large"              // the body or a record is too large
	Overloaded         Code = "overloaded"             // no slot is free in time, or a queue is full
	AccountLimited     Code = "account_limited"        // the account has as many requests in flight as it may have
	DeadlineExceeded   Code = "deadline_exceeded"      // the deadline passed
	LogUnavailable     Code = "log_unavailable"        // the log cannot be read, or has not confirmed a record
	NoTarget           Code = "no_target"              // no target can take the request, or it cannot be reached
	TargetFailed       Code = "target_failed"          // the target failed or responded with an error
	IncompleteResponse Code = "incomplete_answer"      // the response ended early or has gaps
	LostResponse       Code = "lost_answer"            // the connection to the target failed or stopped carrying data
	Cancelled          Code = "cancelled"              // the caller disconnected, or the work was cancelled
	NotReady           Code = "not_ready"              // the daemon has not loaded its state, or none is reachable
	Quarantined        Code = "quarantined"            // targets keep crashing under such prompts
	Conflict           Code = "conflict"               // the published version is not based on the version in force
	Internal           Code = "internal"               // the cause has no code of its own
)

// Error is an error with a code and an effect. It is built with New and the With methods and is immutable.
type Error struct {
	code       Code
	effect     Effect
	message    string
	retryAfter time.Duration
	cause      error
}

// New returns an error with a message for the caller.
func New(c Code, e Effect, format string, a ...any) *Error {
	return &Error{code: c, effect: e, message: fmt.Sprintf(format, a...)}
}

// WithRetryAfter returns a copy that suggests a retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d

	return &c
}

// WithCause returns a copy that wraps err. The cause is meant for logs and dumps, not for callers.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.cause = err

	return &c
}

// WithEffect returns a copy with another effect.
func (e *Error) WithEffect(f Effect) *Error {
	c := *e
	c.effect = f

	return &c
}

// Code returns the stable code.
func (e *Error) Code() Code { return e.code }

// Effect returns what is known about the effect.
func (e *Error) Effect() Effect { return e.effect }

// Message returns the text for the caller.
func (e *Error) Message() string { return e.message }

// RetryAfter returns the suggested delay before a retry; 0 if no retry is suggested.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error returns the message with its cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.message
	}

	return e.message + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns the first *Error in err's chain, or an error with code Internal and effect Unknown that wraps err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}

	return New(Internal, Unknown, "internal error").WithCause(err)
}

// Is reports whether the first *Error in err's chain has code c.
func Is(err error, c Code) bool {
	var e *Error

	return errors.As(err, &e) && e.code == c
}
