package filter

import (
	"context"
	"time"

	"github.com/agategap/agategap/journal"
)

// NewAcceptedRequest returns a request for accepted work whose claim is in force. in.ID is the identifier of the claim,
// by which targets know the work. The response is buffered, as no caller reads it.
func NewAcceptedRequest(in Input, a Account, s Service, deadline time.Time) *Request {
	return &Request{input: in, account: a, service: s, class: Online, deadline: deadline, claim: in.ID}
}

// AcceptedChain returns the chain for accepted work, which was identified and recorded when it was accepted.
func AcceptedChain(d Dependencies, last Handler) *Chain { return BatchChain(d, last) }

// ResolveEffect returns the completion of claimed work that may have been dispatched and must not be dispatched again:
// the response that a target reports for it, or an unknown effect. l may be nil.
func ResolveEffect(ctx context.Context, l Lookup, s Service, w journal.Work) journal.CompleteRecord {
	c := journal.CompleteRecord{Account: w.AcceptRecord().Account, Key: w.AcceptRecord().Key, Claim: w.ClaimID(), Effect: journal.Unknown}

	if l == nil || !s.HasLookup() {
		return c
	}

	if a, ok := lookUpResponse(ctx, l, s.Targets(), w.ClaimID()); ok {
		c.Effect, c.Status, c.ContentType, c.Body = journal.Done, a.Status(), a.ContentType(), a.Body()
	}

	return c
}
