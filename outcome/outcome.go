// Package outcome has the typed error that every front end reports to callers. Its effect says
// whether the work ran, which is what a caller needs to decide about a repeat.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Effect says what is known about the effect of a request that ended in an error.
type Effect string

const (
	// NotRun means that nothing was sent to a target and nothing recorded can still take effect.
	NotRun Effect = "not_run"
	// Unknown means that the request may or may not have taken effect.
	Unknown Effect = "unknown"
	// Failed means that a target processed the request and its answer is an error.
	Failed Effect = "failed"
)

// Code identifies the cause of an error in a stable form.
type Code string

// Codes reported to callers.
const (
	InvalidRequest   Code = "invalid_request"
	Unauthenticated  Code = "unauthenticated"
	NotFound         Code = "not_found"
	KeyReused        Code = "idempotency_key_reused"
	InProgress       Code = "in_progress"
	TooLarge         Code = "too_large"
	Overloaded       Code = "overloaded"
	AccountLimited   Code = "account_limited"
	DeadlineExceeded Code = "deadline_exceeded"
	LogUnavailable   Code = "log_unavailable"
	NoTarget         Code = "no_target"
	TargetFailed     Code = "target_failed"
	IncompleteResponse Code = "incomplete_answer"
	LostResponse       Code = "lost_answer"
	Cancelled        Code = "cancelled"
	NotReady         Code = "not_ready"
	Conflict         Code = "conflict"
	Internal         Code = "internal"
)

// Error is an error with a code and an effect. Build it with New and the With methods.
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

// WithRetryAfter returns a copy that invites a retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d

	return &c
}

// WithCause returns a copy that wraps err. The cause is for logs and dumps, not for callers.
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

// RetryAfter returns the delay before a useful retry; zero means that no retry is invited.
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

// From returns the *Error in err's chain, or an internal error of unknown effect.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}

	return New(Internal, Unknown, "internal error").WithCause(err)
}

// Is reports whether err has code c.
func Is(err error, c Code) bool {
	var e *Error

	return errors.As(err, &e) && e.code == c
}
