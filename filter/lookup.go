package filter

import (
	"context"
	"time"
)

// Answer is what a target says about a request that it ran. It stands in for an answer that was lost.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns a target's answer about a request.
func NewAnswer(status int, contentType string, body []byte) Answer {
	return Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP-like status.
func (a Answer) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// Lookup asks targets about requests.
type Lookup interface {
	// Find asks the targets of a service for a request. Without a find the request may still reach a target.
	Find(ctx context.Context, service, id string) (a Answer, found bool, err error)
}

const (
	// lookups is the number of questions about a request. A target that received it just before the
	// connection broke may not know it at once.
	lookups = 3
	// lookupPause is the time between two questions.
	lookupPause = 200 * time.Millisecond
	// lookupWait bounds all questions about a request.
	lookupWait = 2 * time.Second
)

// ask looks a request up until a target knows it.
func ask(ctx context.Context, l Lookup, service, id string) (Answer, bool) {
	x, stop := context.WithTimeout(context.WithoutCancel(ctx), lookupWait)
	defer stop()

	for n := range lookups {
		if n > 0 {
			select {
			case <-time.After(lookupPause):
			case <-x.Done():
				return Answer{}, false
			}
		}

		if a, ok, err := l.Find(x, service, id); err == nil && ok {
			return a, true
		}
	}

	return Answer{}, false
}
