package filter

import (
	"time"

	"github.com/agategap/agategap/pool"
)

// Account is the caller's account as far as the chain needs it.
type Account struct {
	name        string
	concurrency int
}

// NewAccount returns an account that may have at most concurrency requests in flight at one daemon; 0
// means no limit.
func NewAccount(name string, concurrency int) Account {
	return Account{name: name, concurrency: concurrency}
}

// Name returns the account's name.
func (a Account) Name() string { return a.name }

// Concurrency returns the limit of requests in flight.
func (a Account) Concurrency() int { return a.concurrency }

// Service is a service's settings as far as the chain needs them. The fields are set once by the
// configuration controller through NewService.
type Service struct {
	settings ServiceSettings
}

// ServiceSettings are the values of a Service.
type ServiceSettings struct {
	Name          string        // name that callers use
	Targets       string        // service of the platform's list whose targets run it; Name when empty
	Plain         bool          // a plain service, not a model engine
	Idempotent    bool          // the work may be run again
	Record        bool          // the work is recorded before it is dispatched
	HoldOnOutage  bool          // hold work within its deadline while the log is down, instead of refusing it
	Deadline      time.Duration // deadline when the caller gives none
	MaxAttempts   int           // bound on attempts, at least 1
	Hedge         bool          // send a second attempt when the first is slow
	IdleBound     time.Duration // longest silence within a stream
	Lookup        bool          // the target can say whether it ran a request identifier
	RetainResults time.Duration // how long results stay readable
}

// NewService returns a service.
func NewService(s ServiceSettings) Service { return Service{settings: s} }

// Name returns the service's name.
func (s Service) Name() string { return s.settings.Name }

// Targets returns the service of the platform's list whose targets run it. Several services can share targets.
func (s Service) Targets() string {
	if s.settings.Targets == "" {
		return s.settings.Name
	}

	return s.settings.Targets
}

// Plain reports whether it is a plain service.
func (s Service) Plain() bool { return s.settings.Plain }

// Idempotent reports whether work may be run again.
func (s Service) Idempotent() bool { return s.settings.Idempotent }

// ShouldRecord reports whether work is recorded before it is dispatched.
func (s Service) ShouldRecord() bool { return s.settings.Record || !s.settings.Idempotent }

// ShouldHoldOnOutage reports whether work is held within its deadline while the log is down.
func (s Service) ShouldHoldOnOutage() bool { return s.settings.HoldOnOutage }

// Timeout returns the time for work whose caller gives none.
func (s Service) Timeout() time.Duration { return s.settings.Deadline }

// MaxAttempts returns the bound on attempts. It is 1 for work that may not be run again.
func (s Service) MaxAttempts() int {
	if !s.settings.Idempotent {
		return 1
	}

	return max(1, s.settings.MaxAttempts)
}

// ShouldHedge reports whether a slow attempt gets a second one. It never does for work that may not be run
// again.
func (s Service) ShouldHedge() bool { return s.settings.Hedge && s.settings.Idempotent }

// IdleTimeout returns the longest silence within a stream.
func (s Service) IdleTimeout() time.Duration { return s.settings.IdleBound }

// HasLookup reports whether the target can say if it ran a request identifier.
func (s Service) HasLookup() bool { return s.settings.Lookup }

// ResultRetention returns how long results stay readable.
func (s Service) ResultRetention() time.Duration { return s.settings.RetainResults }

// Target is a worker or a plain service instance that serves a request.
type Target struct {
	name    string
	address string
}

// NewTarget returns a target at an IP number with a port.
func NewTarget(name, address string) Target { return Target{name: name, address: address} }

// Name returns the target's name.
func (t Target) Name() string { return t.name }

// Address returns the target's IP number and port.
func (t Target) Address() string { return t.address }

// Observation is what one attempt showed of its target.
type Observation struct {
	firstToken time.Duration
	perToken   time.Duration
	total      time.Duration
	tokens     int
	ok         bool
	complete      bool
	fault      pool.Fault
}

// NewObservation returns an observation. firstToken is the time to the first chunk, perToken the mean time
// between chunks, total the whole duration; ok is false when the target failed.
func NewObservation(firstToken, perToken, total time.Duration, tokens int, ok bool) Observation {
	return Observation{firstToken: firstToken, perToken: perToken, total: total, tokens: tokens, ok: ok}
}

// FirstToken returns the time to the first chunk; 0 if none came.
func (o Observation) FirstToken() time.Duration { return o.firstToken }

// PerToken returns the mean time between chunks.
func (o Observation) PerToken() time.Duration { return o.perToken }

// Total returns the duration of the attempt.
func (o Observation) Total() time.Duration { return o.total }

// Tokens returns the number of chunks that came.
func (o Observation) Tokens() int { return o.tokens }

// WithComplete returns a copy that says whether the whole answer came, so that its size is the size of the work.
func (o Observation) WithComplete(w bool) Observation {
	o.complete = w

	return o
}

// IsComplete reports whether the whole answer came.
func (o Observation) IsComplete() bool { return o.complete }

// WithFault returns a copy that says what the attempt showed of the target.
func (o Observation) WithFault(f pool.Fault) Observation {
	o.fault = f

	return o
}

// Fault returns what the attempt showed of the target.
func (o Observation) Fault() pool.Fault { return o.fault }

// OK reports whether the target did its part.
func (o Observation) OK() bool { return o.ok }

// Slot is the right to send one request to one target. Release is called once.
type Slot interface {
	Target() Target
	Release(o Observation)
	// Preempted is closed when the owner wants the slot back for online work.
	Preempted() <-chan struct{}
}
