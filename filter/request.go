package filter

import (
	"time"

	"github.com/agategap/agategap/internal/serve/urgency"
	"github.com/agategap/agategap/routing"
)

// Kind is the form of a request. It decides how the response is verified and encoded.
type Kind uint8

const (
	// Chat is a chat completion.
	Chat Kind = iota + 1
	// Completion is a text completion.
	Completion
	// Plain is a call of a plain service.
	Plain
)

// Class is the class of work. Online work takes precedence over batch work at the targets.
type Class uint8

const (
	// Online work has a caller that waits for it.
	Online Class = iota
	// Batch work runs in the capacity that online work leaves unused.
	Batch
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}

	return "online"
}

// Input has what a front end reads from a caller. A front end fills it once and passes it to a constructor of Request.
type Input struct {
	ID         string        // unique identifier of this request, sent to the target
	Kind       Kind          // form of the request
	Credential string        // bearer key
	Service    string        // model or plain service
	Path       string        // path at the target
	Key        string        // idempotency key; empty if the caller gave none
	Body       []byte        // request body, within the size limit of the front end
	Stream     bool          // the caller wants chunks as they are generated
	Async      bool          // the caller wants an acknowledgement now and the result later
	Prompt     string        // prompt text, for prefix affinity
	MaxTokens  int           // limit of the response in tokens; 0 if the caller gave none
	Timeout    time.Duration // timeout that the caller gave; 0 for that of the service
	Arrived    time.Time     // time of arrival
	Call       Call          // for requests that are passed on as their caller sent them; otherwise the zero value
	// PromptParts has the identifiers of the parts of the prompt, in order. The last one belongs to this request or its
	// session alone; other requests may share the others.
	PromptParts []string
}

// Request is one request on its way through the chain. The filters fill it in as it passes them. It is not safe for
// concurrent use; each attempt has its own copy.
type Request struct {
	input           Input
	account         Account
	service         Service
	class           Class
	deadline        time.Time
	slot            Slot
	attempt         int
	nextIndex       int
	claim           string
	sent            bool
	preferredTarget string
	resumed         bool
	route           routing.Route
	routeVersion    int64
	newConn         bool
	lastEvent       int
	due             time.Time
	began           bool // an attempt of the item had more than MaxCrashEvents events
	runTime         time.Duration
	waited          time.Duration // time for which the caller had waited when the request arrived; 0 if unknown
	daemonAge       time.Duration
	urgency         urgency.Urgency
	isRouteCurrent  func() bool // nil if the route that the request was matched with applies to the end
	routesChanged   func() <-chan struct{}
}

// NewRequest returns a request of class Online.
func NewRequest(in Input) *Request { return &Request{input: in} }

// NewBatchRequest returns a request for one batch item. Identification and deduplication were done when the job was
// accepted.
func NewBatchRequest(in Input, a Account, s Service, deadline time.Time) *Request {
	return &Request{input: in, account: a, service: s, class: Batch, deadline: deadline}
}

// ID returns the request identifier.
func (r *Request) ID() string { return r.input.ID }

// Kind returns the form of the request.
func (r *Request) Kind() Kind { return r.input.Kind }

// Credential returns the bearer key, which must not reach logs or dumps.
func (r *Request) Credential() string { return r.input.Credential }

// ServiceName returns the name of the service that the caller asked for.
func (r *Request) ServiceName() string { return r.input.Service }

// TargetService returns the service in the platform's list whose targets run the request.
func (r *Request) TargetService() string {
	if t := r.service.Targets(); t != "" {
		return t
	}

	return r.input.Service
}

// Path returns the path at the target.
func (r *Request) Path() string { return r.input.Path }

// Key returns the idempotency key; empty if the caller gave none.
func (r *Request) Key() string { return r.input.Key }

// Body returns the request body.
func (r *Request) Body() []byte { return r.input.Body }

// IsStreaming reports whether the caller wants chunks as they are generated.
func (r *Request) IsStreaming() bool { return r.input.Stream }

// Async reports whether the caller wants an acknowledgement now and the result later.
func (r *Request) Async() bool { return r.input.Async }

// Prompt returns the prompt text.
func (r *Request) Prompt() string { return r.input.Prompt }

// PromptParts returns the identifiers of the parts of the prompt, in order. The last one belongs to this request or its
// session alone; other requests may share the others. The identifiers are unique among the parts of the service, and must
// not be changed.
func (r *Request) PromptParts() []string { return r.input.PromptParts }

// MaxTokens returns the limit of the response in tokens; 0 if there is none.
func (r *Request) MaxTokens() int { return r.input.MaxTokens }

// Timeout returns the timeout that the caller gave; 0 if none.
func (r *Request) Timeout() time.Duration { return r.input.Timeout }

// Arrived returns the time of arrival.
func (r *Request) Arrived() time.Time { return r.input.Arrived }

// Account returns the caller's account; its zero value before Identify.
func (r *Request) Account() Account { return r.account }

// Service returns the settings of the service; its zero value before Identify or Match.
func (r *Request) Service() Service { return r.service }

// Class returns the class of work.
func (r *Request) Class() Class { return r.class }

// Deadline returns the time at which the request is cancelled; the zero value before Identify or Match sets it.
func (r *Request) Deadline() time.Time { return r.deadline }

// Slot returns the slot of the current attempt, or nil before one is acquired.
func (r *Request) Slot() Slot { return r.slot }

// Attempt returns the number of earlier attempts that count: in Dispatch all but preempted ones, in Relay those that
// may have run.
func (r *Request) Attempt() int { return r.attempt }

// NextIndex returns the next token position that is expected from the target. A resumed stream starts there.
func (r *Request) NextIndex() int { return r.nextIndex }

// Claim returns the identifier of the claim in force; empty for work without a record.
func (r *Request) Claim() string { return r.claim }

// PreferredTarget returns the name of the target of a preempted attempt, which can resume it; empty if there is none.
func (r *Request) PreferredTarget() string { return r.preferredTarget }

// IsResumed reports whether the attempt resumes the stream of an earlier one at NextIndex.
func (r *Request) IsResumed() bool { return r.resumed }

// IsSent reports whether any bytes of the request may have reached a target.
func (r *Request) IsSent() bool { return r.sent }

// MarkSent records that bytes of the request may have reached a target.
func (r *Request) MarkSent() { r.sent = true }

// ForAttempt returns a copy that is sent to the target of s as attempt n, without resuming an earlier attempt.
func (r *Request) ForAttempt(s Slot, n int) *Request {
	c := *r
	c.slot, c.attempt, c.sent, c.nextIndex, c.resumed = s, n, false, 0, false

	return &c
}

// forResume returns a copy that is sent to the target of s as attempt n and resumes at token position next.
func (r *Request) forResume(s Slot, n, next int) *Request {
	c := r.ForAttempt(s, n)
	c.nextIndex, c.resumed = next, true

	return c
}
