package filter

import (
	"context"
	"time"

	"github.com/agategap/agategap/journal"
)

// NewAcceptedRequest returns a request for accepted work that a claim gives the right to run. Nobody waits for its
// chunks. The claim is the request identifier, by which targets know it.
func NewAcceptedRequest(in Input, a Account, s Service, deadline time.Time) *Request {
	return &Request{input: in, account: a, service: s, class: Online, deadline: deadline, claim: in.ID}
}

// AcceptedChain returns the chain of accepted work, which is identified and recorded.
func AcceptedChain(p Dependencies, last Handler) *Chain { return BatchChain(p, last) }

// ResolveEffect returns the completion of claimed work that may have been dispatched and may not be again: what a target
// says about it, or that its effect is not known.
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
