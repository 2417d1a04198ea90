package filter

import (
	"context"
	"time"
)

// LookupResponse is what a target says about a request that it ran. It stands in for an answer that was lost.
type LookupResponse struct {
	status      int
	contentType string
	body        []byte
}

// NewLookupResponse returns a target's answer about a request.
func NewLookupResponse(status int, contentType string, body []byte) LookupResponse {
	return LookupResponse{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP-like status.
func (a LookupResponse) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a LookupResponse) ContentType() string { return a.contentType }

// Body returns the body.
func (a LookupResponse) Body() []byte { return a.body }

// Lookup asks targets about requests.
type Lookup interface {
	// Find asks the targets of a service for a request. Without a find the request may still reach a target.
	Find(ctx context.Context, service, id string) (a LookupResponse, found bool, err error)
}

const (
	// maxLookups is the number of questions about a request. A target that received it just before the
	// connection broke may not know it at once.
	maxLookups = 3
	// lookupInterval is the time between two questions.
	lookupInterval = 200 * time.Millisecond
	// lookupTimeout bounds all questions about a request.
	lookupTimeout = 2 * time.Second
)

// lookUpResponse looks a request up until a target knows it.
func lookUpResponse(ctx context.Context, l Lookup, service, id string) (LookupResponse, bool) {
	x, stop := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer stop()

	for n := range maxLookups {
		if n > 0 {
			select {
			case <-time.After(lookupInterval):
			case <-x.Done():
				return LookupResponse{}, false
			}
		}

		if a, ok, err := l.Find(x, service, id); err == nil && ok {
			return a, true
		}
	}

	return LookupResponse{}, false
}
