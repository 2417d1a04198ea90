package filter

import (
	"time"

	"github.com/agategap/agategap/routing"
)

// Kind is the form of a request, which decides how its answer is verified and encoded.
type Kind uint8

const (
	// Chat is a chat completion.
	Chat Kind = iota + 1
	// Completion is a text completion.
	Completion
	// Plain is a call of a plain service.
	Plain
)

// Class orders work at a target.
type Class uint8

const (
	// Online work has a caller who waits.
	Online Class = iota
	// Batch work runs in capacity that online work leaves.
	Batch
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}

	return "online"
}

// Input is what a front end reads from a caller. A front end fills it once and passes it to NewRequest.
type Input struct {
	ID         string        // unique identifier of this request, sent to the target
	Kind       Kind          // form of the request
	Credential string        // bearer key
	Service    string        // model or plain service
	Path       string        // path at the target
	Key        string        // idempotency key; empty if the caller gave none
	Body       []byte        // request body, within the front end's bound
	Stream     bool          // the caller wants chunks as they are generated
	Async      bool          // the caller wants an acknowledgement now and the result later
	Prompt     string        // prompt text, for prefix affinity
	MaxTokens  int           // bound on the answer in tokens; 0 if none was given
	Timeout    time.Duration // time that the caller gives; 0 for the service's own
	Arrived    time.Time     // time of arrival
	Call       Call          // a request that is passed on as it came; its zero value for others
}

// Request is one request on its way through the chain.
type Request struct {
	input       Input
	account  Account
	service  Service
	class    Class
	deadline time.Time
	slot     Slot
	attempt  int
	nextIndex     int
	claim    string
	sent     bool
	preferredTarget   string
	resumed  bool
	route    routing.Route
	routeVersion  int64
	newConn    bool
	lastEvent    int
	due      time.Time
	runTime    time.Duration
	urgency     SlotUrgency
}

// NewRequest returns a request of class Online.
func NewRequest(in Input) *Request { return &Request{input: in} }

// NewBatchRequest returns a request for one batch item. Identification and deduplication have happened
// when the job was accepted.
func NewBatchRequest(in Input, a Account, s Service, deadline time.Time) *Request {
	return &Request{input: in, account: a, service: s, class: Batch, deadline: deadline}
}

// ID returns the request identifier.
func (r *Request) ID() string { return r.input.ID }

// Kind returns the form of the request.
func (r *Request) Kind() Kind { return r.input.Kind }

// Credential returns the bearer key. It must not reach logs or dumps.
func (r *Request) Credential() string { return r.input.Credential }

// ServiceName returns the name that the caller asked for.
func (r *Request) ServiceName() string { return r.input.Service }

// TargetService returns the service of the platform's list whose targets run the request.
func (r *Request) TargetService() string {
	if t := r.service.Targets(); t != "" {
		return t
	}

	return r.input.Service
}

// Path returns the path at the target.
func (r *Request) Path() string { return r.input.Path }

// Key returns the idempotency key.
func (r *Request) Key() string { return r.input.Key }

// Body returns the request body.
func (r *Request) Body() []byte { return r.input.Body }

// IsStreaming reports whether the caller wants chunks as they are generated.
func (r *Request) IsStreaming() bool { return r.input.Stream }

// Async reports whether the caller wants an acknowledgement now and the result later.
func (r *Request) Async() bool { return r.input.Async }

// Prompt returns the prompt text.
func (r *Request) Prompt() string { return r.input.Prompt }

// MaxTokens returns the bound on the answer in tokens; 0 if there is none.
func (r *Request) MaxTokens() int { return r.input.MaxTokens }

// Timeout returns the time that the caller gave; 0 if none.
func (r *Request) Timeout() time.Duration { return r.input.Timeout }

// Arrived returns the time of arrival.
func (r *Request) Arrived() time.Time { return r.input.Arrived }

// Account returns the caller's account; its zero value before identify.
func (r *Request) Account() Account { return r.account }

// Service returns the service's settings; its zero value before identify.
func (r *Request) Service() Service { return r.service }

// Class returns the class of work.
func (r *Request) Class() Class { return r.class }

// Deadline returns the time after which the answer is of no use.
func (r *Request) Deadline() time.Time { return r.deadline }

// Slot returns the slot that route acquired, or nil.
func (r *Request) Slot() Slot { return r.slot }

// Attempt returns the number of the current attempt, from 0.
func (r *Request) Attempt() int { return r.attempt }

// NextIndex returns the token position that the caller needs next; a resumed stream starts there.
func (r *Request) NextIndex() int { return r.nextIndex }

// Claim returns the identifier of the claim that won; empty for work without a record.
func (r *Request) Claim() string { return r.claim }

// PreferredTarget returns the target of an attempt that was preempted, which can resume it; empty if there is none.
func (r *Request) PreferredTarget() string { return r.preferredTarget }

// IsResumed reports whether the attempt goes on with the stream of an earlier one at NextIndex.
func (r *Request) IsResumed() bool { return r.resumed }

// IsSent reports whether any bytes of the request may have reached a target.
func (r *Request) IsSent() bool { return r.sent }

// MarkSent records that bytes of the request may have reached a target.
func (r *Request) MarkSent() { r.sent = true }

// ForAttempt returns a copy that is sent to the target of s as attempt n, from the start.
func (r *Request) ForAttempt(s Slot, n int) *Request {
	c := *r
	c.slot, c.attempt, c.sent, c.nextIndex, c.resumed = s, n, false, 0, false

	return &c
}

// forResume returns a copy that goes on at a token position at the target of s.
func (r *Request) forResume(s Slot, n, next int) *Request {
	c := r.ForAttempt(s, n)
	c.nextIndex, c.resumed = next, true

	return c
}
