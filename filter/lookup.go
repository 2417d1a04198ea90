package filter

import (
	"context"
	"time"
)

// LookupResponse is the response to an earlier request that a target still knows. It replaces a response that was lost.
type LookupResponse struct {
	status      int
	contentType string
	body        []byte
}

// NewLookupResponse returns a response with an HTTP-like status, the media type of the body and the body.
func NewLookupResponse(status int, contentType string, body []byte) LookupResponse {
	return LookupResponse{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP-like status.
func (a LookupResponse) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a LookupResponse) ContentType() string { return a.contentType }

// Body returns the body.
func (a LookupResponse) Body() []byte { return a.body }

// Lookup asks targets whether they ran a request.
type Lookup interface {
	// Find asks the targets of a service for a request. If none knows it, the request may still reach a target later.
	Find(ctx context.Context, service, id string) (a LookupResponse, found bool, err error)
}

const (
	// maxLookups is the number of lookups of one request. A target that received the request just before the connection
	// broke may not know it at once.
	maxLookups = 3
	// lookupInterval is the time between two lookups of a request.
	lookupInterval = 200 * time.Millisecond
	// lookupTimeout bounds all lookups of a request together.
	lookupTimeout = 2 * time.Second
)

// lookUpResponse looks up a request until a target knows it, at most maxLookups times. It continues after ctx has
// ended, until lookupTimeout has passed.
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
