package filter

import (
	"time"

	"github.com/agategap/agategap/pool"
)

// Account has the part of a caller's account that the chain needs.
type Account struct {
	name        string
	concurrency int
}

// NewAccount returns an account that may have at most concurrency requests in flight at one daemon; 0 means no limit.
func NewAccount(name string, concurrency int) Account {
	return Account{name: name, concurrency: concurrency}
}

// Name returns the account's name.
func (a Account) Name() string { return a.name }

// Concurrency returns the limit of requests in flight at one daemon; 0 means no limit.
func (a Account) Concurrency() int { return a.concurrency }

// Service has the settings of a service that the chain needs. It is immutable. On routes, only the name is set.
type Service struct {
	settings ServiceSettings
}

// ServiceSettings are the settings of a Service.
type ServiceSettings struct {
	Name          string        // name that callers use
	Targets       string        // service in the platform's list whose targets run it; Name if empty
	Plain         bool          // a plain service, not a model engine
	Idempotent    bool          // the work may be run again
	Record        bool          // the work is recorded before it is dispatched
	HoldOnOutage  bool          // hold work within its deadline while the log is down, instead of rejecting it
	Deadline      time.Duration // timeout: default and upper bound of that of the caller; 0 for none
	MaxAttempts   int           // limit of attempts, at least 1
	Hedge         bool          // make a second attempt if the first is slow
	IdleBound     time.Duration // idle timeout between the chunks of a stream
	Lookup        bool          // the target can be asked whether it ran a request identifier
	RetainResults time.Duration // how long results stay readable
}

// NewService returns a service with settings.
func NewService(s ServiceSettings) Service { return Service{settings: s} }

// Name returns the service's name.
func (s Service) Name() string { return s.settings.Name }

// Targets returns the service in the platform's list whose targets run it. Several services can share targets.
func (s Service) Targets() string {
	if s.settings.Targets == "" {
		return s.settings.Name
	}

	return s.settings.Targets
}

// Plain reports whether it is a plain service and not a model engine.
func (s Service) Plain() bool { return s.settings.Plain }

// Idempotent reports whether work may be run again.
func (s Service) Idempotent() bool { return s.settings.Idempotent }

// ShouldRecord reports whether work is recorded before it is dispatched. Work that may not be run again always is.
func (s Service) ShouldRecord() bool { return s.settings.Record || !s.settings.Idempotent }

// ShouldHoldOnOutage reports whether work is held within its deadline while the log is down, instead of being rejected.
func (s Service) ShouldHoldOnOutage() bool { return s.settings.HoldOnOutage }

// Timeout returns the default and upper bound of the caller's timeout; 0 if the service sets none.
func (s Service) Timeout() time.Duration { return s.settings.Deadline }

// MaxAttempts returns the limit of attempts. It is 1 for work that may not be run again.
func (s Service) MaxAttempts() int {
	if !s.settings.Idempotent {
		return 1
	}

	return max(1, s.settings.MaxAttempts)
}

// ShouldHedge reports whether a second attempt is made if the first is slow. It is false for work that may not be run
// again.
func (s Service) ShouldHedge() bool { return s.settings.Hedge && s.settings.Idempotent }

// IdleTimeout returns the idle timeout between the chunks of a stream.
func (s Service) IdleTimeout() time.Duration { return s.settings.IdleBound }

// HasLookup reports whether the target can be asked whether it ran a request identifier.
func (s Service) HasLookup() bool { return s.settings.Lookup }

// ResultRetention returns how long results stay readable.
func (s Service) ResultRetention() time.Duration { return s.settings.RetainResults }

// Target is a model engine or a plain service to which requests are sent.
type Target struct {
	name    string
	address string
	start   int64
}

// NewTarget returns a target at address, an IP address with a port.
func NewTarget(name, address string) Target { return Target{name: name, address: address} }

// WithStart returns a copy with the start of the target's process in Unix milliseconds, which identifies its
// incarnation; 0 if it is not known.
func (t Target) WithStart(ms int64) Target {
	t.start = ms

	return t
}

// Start returns the start of the target's process in Unix milliseconds; 0 if it is not known.
func (t Target) Start() int64 { return t.start }

// Name returns the target's name.
func (t Target) Name() string { return t.name }

// Address returns the target's IP address and port.
func (t Target) Address() string { return t.address }

// Observation has the timings and the result of one attempt at a target. Relay measures only the duration and the
// number of chunks.
type Observation struct {
	firstToken time.Duration
	perToken   time.Duration
	total      time.Duration
	tokens     int
	ok         bool
	complete   bool
	fault      pool.Fault
	prompt     PromptOutcome
	sent       bool
}

// PromptOutcome is what an attempt shows about the parts of its prompt.
type PromptOutcome uint8

const (
	// PromptUntested means that the attempt shows nothing about the prompt.
	PromptUntested PromptOutcome = iota
	// PromptSound means that the response is complete or has more than MaxCrashEvents events.
	PromptSound
	// PromptSuspect means that the target crashed after it got the request, before the response had more events.
	PromptSuspect
)

// NewObservation returns an observation. firstToken is the time to the first chunk, perToken the mean time between
// chunks, total the duration of the attempt and tokens the number of chunks; ok is false if the target failed.
func NewObservation(firstToken, perToken, total time.Duration, tokens int, ok bool) Observation {
	return Observation{firstToken: firstToken, perToken: perToken, total: total, tokens: tokens, ok: ok}
}

// FirstToken returns the time to the first chunk; 0 if none arrived or it was not measured.
func (o Observation) FirstToken() time.Duration { return o.firstToken }

// PerToken returns the mean time between chunks; 0 if fewer than two arrived or it was not measured.
func (o Observation) PerToken() time.Duration { return o.perToken }

// Total returns the duration of the attempt.
func (o Observation) Total() time.Duration { return o.total }

// Tokens returns the number of chunks that arrived.
func (o Observation) Tokens() int { return o.tokens }

// WithComplete returns a copy that says whether the attempt received the complete response, so that Tokens is the size
// of the work.
func (o Observation) WithComplete(complete bool) Observation {
	o.complete = complete

	return o
}

// IsComplete reports whether the attempt received the complete response.
func (o Observation) IsComplete() bool { return o.complete }

// WithFault returns a copy with the fault of the target that the attempt observed.
func (o Observation) WithFault(f pool.Fault) Observation {
	o.fault = f

	return o
}

// Fault returns the fault of the target that the attempt observed; only Relay sets it.
func (o Observation) Fault() pool.Fault { return o.fault }

// WithPrompt returns a copy with what the attempt shows about the parts of its prompt.
func (o Observation) WithPrompt(p PromptOutcome) Observation {
	o.prompt = p

	return o
}

// Prompt returns what the attempt shows about the parts of its prompt; only Relay sets it.
func (o Observation) Prompt() PromptOutcome { return o.prompt }

// WithSent returns a copy that says whether the request may have reached the target.
func (o Observation) WithSent(sent bool) Observation {
	o.sent = sent

	return o
}

// IsSent reports whether the request may have reached the target; only Relay sets it.
func (o Observation) IsSent() bool { return o.sent }

// OK reports whether the attempt ended without a failure of the target.
func (o Observation) OK() bool { return o.ok }

// Slot is the right to send one request to one target.
type Slot interface {
	Target() Target
	// Release returns the slot to its owner, with what the attempt observed. It must be called exactly once.
	Release(o Observation)
	// Preempted returns a channel that is closed when the owner asks for the slot back for online work. It is nil if the
	// slot is never preempted.
	Preempted() <-chan struct{}
}
